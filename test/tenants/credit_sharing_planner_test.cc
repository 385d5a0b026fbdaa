// Tests for the counting of daemons that share limits and for the selection of pools.

#include "tenants/credit_sharing_planner.h"

#include <catch2/catch.hpp>

namespace moorfold::quota {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Time = CreditSharingPlanner::Time;

const Time kStart{std::chrono::hours(1)};

std::string Address(int number) { return "10.0.0." + std::to_string(number) + ":1"; }

/// All of `count` daemons report at `now`.
void ReportAll(CreditSharingPlanner& planner, int count, Time now) {
  for (int number = 1; number <= count; ++number)
    planner.Note(Address(number), number % 10 == 0 ? 0.5 : 0.1, now);
}

TEST_CASE("The first leader publishes no count before the fleet has had time to report") {
  CreditSharingPlanner planner(Address(0), 0.1);
  ReportAll(planner, 3, kStart);
  CHECK(planner.Count({}, kStart, kStart + seconds(1)).daemons == 0);
  ReportAll(planner, 83, kStart + seconds(2));
  CHECK(planner.Count({}, kStart, kStart + seconds(3)).daemons == 84);
}

TEST_CASE(
    "A new leader with three reports keeps its predecessor's count instead of counting three") {
  CreditSharingPlanner planner(Address(0), 0.1);
  ReportAll(planner, 3, kStart);
  CHECK(planner.Count({84, {}}, kStart, kStart + seconds(1)).daemons == 84);
}

TEST_CASE("An increase in daemons counts at once, a decrease after minutes") {
  CreditSharingPlanner planner(Address(0), 0.1);
  const Time later = kStart + minutes(20);
  ReportAll(planner, 99, later);
  CHECK(planner.Count({84, {}}, kStart, later).daemons == 100);
  ReportAll(planner, 49, later + minutes(4));
  CHECK(planner.Count({100, {}}, kStart, later + minutes(4)).daemons == 100);
  ReportAll(planner, 49, later + minutes(6));
  CHECK(planner.Count({100, {}}, kStart, later + minutes(6)).daemons == 50);
}

TEST_CASE("The strongest daemons become pools and stay pools as long as they report") {
  CreditSharingPlanner planner(Address(0), 0.1);
  const Time now = kStart + minutes(1);
  ReportAll(planner, 83, now);
  const CreditSharing first = planner.Count({}, kStart, now);
  REQUIRE(first.hosts.size() == 3);
  for (const std::string& host : first.hosts) CHECK(host.ends_with("0:1"));
  planner.Note("10.0.0.99:1", 8, now);
  CHECK(planner.Count(first, kStart, now).hosts == first.hosts);
  const Time later = now + seconds(4);
  for (int number = 1; number <= 83; ++number)
    if (Address(number) != first.hosts[1])
      planner.Note(Address(number), number % 10 == 0 ? 0.5 : 0.1, later);
  const CreditSharing second = planner.Count(first, kStart, later);
  REQUIRE(second.hosts.size() == 3);
  CHECK(second.hosts[0] == first.hosts[0]);
  CHECK(second.hosts[1] == first.hosts[2]);
}

TEST_CASE("A new leader keeps the pools until they have had time to report to it") {
  CreditSharingPlanner planner(Address(0), 0.1);
  const CreditSharing known{84, {Address(50), Address(60), Address(70)}};
  CHECK(planner.Count(known, kStart, kStart + seconds(1)).hosts == known.hosts);
  CHECK(planner.Count(known, kStart, kStart + seconds(4)).hosts ==
        std::vector<std::string>{Address(0)});
}

TEST_CASE(
    "The number of pools grows with the fleet up to a maximum; a single daemon is its own pool") {
  CreditSharingPlanner alone(Address(0), 0.1);
  CHECK(alone.Count({}, kStart, kStart + seconds(3)).hosts == std::vector<std::string>{Address(0)});
  CreditSharingPlanner large(Address(0), 0.1);
  for (int number = 1; number <= 409; ++number)
    large.Note("10.0.1." + std::to_string(number) + ":1", 0.2, kStart);
  CHECK(large.Count({}, kStart, kStart + milliseconds(2'600)).hosts.size() == 8);
}

}  // namespace
}  // namespace moorfold::quota
