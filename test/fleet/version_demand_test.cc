// Tests how requests that are bound to a software version are counted and reach the leader's
// planner.

#include "fleet/version_demand.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = BootClock::time_point;

const Time kNow{seconds(1000)};

VersionDemand Report(const std::string& sender, std::uint32_t waiting,
                     const std::string& version = "v1") {
  return {sender, {{"s", {"m", ""}, version, waiting}}};
}

TEST_CASE("Requests refused at once count in one report, waiting ones in each until they end") {
  ModelDemandCounters counters;
  counters.NeedOnVersion("s", {"m", ""}, "v1");
  counters.NeedOnVersion("s", {"m", ""}, "v1");
  counters.NeedOnVersion("s", {"m", ""}, "v2");
  {
    const ScopedVersionNeed waiting(counters, "s", {"m", ""}, "v1");
    const auto first = counters.TakeVersionDemand();
    REQUIRE(first.size() == 2);
    CHECK(first[0].software_version == "v1");
    CHECK(first[0].waiting == 3);
    CHECK(first[1].software_version == "v2");
    CHECK(first[1].waiting == 1);
    const auto second = counters.TakeVersionDemand();
    REQUIRE(second.size() == 1);
    CHECK(second[0].waiting == 1);
  }
  CHECK(counters.TakeVersionDemand().empty());
  CHECK(counters.Take().empty());  // Does not change the demand for any version.
}

TEST_CASE("Demand by software version adds up over daemons, apart from other versions") {
  FleetVersionDemand demand;
  demand.Add(Report("one", 1), kNow);
  demand.Add(Report("two", 2), kNow);
  demand.Add(Report("two", 3), kNow + seconds(1));
  demand.Add(Report("two", 7, "v2"), kNow + seconds(1));
  const auto needs = demand.ForService("s", kNow + seconds(1));
  REQUIRE(needs.size() == 2);
  CHECK(needs[0].software_version == "v1");
  CHECK(needs[0].waiting == 4);
  CHECK(needs[0].unserved_s == Approx(1));
  CHECK(needs[1].software_version == "v2");
  CHECK(needs[1].waiting == 7);
  CHECK(demand.ForService("other", kNow).empty());
}

TEST_CASE("A need that no daemon reports again ends by itself within seconds") {
  // Guards against a model that is loaded for streams that have gone.
  FleetVersionDemand demand;
  demand.Add(Report("one", 1), kNow);
  const auto reported = demand.ForService("s", kNow + seconds(2));
  REQUIRE(reported.size() == 1);
  CHECK(reported[0].waiting == 1);
  const auto past = demand.ForService("s", kNow + seconds(4));
  REQUIRE(past.size() == 1);
  CHECK(past[0].waiting == 0);
  CHECK(demand.ForService("s", kNow + seconds(7)).empty());
  demand.Add(Report("one", 1), kNow + seconds(8));
  CHECK(demand.ForService("s", kNow + seconds(9)).at(0).unserved_s == Approx(1));
}

TEST_CASE("A report without waiting requests makes no need") {
  FleetVersionDemand demand;
  demand.Add(Report("one", 0), kNow);
  CHECK(demand.ForService("s", kNow).empty());
}

}  // namespace
}  // namespace moorfold
