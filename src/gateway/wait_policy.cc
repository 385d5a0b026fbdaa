#include "gateway/wait_policy.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// More than the number of concurrent model loads: each server executes one order at a time.
constexpr std::size_t kMaxExpectedLoads = 4'096;
/// Time for the leader to announce a load: a daemon reports a waiting request at once and again
/// after half a second, the leader plans every 0.1 s and its message takes a few milliseconds; one
/// datagram may be lost.
constexpr milliseconds kLeaderResponseTime{1'200};
/// Loads take longer than stated when several share a weight store: allow half as long again, and
/// at least the interval at which the end of a load is polled.
constexpr double kOverrunShare = 0.5;
constexpr milliseconds kMinOverrun{300};
/// Share of the client's patience after which a waiting stream request is refused: the client then
/// receives a Retry-After before it gives up.
constexpr double kStreamPatienceShare = 0.85;
/// Maximum jitter, as a share of the common retry delay.
constexpr double kJitterShare = 0.5;
/// Minimum delay without an announced load: a busy server has capacity again after about one
/// response time.
constexpr milliseconds kMinRetryAfter{100};

SteadyTime LatestUsefulStart(const WaitingRequest& request) {
  SteadyTime last = request.expires_at - request.response_time;
  if (request.stream_patience)
    last = std::min(last, request.arrival + std::chrono::duration_cast<milliseconds>(
                                                *request.stream_patience * kStreamPatienceShare));
  return last;
}

SteadyTime ExpectedLoadExpiry(const ExpectedModelLoad& expected) {
  const auto stated =
      std::chrono::duration_cast<milliseconds>(expected.ready_at - expected.announced_at);
  const auto overrun = std::chrono::duration_cast<milliseconds>(stated * kOverrunShare);
  return expected.ready_at + std::max(kMinOverrun, overrun);
}

}  // namespace

void ExpectedModelLoads::Note(const ModelReference& model, ExpectedModelLoad expected_load) {
  std::erase_if(by_model_, [&](const auto& entry) {
    return ExpectedLoadExpiry(entry.second) < expected_load.announced_at;
  });
  if (by_model_.size() < kMaxExpectedLoads) by_model_[model.model] = expected_load;
}

void ExpectedModelLoads::NoteOutlook(const ModelReference& model, ExpectedModelLoad outlook) {
  const auto found = by_model_.find(model.model);
  if (found != by_model_.end() && !found->second.from_outlook &&
      ExpectedLoadExpiry(found->second) >= outlook.announced_at)
    return;
  outlook.from_outlook = true;
  Note(model, outlook);
}

std::optional<ExpectedModelLoad> ExpectedModelLoads::Find(const ModelReference& model) const {
  const auto found = by_model_.find(model.model);
  if (found == by_model_.end()) return std::nullopt;
  return found->second;
}

SteadyTime WaitDeadline(const WaitingRequest& request) {
  if (request.reason == NoServerReason::kQuarantined ||
      request.reason == NoServerReason::kVersionNotServed)
    return request.arrival;
  const SteadyTime latest_start = LatestUsefulStart(request);
  const SteadyTime target_deadline = std::min(latest_start, request.arrival + request.target);
  if (request.reason == NoServerReason::kAtLimit && request.capacity_at > target_deadline)
    return request.arrival;
  if (request.reason != NoServerReason::kModelNotHeld) return target_deadline;
  const SteadyTime no_announcement_deadline =
      request.arrival + kLeaderResponseTime + request.load_time;
  if (!request.expected) return std::min(latest_start, no_announcement_deadline);
  if (request.expected->ready_at > latest_start) return request.arrival;
  const SteadyTime load_expiry =
      std::max(ExpectedLoadExpiry(*request.expected), no_announcement_deadline);
  return std::min(latest_start, load_expiry);
}

bool RefusedByOutlook(const WaitingRequest& request) {
  return request.reason == NoServerReason::kModelNotHeld && request.expected &&
         request.expected->from_outlook && request.expected->ready_at > LatestUsefulStart(request);
}

milliseconds RetryAfter(const WaitingRequest& request, SteadyTime now, double jitter) {
  milliseconds delay = std::max(kMinRetryAfter, request.response_time);
  if (request.reason == NoServerReason::kAtLimit && request.capacity_at > now)
    delay = std::max(delay, std::chrono::ceil<milliseconds>(request.capacity_at - now));
  if (request.reason == NoServerReason::kModelNotHeld) {
    delay = kLeaderResponseTime + request.load_time;
    if (request.expected && request.expected->ready_at > now)
      delay = std::chrono::ceil<milliseconds>(request.expected->ready_at - now);
  }
  return delay + std::chrono::duration_cast<milliseconds>(delay * (kJitterShare * jitter));
}

double JitterOf(const std::string& request_id) {
  constexpr std::size_t kSteps = 1'000;
  return static_cast<double>(std::hash<std::string>{}(request_id) % kSteps) / kSteps;
}

}  // namespace moorfold
