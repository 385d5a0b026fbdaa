#include "server_limits/permit_pool.h"

#include <catch2/catch.hpp>

#include "server_limits/limit_shares.h"
#include "server_limits/own_turns.h"

namespace moorfold::limits {
namespace {

using std::chrono::milliseconds;

const Time kStart{std::chrono::hours(1)};

PermitQuestion Limited(double per_second, milliseconds patience = milliseconds(0)) {
  return {1, "i-1", 0, true, per_second, 0, std::chrono::microseconds(patience).count()};
}

PermitQuestion Unlimited(milliseconds age = milliseconds(0)) {
  return {1, "i-1", 0, false, 0, std::chrono::microseconds(age).count(), -1};
}

int Granted(PermitPool& pool, const PermitQuestion& question, PoolRole role, Time from,
            milliseconds time) {
  int granted = 0;
  for (Time at = from; at < from + time; at += milliseconds(10))
    if (pool.Answer(question, role, at).verdict == PermitVerdict::kGranted) ++granted;
  return granted;
}

TEST_CASE("A leader gives out its share of a limit, evenly, and begins without a turn") {
  PermitPool pool;
  CHECK(pool.Answer(Limited(10), PoolRole::kLeader, kStart).verdict == PermitVerdict::kDenied);
  const int granted = Granted(pool, Limited(10), PoolRole::kLeader, kStart, milliseconds(10'000));
  CHECK(granted <= 100 * kLeaderShare);
  CHECK(granted >= 80 * kLeaderShare);
}

TEST_CASE("A deputy gives out less, and a daemon that neither leads nor led gives nothing") {
  PermitPool pool;
  const int granted = Granted(pool, Limited(10), PoolRole::kDeputy, kStart, milliseconds(10'000));
  CHECK(granted <= 100 * kDeputyShare);
  CHECK(granted >= 80 * kDeputyShare);
  CHECK(pool.Answer(Limited(10), PoolRole::kNone, kStart).verdict == PermitVerdict::kNotHere);
}

TEST_CASE("A request that waits gets a turn of its own; one that would not is told when to ask") {
  PermitPool pool;
  pool.Answer(Limited(1), PoolRole::kLeader, kStart);
  const PermitAnswer first =
      pool.Answer(Limited(1, milliseconds(3'000)), PoolRole::kLeader, kStart);
  const PermitAnswer second =
      pool.Answer(Limited(1, milliseconds(3'000)), PoolRole::kLeader, kStart);
  CHECK(first.verdict == PermitVerdict::kGranted);
  CHECK(second.verdict == PermitVerdict::kGranted);
  CHECK(second.wait_us - first.wait_us == Approx(1e6 / kLeaderShare).margin(10));
  const PermitAnswer third = pool.Answer(Limited(1), PoolRole::kLeader, kStart);
  CHECK(third.verdict == PermitVerdict::kDenied);
  CHECK(third.wait_us > 0);
}

TEST_CASE("The newest word of a server counts, whoever tells it") {
  PermitPool pool;
  pool.Answer(Limited(1), PoolRole::kLeader, kStart);
  const Time later = kStart + milliseconds(500);
  pool.Answer(Unlimited(milliseconds(900)), PoolRole::kLeader, later);
  CHECK(pool.Answer(Limited(1), PoolRole::kLeader, later).verdict == PermitVerdict::kDenied);
  pool.Answer(Unlimited(), PoolRole::kLeader, later);
  PermitQuestion old = Limited(1);
  old.age_us = 100'000;
  CHECK(pool.Answer(old, PoolRole::kLeader, later).verdict == PermitVerdict::kUnlimited);
}

TEST_CASE("A server that takes nothing is asked now and then whether that has ended") {
  PermitPool pool;
  const int granted = Granted(pool, Limited(0), PoolRole::kLeader, kStart, milliseconds(60'000));
  CHECK(granted >= 4);
  CHECK(granted <= 60 * kProbesPerSecond);
}

TEST_CASE("Servers that nobody asks for any more are forgotten") {
  PermitPool pool;
  for (int number = 0; number < 100; ++number) {
    PermitQuestion question = Limited(1);
    question.server_id += std::to_string(number);
    pool.Answer(question, PoolRole::kLeader, kStart);
  }
  CHECK(pool.size() == 100);
  pool.Answer(Limited(1), PoolRole::kLeader, kStart + std::chrono::minutes(3));
  CHECK(pool.size() == 1);
}

TEST_CASE(
    "Daemons that reach nobody use their parts of a limit and no more, at times of their own") {
  constexpr std::uint32_t kDaemons = 40;
  constexpr int kSeconds = 400;
  std::vector<OwnTurns> daemons;
  for (std::uint32_t number = 0; number < kDaemons; ++number) daemons.emplace_back(number);
  int taken = 0;
  int most_at_once = 0;
  for (int tick = 0; tick < kSeconds * 20; ++tick) {
    const int before = taken;
    for (OwnTurns& turns : daemons)
      if (turns.Take("i-1", 10, kDaemons, kStart + milliseconds(50) * tick)) ++taken;
    most_at_once = std::max(most_at_once, taken - before);
  }
  CHECK(taken == Approx(kSeconds * 10 * kOwnShare).epsilon(0.1));
  CHECK(most_at_once <= 5);
}

}  // namespace
}  // namespace moorfold::limits
