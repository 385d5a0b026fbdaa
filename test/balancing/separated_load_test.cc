// The load that the separation responds to, without a network: urgent streams of short prompts and
// long prompts of a less urgent route share a few servers. Guards against streams that run beside
// long prompts, whose prefill pauses them.

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "gateway/server_choice.h"

namespace moorfold::balancing {
namespace {

using std::chrono::milliseconds;

constexpr int kServers = 6;
constexpr int kFleets = 12;
constexpr int kRequests = 400;
constexpr milliseconds kArrivalInterval{25};
constexpr milliseconds kStreamTime{2'000};
constexpr milliseconds kPromptTime{1'000};
constexpr int kDocuments = 10;
const SteadyTime kStart{std::chrono::seconds(1000)};

/// One request at a server.
struct Run {
  ServerPtr server;
  RequestWork work;
  SteadyTime begin;
  SteadyTime end;
};

/// Five of the six servers hold each of the two models: a server can be in the pool of paced
/// requests for one model and in that of long prompts for the other.
/// @param fleet decides the ids and with them the pools.
ServerDirectory MakeDirectory(int fleet) {
  ServerDirectory directory;
  for (int index = 0; index < kServers; ++index) {
    ServerRecord record;
    record.id = "gpu-" + std::to_string(fleet) + "-" + std::to_string(index);
    record.service = "s";
    record.zone = "z";
    record.slots = 16;
    if (index > 0) record.models.push_back({"m0", {}});
    if (index + 1 < kServers) record.models.push_back({"m1", {}});
    directory.Put(record, kStart);
  }
  return directory;
}

/// Half of the requests are streams of 628 tokens, the other half are questions about one of a few
/// documents of 9,000 tokens.
ServerChoiceRequest MakeRequest(int index, RequestWork work) {
  ServerChoiceRequest request;
  request.service = "s";
  request.zone = "z";
  request.model.model = "m" + std::to_string(index / 2 % 2);
  const std::string own = "own-" + std::to_string(index);
  if (work == RequestWork::kPaced)
    request.parts = {{own, 628}};
  else
    request.parts = {{"document-" + std::to_string(index / 2 % kDocuments), 8'800}, {own, 200}};
  return request;
}

/// @return all requests with the servers that were chosen for them; none may be refused.
std::vector<Run> RunLoad(int fleet, bool separation) {
  const ServerDirectory directory = MakeDirectory(fleet);
  std::vector<Run> runs;
  std::size_t failed = 0;
  std::multiset<std::pair<SteadyTime, ServerPtr>> ends;
  for (int index = 0; index < kRequests; ++index) {
    const SteadyTime now = kStart + index * kArrivalInterval;
    while (!ends.empty() && ends.begin()->first <= now) {
      ends.begin()->second->EndRequest();
      ends.erase(ends.begin());
    }
    const RequestWork work = index % 2 == 0 ? RequestWork::kPaced : RequestWork::kLongPrompt;
    ServerChoiceRequest request = MakeRequest(index, work);
    if (separation) request.work = work;
    const ServerChoice choice = ChooseServer(directory, request, now);
    if (!choice.server) {
      ++failed;
      continue;
    }
    choice.server->BeginRequest();
    choice.server->RecordPrompt(request.model, request.parts);
    const SteadyTime end = now + (work == RequestWork::kPaced ? kStreamTime : kPromptTime);
    ends.insert({end, choice.server});
    runs.push_back({choice.server, work, now, end});
  }
  CHECK(failed == 0);
  return runs;
}

/// @return the share of streams during which their server began at least two long prompts.
double DisturbedShare(const std::vector<Run>& runs) {
  constexpr int kDisturbingPrompts = 2;
  int streams = 0;
  int disturbed = 0;
  for (const Run& stream : runs) {
    if (stream.work != RequestWork::kPaced) continue;
    ++streams;
    int prompts = 0;
    for (const Run& run : runs)
      if (run.work == RequestWork::kLongPrompt && run.server == stream.server &&
          run.begin >= stream.begin && run.begin < stream.end)
        ++prompts;
    disturbed += prompts >= kDisturbingPrompts ? 1 : 0;
  }
  return static_cast<double>(disturbed) / streams;
}

/// @return the mean of the shares over all fleets.
double MeanDisturbedShare(bool separation) {
  double sum = 0;
  for (int fleet = 0; fleet < kFleets; ++fleet) sum += DisturbedShare(RunLoad(fleet, separation));
  return sum / kFleets;
}

TEST_CASE("Few urgent streams run beside long prompts; without the separation most do") {
  const double without = MeanDisturbedShare(false);
  const double with = MeanDisturbedShare(true);
  CAPTURE(without, with);
  CHECK(without > 0.5);
  CHECK(with < 0.1);
}

TEST_CASE("The separation leaves no server without work") {
  // Guards against pools that waste servers while others are full.
  for (int fleet = 0; fleet < kFleets; ++fleet) {
    CAPTURE(fleet);
    std::set<std::string> used;
    for (const Run& run : RunLoad(fleet, true)) used.insert(run.server->record().id);
    CHECK(used.size() == kServers);
  }
}

}  // namespace
}  // namespace moorfold::balancing
