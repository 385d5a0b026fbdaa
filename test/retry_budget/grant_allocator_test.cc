#include "retry_budget/grant_allocator.h"

#include <catch2/catch.hpp>

#include "retry_budget/earned_retries.h"

namespace moorfold::retry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kWindow{10};
constexpr Time kStart{seconds(1'000)};

/// Grants one at a time for as long as there are any.
std::uint32_t GrantAll(GrantAllocator& allocator, Time now) {
  std::uint32_t granted = 0;
  while (allocator.Grant("s", 1, now) == 1) ++granted;
  return granted;
}

TEST_CASE("A new leader grants no retries while grants of its predecessor may still be used") {
  GrantAllocator allocator(kWindow, 40);
  allocator.Lead(kStart);
  CHECK(GrantAll(allocator, kStart) == 0);
  CHECK(GrantAll(allocator, kStart + kWindow + kGrantLifetime) == 0);
  CHECK(GrantAll(allocator, kStart + seconds(12)) == 30);
}

TEST_CASE("A leader that loses its lease for a moment remembers what it has granted") {
  GrantAllocator allocator(kWindow, 40);
  allocator.Lead(kStart);
  const Time later = kStart + seconds(12);
  for (Time now = kStart; now < later; now += seconds(1)) allocator.Lead(now);
  CHECK(GrantAll(allocator, later) == 30);
  allocator.Lead(later + seconds(5));
  CHECK(GrantAll(allocator, later + seconds(5)) == 0);
}

TEST_CASE("A leader that another one may have succeeded waits again before it grants retries") {
  GrantAllocator allocator(kWindow, 40);
  allocator.Lead(kStart);
  const Time much_later = kStart + seconds(60);
  allocator.Lead(much_later);
  CHECK(GrantAll(allocator, much_later + seconds(1)) == 0);
}

TEST_CASE("One query does not get all retries that are left, and services do not share them") {
  GrantAllocator allocator(kWindow, 40);
  allocator.Lead(kStart);
  const Time now = kStart + seconds(12);
  CHECK(allocator.Grant("s", 1'000, now) == 8);
  CHECK(allocator.Grant("s", 2, now) == 2);
  CHECK(allocator.Grant("other", 1'000, now) == 8);
  CHECK(allocator.size() == 2);
  allocator.RemoveIdle(now + seconds(12));
  CHECK(allocator.size() == 0);
}

TEST_CASE("Earned retries expire, and a process that starts anew has none") {
  EarnedRetries earned(kWindow, 0.2);
  for (int request = 0; request < 100; ++request) earned.RecordRequest(kStart);
  CHECK(earned.Available(kStart) == 17);
  CHECK(earned.TryTake(kStart + milliseconds(1'200)));
  CHECK(earned.Available(kStart + milliseconds(1'250)) == 0);
  CHECK_FALSE(earned.TryTake(kStart + milliseconds(1'250)));
  CHECK(EarnedRetries(kWindow, 0.2).Available(kStart) == 0);
}

}  // namespace
}  // namespace moorfold::retry
