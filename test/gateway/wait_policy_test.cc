#include "gateway/wait_policy.h"

#include <catch2/catch.hpp>
#include <set>

namespace moorfold {
namespace {

using std::chrono::milliseconds;

const SteadyTime kArrival{std::chrono::hours(1)};

WaitingRequest MakeRequest(NoServerReason reason, milliseconds time_left = milliseconds(5'000)) {
  WaitingRequest request;
  request.arrival = kArrival;
  request.expires_at = kArrival + time_left;
  request.reason = reason;
  request.target = milliseconds(800);
  request.response_time = milliseconds(100);
  return request;
}

TEST_CASE("A request waits for an announced model load, plus a margin for overrun") {
  WaitingRequest request = MakeRequest(NoServerReason::kModelNotHeld);
  request.expected = ExpectedModelLoad{kArrival, kArrival + milliseconds(2'000)};
  CHECK(WaitDeadline(request) == kArrival + milliseconds(3'000));
}

TEST_CASE(
    "A request whose model loads too late is refused at once, with the load's remaining time") {
  WaitingRequest request = MakeRequest(NoServerReason::kModelNotHeld);
  request.expected = ExpectedModelLoad{kArrival, kArrival + milliseconds(6'000)};
  CHECK(WaitDeadline(request) <= kArrival);
  CHECK(RetryAfter(request, kArrival, 0) == milliseconds(6'000));
  // A load that leaves no time for the response is too late as well.
  request.expected = ExpectedModelLoad{kArrival, kArrival + milliseconds(4'950)};
  CHECK(WaitDeadline(request) <= kArrival);
}

TEST_CASE("Without an announcement a request waits for two of its daemon's demand reports") {
  CHECK(WaitDeadline(MakeRequest(NoServerReason::kModelNotHeld)) == kArrival + milliseconds(1'200));
  // An announced load that is long overdue counts as no announcement.
  WaitingRequest request = MakeRequest(NoServerReason::kModelNotHeld);
  request.expected =
      ExpectedModelLoad{kArrival - milliseconds(9'000), kArrival - milliseconds(6'000)};
  CHECK(WaitDeadline(request) == kArrival + milliseconds(1'200));
}

TEST_CASE(
    "Without an announcement a request also waits for the time of a load from disk, no longer") {
  WaitingRequest request = MakeRequest(NoServerReason::kModelNotHeld);
  request.load_time = milliseconds(840);
  CHECK(WaitDeadline(request) == kArrival + milliseconds(2'040));
  CHECK(RetryAfter(request, kArrival, 0) == milliseconds(2'040));
}

TEST_CASE("A request waits for a busy server while it can still meet its target") {
  CHECK(WaitDeadline(MakeRequest(NoServerReason::kAllUnusable)) == kArrival + milliseconds(800));
}

TEST_CASE(
    "A request stops waiting when no time is left for a response or the client would give up") {
  for (const NoServerReason reason : {NoServerReason::kModelNotHeld, NoServerReason::kAllUnusable,
                                      NoServerReason::kUnknownService}) {
    CHECK(WaitDeadline(MakeRequest(reason, milliseconds(300))) == kArrival + milliseconds(200));
    WaitingRequest request = MakeRequest(reason);
    request.stream_patience = milliseconds(400);
    CHECK(WaitDeadline(request) == kArrival + milliseconds(340));
  }
}

TEST_CASE("The retry delay of refused callers has a jitter of up to half its length") {
  const WaitingRequest request = MakeRequest(NoServerReason::kModelNotHeld);
  CHECK(RetryAfter(request, kArrival, 0) == milliseconds(1'200));
  CHECK(RetryAfter(request, kArrival, 1) == milliseconds(1'800));
  std::set<double> jitters;
  for (int id = 0; id < 100; ++id) {
    const double jitter = JitterOf("request-" + std::to_string(id));
    CHECK(jitter >= 0);
    CHECK(jitter < 1);
    jitters.insert(jitter);
  }
  CHECK(jitters.size() > 50);
}

TEST_CASE("Expected loads are stored by base model and removed when they are long overdue") {
  ExpectedModelLoads expected;
  expected.Note({"m", ""}, {kArrival, kArrival + milliseconds(1'000)});
  REQUIRE(expected.Find({"m", "a1"}));
  CHECK(expected.Find({"m", "a1"})->ready_at == kArrival + milliseconds(1'000));
  CHECK_FALSE(expected.Find({"other", ""}));
  const SteadyTime later = kArrival + milliseconds(9'000);
  expected.Note({"n", ""}, {later, later + milliseconds(1'000)});
  CHECK_FALSE(expected.Find({"m", ""}));
}

}  // namespace
}  // namespace moorfold
