#include "gateway/wait_policy.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// More models than are on their way at a time: orders run one to a server.
constexpr std::size_t kMostExpected = 4'096;
/// A daemon reports a waiting request at once and again after half a second, the leader plans every
/// 0.1 s and its word takes some milliseconds; one datagram may be lost.
constexpr milliseconds kLeaderAnswers{1'200};
/// Loads take longer than stated where several share a store: half as long again, and not less than
/// the steps at which their end is looked for.
constexpr double kOverrun = 0.5;
constexpr milliseconds kLeastOverrun{300};
/// Of the time that a silent stream is borne: refused before its client gives up, it can come back.
constexpr double kPatienceShare = 0.85;
/// Refused callers come back within this share more than the time stated for all.
constexpr double kSpreadShare = 0.5;
/// Where nothing is expected: a busy server has another place after about an answer's time.
constexpr milliseconds kLeastComeBack{100};

SteadyTime LastUseful(const WaitingRequest& request) {
  SteadyTime last = request.end - request.answer;
  if (request.patience)
    last = std::min(last, request.arrival + std::chrono::duration_cast<milliseconds>(
                                                *request.patience * kPatienceShare));
  return last;
}

SteadyTime GivenUpAt(const ExpectedModelLoad& expected) {
  const auto stated =
      std::chrono::duration_cast<milliseconds>(expected.ready_at - expected.told_at);
  const auto overrun = std::chrono::duration_cast<milliseconds>(stated * kOverrun);
  return expected.ready_at + std::max(kLeastOverrun, overrun);
}

}  // namespace

void ExpectedModelLoads::Note(const ModelReference& model, ExpectedModelLoad expectation) {
  std::erase_if(by_model_,
                [&](const auto& entry) { return GivenUpAt(entry.second) < expectation.told_at; });
  if (by_model_.size() < kMostExpected) by_model_[model.model] = expectation;
}

std::optional<ExpectedModelLoad> ExpectedModelLoads::Find(const ModelReference& model) const {
  const auto found = by_model_.find(model.model);
  if (found == by_model_.end()) return std::nullopt;
  return found->second;
}

SteadyTime WaitDeadline(const WaitingRequest& request) {
  if (request.reason == NoServerReason::kQuarantined) return request.arrival;
  const SteadyTime last_useful = LastUseful(request);
  const SteadyTime place_wanted_by = std::min(last_useful, request.arrival + request.target);
  if (request.reason == NoServerReason::kAtLimit && request.capacity_at > place_wanted_by)
    return request.arrival;
  if (request.reason != NoServerReason::kModelNotHeld) return place_wanted_by;
  const SteadyTime unheard = request.arrival + kLeaderAnswers + request.load;
  if (!request.expected) return std::min(last_useful, unheard);
  if (request.expected->ready_at > last_useful) return request.arrival;
  const SteadyTime given_up = std::max(GivenUpAt(*request.expected), unheard);
  return std::min(last_useful, given_up);
}

milliseconds RetryAfter(const WaitingRequest& request, SteadyTime now, double spread) {
  milliseconds after = std::max(kLeastComeBack, request.answer);
  if (request.reason == NoServerReason::kAtLimit && request.capacity_at > now)
    after = std::max(after, std::chrono::ceil<milliseconds>(request.capacity_at - now));
  if (request.reason == NoServerReason::kModelNotHeld) {
    after = kLeaderAnswers + request.load;
    if (request.expected && request.expected->ready_at > now)
      after = std::chrono::ceil<milliseconds>(request.expected->ready_at - now);
  }
  return after + std::chrono::duration_cast<milliseconds>(after * (kSpreadShare * spread));
}

double JitterOf(const std::string& request_id) {
  constexpr std::size_t kSteps = 1'000;
  return static_cast<double>(std::hash<std::string>{}(request_id) % kSteps) / kSteps;
}

}  // namespace moorfold
