#include "server_limits/permit_allocator.h"

#include <catch2/catch.hpp>

#include "server_limits/fallback_permits.h"
#include "server_limits/limit_shares.h"

namespace moorfold::limits {
namespace {

using std::chrono::milliseconds;

const Time kStart{std::chrono::hours(1)};

PermitRequest Limited(double per_second, milliseconds max_wait = milliseconds(0)) {
  return {1, "i-1", 0, true, per_second, 0, std::chrono::microseconds(max_wait).count()};
}

PermitRequest Unlimited(milliseconds age = milliseconds(0)) {
  return {1, "i-1", 0, false, 0, std::chrono::microseconds(age).count(), -1};
}

int Granted(PermitAllocator& pool, const PermitRequest& question, AllocatorRole role, Time from,
            milliseconds time) {
  int granted = 0;
  for (Time at = from; at < from + time; at += milliseconds(10))
    if (pool.Answer(question, role, at).verdict == PermitVerdict::kGranted) ++granted;
  return granted;
}

TEST_CASE("A leader gives out its share of a limit, evenly, and begins without a turn") {
  PermitAllocator pool;
  CHECK(pool.Answer(Limited(10), AllocatorRole::kLeader, kStart).verdict == PermitVerdict::kDenied);
  const int granted =
      Granted(pool, Limited(10), AllocatorRole::kLeader, kStart, milliseconds(10'000));
  CHECK(granted <= 100 * kLeaderShare);
  CHECK(granted >= 80 * kLeaderShare);
}

TEST_CASE("A deputy gives out less, and a daemon that neither leads nor led gives nothing") {
  PermitAllocator pool;
  const int granted =
      Granted(pool, Limited(10), AllocatorRole::kDeputy, kStart, milliseconds(10'000));
  CHECK(granted <= 100 * kDeputyShare);
  CHECK(granted >= 80 * kDeputyShare);
  CHECK(pool.Answer(Limited(10), AllocatorRole::kNone, kStart).verdict ==
        PermitVerdict::kNotAllocator);
}

TEST_CASE("A request that waits gets a turn of its own; one that would not is told when to ask") {
  PermitAllocator pool;
  pool.Answer(Limited(1), AllocatorRole::kLeader, kStart);
  const PermitResponse first =
      pool.Answer(Limited(1, milliseconds(3'000)), AllocatorRole::kLeader, kStart);
  const PermitResponse second =
      pool.Answer(Limited(1, milliseconds(3'000)), AllocatorRole::kLeader, kStart);
  CHECK(first.verdict == PermitVerdict::kGranted);
  CHECK(second.verdict == PermitVerdict::kGranted);
  CHECK(second.wait_us - first.wait_us == Approx(1e6 / kLeaderShare).margin(10));
  const PermitResponse third = pool.Answer(Limited(1), AllocatorRole::kLeader, kStart);
  CHECK(third.verdict == PermitVerdict::kDenied);
  CHECK(third.wait_us > 0);
}

TEST_CASE("The newest word of a server counts, whoever tells it") {
  PermitAllocator pool;
  pool.Answer(Limited(1), AllocatorRole::kLeader, kStart);
  const Time later = kStart + milliseconds(500);
  pool.Answer(Unlimited(milliseconds(900)), AllocatorRole::kLeader, later);
  CHECK(pool.Answer(Limited(1), AllocatorRole::kLeader, later).verdict == PermitVerdict::kDenied);
  pool.Answer(Unlimited(), AllocatorRole::kLeader, later);
  PermitRequest old = Limited(1);
  old.age_us = 100'000;
  CHECK(pool.Answer(old, AllocatorRole::kLeader, later).verdict == PermitVerdict::kUnlimited);
}

TEST_CASE("A server that takes nothing is asked now and then whether that has ended") {
  PermitAllocator pool;
  const int granted =
      Granted(pool, Limited(0), AllocatorRole::kLeader, kStart, milliseconds(60'000));
  CHECK(granted >= 4);
  CHECK(granted <= 60 * kProbesPerSecond);
}

TEST_CASE("Servers that nobody asks for any more are forgotten") {
  PermitAllocator pool;
  for (int number = 0; number < 100; ++number) {
    PermitRequest question = Limited(1);
    question.server_id += std::to_string(number);
    pool.Answer(question, AllocatorRole::kLeader, kStart);
  }
  CHECK(pool.size() == 100);
  pool.Answer(Limited(1), AllocatorRole::kLeader, kStart + std::chrono::minutes(3));
  CHECK(pool.size() == 1);
}

TEST_CASE(
    "Daemons that reach nobody use their parts of a limit and no more, at times of their own") {
  constexpr std::uint32_t kDaemons = 40;
  constexpr int kSeconds = 400;
  std::vector<FallbackPermits> daemons;
  for (std::uint32_t number = 0; number < kDaemons; ++number) daemons.emplace_back(number);
  int taken = 0;
  int most_at_once = 0;
  for (int tick = 0; tick < kSeconds * 20; ++tick) {
    const int before = taken;
    for (FallbackPermits& turns : daemons)
      if (turns.TryAcquire("i-1", 10, kDaemons, kStart + milliseconds(50) * tick)) ++taken;
    most_at_once = std::max(most_at_once, taken - before);
  }
  CHECK(taken == Approx(kSeconds * 10 * kFallbackShare).epsilon(0.1));
  CHECK(most_at_once <= 5);
}

}  // namespace
}  // namespace moorfold::limits
