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

int CountGranted(PermitAllocator& allocator, const PermitRequest& request, AllocatorRole role,
                 Time from, milliseconds time) {
  int granted = 0;
  for (Time at = from; at < from + time; at += milliseconds(10))
    if (allocator.Allocate(request, role, at).verdict == PermitVerdict::kGranted) ++granted;
  return granted;
}

TEST_CASE("A leader grants its share of a limit evenly and starts without a saved permit") {
  PermitAllocator allocator;
  CHECK(allocator.Allocate(Limited(10), AllocatorRole::kLeader, kStart).verdict ==
        PermitVerdict::kDenied);
  const int granted =
      CountGranted(allocator, Limited(10), AllocatorRole::kLeader, kStart, milliseconds(10'000));
  CHECK(granted <= 100 * kLeaderShare);
  CHECK(granted >= 80 * kLeaderShare);
}

TEST_CASE(
    "A deputy grants a smaller share, and a daemon that is neither leader nor deputy grants "
    "nothing") {
  PermitAllocator allocator;
  const int granted =
      CountGranted(allocator, Limited(10), AllocatorRole::kDeputy, kStart, milliseconds(10'000));
  CHECK(granted <= 100 * kDeputyShare);
  CHECK(granted >= 80 * kDeputyShare);
  CHECK(allocator.Allocate(Limited(10), AllocatorRole::kNone, kStart).verdict ==
        PermitVerdict::kNotAllocator);
}

TEST_CASE(
    "Each waiting request gets its own permit, and one that cannot wait is told when to ask "
    "again") {
  PermitAllocator allocator;
  allocator.Allocate(Limited(1), AllocatorRole::kLeader, kStart);
  const PermitResponse first =
      allocator.Allocate(Limited(1, milliseconds(3'000)), AllocatorRole::kLeader, kStart);
  const PermitResponse second =
      allocator.Allocate(Limited(1, milliseconds(3'000)), AllocatorRole::kLeader, kStart);
  CHECK(first.verdict == PermitVerdict::kGranted);
  CHECK(second.verdict == PermitVerdict::kGranted);
  CHECK(second.wait_us - first.wait_us == Approx(1e6 / kLeaderShare).margin(10));
  const PermitResponse third = allocator.Allocate(Limited(1), AllocatorRole::kLeader, kStart);
  CHECK(third.verdict == PermitVerdict::kDenied);
  CHECK(third.wait_us > 0);
}

TEST_CASE("The newest statement of a server counts, whichever daemon reports it") {
  PermitAllocator allocator;
  allocator.Allocate(Limited(1), AllocatorRole::kLeader, kStart);
  const Time later = kStart + milliseconds(500);
  allocator.Allocate(Unlimited(milliseconds(900)), AllocatorRole::kLeader, later);
  CHECK(allocator.Allocate(Limited(1), AllocatorRole::kLeader, later).verdict ==
        PermitVerdict::kDenied);
  allocator.Allocate(Unlimited(), AllocatorRole::kLeader, later);
  PermitRequest old = Limited(1);
  old.age_us = 100'000;
  CHECK(allocator.Allocate(old, AllocatorRole::kLeader, later).verdict ==
        PermitVerdict::kUnlimited);
}

TEST_CASE(
    "A server with a limit of zero still gets occasional requests, to detect the end of the "
    "limit") {
  PermitAllocator allocator;
  const int granted =
      CountGranted(allocator, Limited(0), AllocatorRole::kLeader, kStart, milliseconds(60'000));
  CHECK(granted >= 4);
  CHECK(granted <= 60 * kProbesPerSecond);
}

TEST_CASE("Entries of servers without permit requests are removed") {
  PermitAllocator allocator;
  for (int number = 0; number < 100; ++number) {
    PermitRequest request = Limited(1);
    request.server_id += std::to_string(number);
    allocator.Allocate(request, AllocatorRole::kLeader, kStart);
  }
  CHECK(allocator.size() == 100);
  allocator.Allocate(Limited(1), AllocatorRole::kLeader, kStart + std::chrono::minutes(3));
  CHECK(allocator.size() == 1);
}

TEST_CASE("Daemons without an allocator use no more than the fallback share, spread over time") {
  constexpr std::uint32_t kDaemons = 40;
  constexpr int kSeconds = 400;
  std::vector<FallbackPermits> daemons;
  for (std::uint32_t number = 0; number < kDaemons; ++number) daemons.emplace_back(number);
  int acquired = 0;
  int most_at_once = 0;
  for (int tick = 0; tick < kSeconds * 20; ++tick) {
    const int before = acquired;
    for (FallbackPermits& permits : daemons)
      if (permits.TryAcquire("i-1", 10, kDaemons, kStart + milliseconds(50) * tick)) ++acquired;
    most_at_once = std::max(most_at_once, acquired - before);
  }
  CHECK(acquired == Approx(kSeconds * 10 * kFallbackShare).epsilon(0.1));
  CHECK(most_at_once <= 5);
}

}  // namespace
}  // namespace moorfold::limits
