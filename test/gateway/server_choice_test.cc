#include "gateway/server_choice.h"

#include <catch2/catch.hpp>
#include <map>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SteadyTime kNow{seconds(1000)};

ServerRecord MakeRecord(const std::string& id, const std::string& zone = "z") {
  ServerRecord record;
  record.id = id;
  record.service = "s";
  record.zone = zone;
  record.slots = 8;
  record.models = {{"m", {"a1"}}};
  return record;
}

ServerChoiceRequest MakeRequest(const std::string& model = "") {
  ServerChoiceRequest request;
  request.service = "s";
  request.model = ParseModelReference(model);
  request.zone = "z";
  return request;
}

std::string Chosen(const ServerDirectory& directory, const ServerChoiceRequest& request,
                   SteadyTime now = kNow) {
  const ServerChoice choice = ChooseServer(directory, request, now);
  return choice.server ? choice.server->record().id : "";
}

TEST_CASE("The daemon's zone, a short queue and no failures are preferred") {
  ServerDirectory directory;
  directory.Put(MakeRecord("far", "y"), kNow);
  directory.Put(MakeRecord("near"), kNow);
  CHECK(Chosen(directory, MakeRequest()) == "near");
  SECTION("a long queue") {
    directory.Find("near")->NoteLoad(8, 9, kNow);
    CHECK(Chosen(directory, MakeRequest()) == "far");
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(5)) ==
          "near");  // The load report is outdated.
  }
  SECTION("failures") {
    directory.Find("near")->RecordFailure(kNow);
    CHECK(Chosen(directory, MakeRequest()) == "far");
    for (int answer = 0; answer < 30; ++answer) directory.Find("near")->RecordSuccess();
    CHECK(Chosen(directory, MakeRequest()) == "near");
  }
  SECTION("error responses without connection failures") {
    for (int answer = 0; answer < 5; ++answer) directory.Find("near")->RecordErrorResponse();
    CHECK(Chosen(directory, MakeRequest()) == "far");
  }
}

TEST_CASE("Servers that are draining, gone, full, unreachable or removed are not used") {
  ServerDirectory directory;
  directory.Put(MakeRecord("only"), kNow);
  const ServerPtr only = directory.Find("only");
  SECTION("draining") {
    ServerRecord record = MakeRecord("only");
    record.draining = true;
    directory.Put(record, kNow);
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(60)).empty());
  }
  SECTION("gone") {
    only->MarkGone();
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(60)).empty());
  }
  SECTION("full, for a short time") {
    only->MarkFull(kNow);
    CHECK(Chosen(directory, MakeRequest()).empty());
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(1)) == "only");
  }
  SECTION("unreachable, with increasing backoff") {
    for (int failure = 0; failure < 4; ++failure) only->MarkUnreachable(kNow);
    CHECK(Chosen(directory, MakeRequest(), kNow + milliseconds(1'500)).empty());
    CHECK(Chosen(directory, MakeRequest(), kNow + seconds(4)) == "only");
  }
  SECTION("removed") {
    directory.Remove("only");
    CHECK(ChooseServer(directory, MakeRequest(), kNow).reason == NoServerReason::kUnknownService);
  }
}

TEST_CASE("A request goes only to servers that hold its model or adapter") {
  ServerDirectory directory;
  directory.Put(MakeRecord("i"), kNow);
  const ServerPtr server = directory.Find("i");
  CHECK(Chosen(directory, MakeRequest("m")) == "i");
  CHECK(Chosen(directory, MakeRequest("m/a1")) == "i");
  CHECK(Chosen(directory, MakeRequest("m/a2")).empty());
  CHECK(ChooseServer(directory, MakeRequest("n"), kNow).reason == NoServerReason::kModelNotHeld);
  SECTION("a notice arrives before the record") {
    directory.RecordModelHeld(server, {"m", "a2"}, kNow);
    CHECK(Chosen(directory, MakeRequest("m/a2")) == "i");
    CHECK(Chosen(directory, MakeRequest("m/a2"), kNow + seconds(30)).empty());
  }
  SECTION("unloading a model also makes its adapters unavailable") {
    // Guards against a failure seen in a run without injected faults: requests for adapters were
    // sent to a server that was unloading their model.
    server->RecordModelMissing({"m", ""}, kNow, milliseconds(5'000));
    CHECK(Chosen(directory, MakeRequest("m/a1"), kNow + milliseconds(4'900)).empty());
    CHECK(Chosen(directory, MakeRequest("m/a1"), kNow + seconds(6)) == "i");
  }
}

TEST_CASE("A prompt goes to the server that has its prefix in the cache") {
  ServerDirectory directory;
  directory.Put(MakeRecord("i"), kNow);
  directory.Put(MakeRecord("j"), kNow);
  ServerChoiceRequest request = MakeRequest("m");
  request.parts = {{"shared", 6000}, {"own", 500}};
  for (const char* id : {"i", "j"}) {
    CAPTURE(id);
    ServerDirectory own_directory;
    own_directory.Put(MakeRecord("i"), kNow);
    own_directory.Put(MakeRecord("j"), kNow);
    own_directory.Find(id)->RecordPrompt({"m", ""}, {{"shared", 6000}, {"other", 9}});
    CHECK(Chosen(own_directory, request) == id);
    request.model.adapter = "a1";  // The cache of another adapter is not usable.
    CHECK(own_directory.Find(id)->CachedPrefixTokens(request.model, request.parts) == 0);
    request.model.adapter.clear();
  }
  // Daemons that have not seen the prompt choose the same server.
  ServerDirectory other;
  other.Put(MakeRecord("j"), kNow);
  other.Put(MakeRecord("i"), kNow);
  CHECK(Chosen(directory, request) == Chosen(other, request));
}

TEST_CASE("Remembered prompts are bounded; the oldest are evicted") {
  RecentPrompts prompts;
  prompts.Remember({"m", ""}, {{"first", 100}});
  CHECK(prompts.CachedPrefixTokens({"m", ""}, {{"first", 100}}) == 100);
  for (int prompt = 0; prompt < 1000; ++prompt)
    prompts.Remember({"m", ""}, {{std::to_string(prompt), 1}});
  CHECK(prompts.CachedPrefixTokens({"m", ""}, {{"first", 100}}) == 0);
  CHECK(prompts.CachedPrefixTokens({"m", ""}, {{"999", 1}}) == 1);
}

/// @return by server, how many of `daemons` daemons with the same knowledge choose it.
std::map<std::string, int> ChoicesOf(int daemons, const ServerDirectory& directory,
                                     ServerChoiceRequest request) {
  std::map<std::string, int> chosen;
  for (int daemon = 0; daemon < daemons; ++daemon) {
    request.daemon_name = "edge-" + std::to_string(daemon);
    ++chosen[Chosen(directory, request)];
  }
  return chosen;
}

TEST_CASE("Daemons with the same knowledge spread requests over servers without models") {
  constexpr int kServers = 60;
  constexpr int kDaemons = 600;
  ServerDirectory directory;
  for (int server = 0; server < kServers; ++server) {
    ServerRecord record = MakeRecord("i-" + std::to_string(server));
    record.models.clear();
    directory.Put(record, kNow);
  }
  const std::map<std::string, int> chosen = ChoicesOf(kDaemons, directory, MakeRequest());
  CHECK(chosen.size() > kServers * 9 / 10);
  for (const auto& [server, count] : chosen) {
    CAPTURE(server);
    CHECK(count < 4 * kDaemons / kServers);
  }
}

/// @return the server that has the lowest cost when each is the only candidate, so that pools have
/// no effect.
std::string CheapestAlone(const ServerDirectory& directory, ServerChoiceRequest request) {
  std::string cheapest;
  double lowest = 0;
  for (const ServerPtr& server : directory.Of(request.service)) {
    request.excluded.clear();
    for (const ServerPtr& other : directory.Of(request.service))
      if (other != server) request.excluded.push_back(other->record().id);
    const double cost = ChooseServer(directory, request, kNow).cost_ms;
    if (!cheapest.empty() && cost >= lowest) continue;
    cheapest = server->record().id;
    lowest = cost;
  }
  return cheapest;
}

TEST_CASE("A neutral request gets the server of the lowest cost, whatever the pools") {
  ServerDirectory directory;
  for (int server = 0; server < 12; ++server)
    directory.Put(MakeRecord("i-" + std::to_string(server), server % 3 == 0 ? "y" : "z"), kNow);
  ServerChoiceRequest request = MakeRequest("m");
  for (std::uint32_t round = 0; round < 50; ++round) {
    CAPTURE(round);
    std::uint32_t position = 0;
    for (const ServerPtr& server : directory.Of("s")) {
      const std::uint32_t load = (round * 7 + ++position * 5) % 11;
      server->NoteLoad(load, load / 4, kNow);
    }
    request.parts = {{"prefix-" + std::to_string(round), 5'000}, {"own", 500}};
    const ServerChoice choice = ChooseServer(directory, request, kNow);
    REQUIRE(choice.server);
    CHECK(choice.server->record().id == CheapestAlone(directory, request));
    CHECK_FALSE(choice.other_pool);
  }
}

TEST_CASE("Paced requests and long prompts prefer different servers to a cached prompt") {
  ServerDirectory directory;
  for (int server = 0; server < 5; ++server)
    directory.Put(MakeRecord("i-" + std::to_string(server)), kNow);
  ServerChoiceRequest paced = MakeRequest("m");
  paced.parts = {{"shared", 600}};
  paced.work = balancing::RequestWork::kPaced;
  const ServerChoice first = ChooseServer(directory, paced, kNow);
  REQUIRE(first.server);
  CHECK_FALSE(first.other_pool);
  ServerChoiceRequest prompt = MakeRequest("m");
  prompt.parts = {{"document", 9'000}, {"own", 1}};
  prompt.work = balancing::RequestWork::kLongPrompt;
  first.server->RecordPrompt(prompt.model, prompt.parts);
  const ServerChoice second = ChooseServer(directory, prompt, kNow);
  REQUIRE(second.server);
  CHECK(second.server != first.server);
  CHECK_FALSE(second.other_pool);
}

TEST_CASE("A pool whose servers all fail is replaced by the other one") {
  // Guards against a preference that refuses requests or sends them to failing servers.
  ServerDirectory directory;
  for (int server = 0; server < 5; ++server)
    directory.Put(MakeRecord("i-" + std::to_string(server)), kNow);
  ServerChoiceRequest request = MakeRequest("m");
  request.work = GENERATE(balancing::RequestWork::kPaced, balancing::RequestWork::kLongPrompt);
  balancing::ServerPools pools;
  for (const ServerPtr& server : directory.Of("s")) pools.Add(server->rank());
  pools.Divide();
  std::vector<ServerPtr> own;
  for (const ServerPtr& server : directory.Of("s"))
    if (!pools.InOtherPool(server->rank(), request.work)) own.push_back(server);
  SECTION("recent failures: the servers stay candidates") {
    for (const ServerPtr& server : own) server->RecordFailure(kNow);
    const ServerChoice choice = ChooseServer(directory, request, kNow);
    REQUIRE(choice.server);
    CHECK_FALSE(choice.server->Suspect(kNow));
    CHECK(choice.other_pool);
  }
  SECTION("unreachable: the rest is divided anew") {
    for (const ServerPtr& server : own)
      for (int failure = 0; failure < 4; ++failure) server->MarkUnreachable(kNow);
    const ServerChoice choice = ChooseServer(directory, request, kNow);
    REQUIRE(choice.server);
    CHECK(choice.reason == NoServerReason::kNone);
    CHECK(pools.InOtherPool(choice.server->rank(), request.work));
  }
}

TEST_CASE("The index of servers by model follows changes of their records") {
  ServerDirectory directory;
  for (int server = 0; server < 100; ++server) {
    ServerRecord record = MakeRecord("i-" + std::to_string(server));
    record.models = {{"m" + std::to_string(server % 50), {}}};
    directory.Put(record, kNow);
  }
  const std::string service = directory.Find("i-0")->record().service;
  CHECK(directory.ServersWithModel(service, "m7").size() == 2);
  ServerRecord moved = directory.Find("i-7")->record();
  moved.models = {{"m8", {}}, {"m9", {}}};
  directory.Put(moved, kNow);
  CHECK(directory.ServersWithModel(service, "m7").size() == 1);
  CHECK(directory.ServersWithModel(service, "m8").size() == 3);
  directory.RecordModelHeld(directory.Find("i-7"), {"m7", "a1"}, kNow);
  CHECK(directory.ServersWithModel(service, "m7").size() == 2);
  directory.Remove("i-7");
  CHECK(directory.ServersWithModel(service, "m7").size() == 1);
  CHECK(directory.ServersWithModel(service, "m9").size() == 2);
  CHECK(directory.ServersWithModel(service, "m7").front()->record().id == "i-57");
}

}  // namespace
}  // namespace moorfold
