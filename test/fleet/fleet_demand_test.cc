// Tests how the leader aggregates demand reports, and the limit on the rate of loads.

#include "fleet/fleet_demand.h"

#include <catch2/catch.hpp>

#include "common/boot_clock.h"
#include "demand_report.h"
#include "fleet/load_rate_limiter.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = BootClock::time_point;

const Time kNow{seconds(1000)};

TEST_CASE("Loads that may begin keep to the rate in every window, including unanswered ones") {
  LoadRateLimiter window(milliseconds(5'000));
  CHECK(window.AvailableLoads(4, kNow) == 20);
  for (int load = 0; load < 20; ++load) window.RecordLoad(kNow);
  CHECK(window.AvailableLoads(4, kNow + milliseconds(4'999)) == 0);
  CHECK(window.AvailableLoads(4, kNow + milliseconds(5'001)) == 20);
  window.RecordUnansweredLoad(kNow + seconds(6));
  CHECK(window.AvailableLoads(4, kNow + seconds(20)) == 19);
  CHECK(window.AvailableLoads(4, kNow + seconds(30)) == 20);
}

TEST_CASE("Demand adds up over daemons, and the share of a silent daemon expires") {
  FleetDemand demand;
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 1, 2, 3}}), kNow);
  demand.Add(MakeReport("two", {{"s", {"m", ""}, 4, 0, 1}}), kNow);
  const auto both = demand.ForService("s", kNow);
  CHECK(both.at({"m", ""}).waiting == 5);
  CHECK(both.at({"m", ""}).in_flight == 2);
  CHECK(both.at({"m", ""}).arrivals_per_second == Approx(1));
  const auto later = demand.ForService("s", kNow + seconds(2));
  CHECK(later.at({"m", ""}).waiting == 0);
  CHECK(later.at({"m", ""}).arrivals_per_second < 1);
  CHECK(demand.ForService("other", kNow).empty());
}

TEST_CASE("The unserved time of a model spans repeated waits and ends with a served request") {
  FleetDemand demand;
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 1, 0, 1}}), kNow);
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 0, 0, 0}}), kNow + seconds(2));
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 1, 0, 1}}), kNow + seconds(5));
  CHECK(demand.ForService("s", kNow + seconds(6)).at({"m", ""}).unserved_s == Approx(6));
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 0, 1, 0}}), kNow + seconds(7));
  CHECK(demand.ForService("s", kNow + seconds(8)).at({"m", ""}).unserved_s == 0);
}

TEST_CASE("Late responses are reported to the leader once, and their rate decays") {
  ModelDemandCounters counters;
  counters.CountsOf("s", {"m", ""}).late = 3;
  const std::vector<DemandEntry> entries = counters.Take();
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].late == 3);
  CHECK(counters.Take().empty());
  FleetDemand demand;
  demand.Add(MakeReport("one", entries), kNow);
  const double now = demand.ForService("s", kNow).at({"m", ""}).late_responses_per_second;
  CHECK(now > 0.5);
  CHECK(demand.ForService("s", kNow + seconds(8)).at({"m", ""}).late_responses_per_second <
        now / 4);
}

TEST_CASE(
    "A server is unreachable if two daemons report it, not if one does that may itself be "
    "isolated") {
  FleetDemand demand;
  demand.Add(MakeReport("one", {}, {"i"}), kNow);
  demand.Add(MakeReport("one", {}, {"i"}), kNow + milliseconds(100));
  CHECK_FALSE(demand.Unreachable("i", kNow + milliseconds(200)));
  demand.Add(MakeReport("two", {}, {"i"}), kNow + milliseconds(200));
  CHECK(demand.Unreachable("i", kNow + milliseconds(300)));
  CHECK_FALSE(demand.Unreachable("i", kNow + seconds(3)));
}

}  // namespace
}  // namespace moorfold
