#include "relay/relay_plan.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "relay/relay_sources.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = RelayPlanner::Time;

constexpr Time kStart{seconds(1'000)};
const std::vector<std::string> kZones = {"north", "south", "west"};

std::string Address(int zone, int daemon) {
  return "10." + std::to_string(zone) + ".0." + std::to_string(daemon) + ":7000";
}

/// Three zones of ten daemons; the last three of each zone are strong.
struct Fleet {
  explicit Fleet(std::uint32_t from_daemons = 20) : planner(from_daemons) {}

  RelayPlanner::Member Member(int zone, int daemon) const {
    const double strength = daemon >= 7 ? 0.5 : 0.1;
    return {Address(zone, daemon), ZoneIdOf(kZones[static_cast<std::size_t>(zone)]), strength,
            false, true};
  }
  void ReportAll() {
    for (int zone = 0; zone < 3; ++zone)
      for (int daemon = 0; daemon < 10; ++daemon)
        if (Address(zone, daemon) != silent_daemon) planner.Note(Member(zone, daemon), now);
  }
  /// Every second all daemons report and the planner runs.
  RelayPlan RunFor(RelayPlan plan, int duration_s) {
    for (int second = 0; second < duration_s; ++second) {
      now += seconds(1);
      ReportAll();
      plan = planner.Plan(plan, kStart, now);
    }
    return plan;
  }

  RelayPlanner planner;
  Time now = kStart;
  std::string silent_daemon;
};

TEST_CASE("Each zone of a large fleet has its strongest daemons as relays") {
  Fleet fleet;
  const RelayPlan plan = fleet.RunFor({}, 3);
  REQUIRE(plan.zones.size() == 3);
  CHECK(plan.number == 1);
  CHECK(plan.daemons == 31);
  for (const ZoneRelays& zone : plan.zones) {
    REQUIRE(zone.relays.size() == 2);
    for (const std::string& relay : zone.relays) CHECK(relay.substr(relay.size() - 6, 1) >= "7");
  }
  CHECK(plan.Names(plan.zones[0].relays[1]));
  CHECK_FALSE(plan.Names(Address(0, 1)));
}

TEST_CASE("A zone has more relays the more daemons it has, and one of them watches the store") {
  RelayPlanner planner(20);
  const Time now = kStart + seconds(3);
  for (int daemon = 0; daemon < 200; ++daemon)
    planner.Note({Address(daemon / 100, daemon % 100), ZoneIdOf("north"), 0.5, false, true}, now);
  const RelayPlan plan = planner.Plan({}, kStart, now);
  REQUIRE(plan.zones.size() == 1);
  REQUIRE(plan.zones[0].relays.size() == 4);
  for (const std::string& relay : plan.zones[0].relays) {
    RelaySources sources(relay, ZoneIdOf("north"));
    sources.SetPlan(plan, now);
    CHECK(sources.Watches(now) == (relay == plan.zones[0].relays[0]));
  }
}

TEST_CASE("A plan stays until one of its relays stops reporting, and only that relay is replaced") {
  Fleet fleet;
  const RelayPlan first = fleet.RunFor({}, 3);
  CHECK(fleet.RunFor(first, 60).number == first.number);
  fleet.silent_daemon = first.zones[1].relays[0];
  CHECK(fleet.RunFor(first, 5).number == first.number);
  const RelayPlan second = fleet.RunFor(first, 10);
  CHECK(second.number == 2);
  CHECK_FALSE(second.Names(fleet.silent_daemon));
  CHECK(second.Names(first.zones[1].relays[1]));
  CHECK(second.zones[0] == first.zones[0]);
  CHECK(second.zones[1].relays.size() == 2);
}

TEST_CASE("A relay in a planned shutdown is replaced immediately") {
  Fleet fleet;
  const RelayPlan first = fleet.RunFor({}, 12);
  RelayPlanner::Member stopping = fleet.Member(0, 8);
  stopping.address = first.zones[0].relays[0];
  stopping.stopping = true;
  fleet.planner.Note(stopping, fleet.now);
  CHECK_FALSE(fleet.planner.Plan(first, kStart, fleet.now).Names(stopping.address));
}

TEST_CASE("A new leader keeps the plan until all daemons have had time to report") {
  Fleet fleet;
  const RelayPlan known = fleet.RunFor({}, 3);
  RelayPlanner another(20);
  another.Note(fleet.Member(0, 1), fleet.now);
  CHECK(another.Plan(known, fleet.now, fleet.now + seconds(2)).number == known.number);
  CHECK(another.Plan(known, fleet.now, fleet.now + seconds(10)).number == known.number + 1);
}

TEST_CASE("Small fleets, and those with a build that does not support relays, have none") {
  SECTION("small") {
    Fleet fleet(40);
    const RelayPlan plan = fleet.RunFor({}, 3);
    CHECK(plan.number == 1);  // The plan states that there are no relays.
    CHECK_FALSE(plan.needed());
  }
  SECTION("turned off") { CHECK_FALSE(Fleet(0).RunFor({}, 3).needed()); }
  SECTION("a build before") {
    Fleet fleet;
    RelayPlanner::Member before = fleet.Member(0, 1);
    before.address = "10.9.0.1:7000";
    before.supports_relays = false;
    fleet.planner.Note(before, fleet.now + seconds(2));
    CHECK_FALSE(fleet.RunFor({}, 3).needed());
    CHECK(fleet.RunFor({}, 12).needed());  // That daemon has timed out.
  }
  SECTION("not long enough since it began to lead") {
    Fleet fleet;
    fleet.ReportAll();
    CHECK(fleet.planner.Plan({}, kStart, kStart + milliseconds(500)).number == 0);
  }
}

/// The daemons whose address ends in .9 watch the store.
RelayPlan TwoZones() {
  return {1,
          31,
          {{ZoneIdOf("north"), {"10.0.0.9:1", "10.0.0.1:1", "10.0.0.2:1"}},
           {ZoneIdOf("south"), {"10.1.0.9:1", "10.1.0.1:1", "10.1.0.2:1"}}}};
}

RelaySources SourcesFor(const std::string& address) {
  RelaySources sources(address, ZoneIdOf("north"));
  sources.SetPlan(TwoZones(), kStart);
  return sources;
}

TEST_CASE("Daemons spread over the relays of their zone, except the one that watches the store") {
  std::map<std::string, int> asked;
  for (int daemon = 0; daemon < 100; ++daemon)
    ++asked[SourcesFor("10.0.1." + std::to_string(daemon) + ":1").Current(kStart)];
  REQUIRE(asked.size() == 2);
  CHECK(asked["10.0.0.1:1"] > 30);
  CHECK(asked["10.0.0.2:1"] > 30);
}

TEST_CASE("A relay asks those before it, and watches the store if none of them answers") {
  RelaySources sources = SourcesFor("10.0.0.1:1");
  CHECK(sources.Current(kStart) == "10.0.0.9:1");
  CHECK_FALSE(sources.Watches(kStart));
  sources.RecordRequest(kStart);
  CHECK(sources.Watches(kStart + seconds(1)));
  CHECK(sources.Current(kStart + seconds(1)).empty());
  sources.RecordOwnReads(true, kStart + seconds(2));
  sources.RecordOwnReads(false, kStart + seconds(3));
  sources.RecordOwnReads(true, kStart + seconds(59));
  CHECK(sources.Watches(kStart + seconds(60)));
  // If the store refuses its reads as well, it asks relays of other zones.
  sources.RecordOwnReads(true, kStart + seconds(60));
  CHECK(sources.Current(kStart + seconds(60)).starts_with("10.1."));
  // A new plan resets the selection.
  RelayPlan next = TwoZones();
  next.zones[0].relays[0] = "10.0.0.8:1";
  sources.SetPlan(next, kStart + seconds(60));
  CHECK(sources.Current(kStart + seconds(60)) == "10.0.0.8:1");
}

TEST_CASE(
    "After timeouts the next relay is asked, then one of another zone, and later the own zone "
    "again") {
  RelaySources sources = SourcesFor("10.0.1.1:1");
  std::vector<std::string> asked;
  Time now = kStart;
  for (const milliseconds answer_timeout :
       {milliseconds(800), milliseconds(300), milliseconds(300)}) {
    asked.push_back(sources.Current(now));
    sources.RecordRequest(now);
    CHECK(sources.Current(now + answer_timeout) == asked.back());
    now += answer_timeout + milliseconds(150);
  }
  CHECK(asked[1].starts_with("10.0."));
  CHECK(asked[2].starts_with("10.1."));
  CHECK(std::set<std::string>(asked.begin(), asked.end()).size() == 3);
  sources.RecordAnswer(sources.Current(now), milliseconds(300), now);
  CHECK(sources.Current(now + seconds(2)).starts_with("10.1."));
  CHECK(sources.Current(now + seconds(6)).starts_with("10.0."));
}

TEST_CASE("A daemon without data gives relays time to read the store") {
  RelaySources sources = SourcesFor("10.0.1.1:1");
  sources.SetLearning(true);
  const std::string first = sources.Current(kStart);
  for (int tenth = 0; tenth < 50; ++tenth) {
    const Time now = kStart + milliseconds(100 * tenth);
    REQUIRE(sources.Current(now) == first);
    sources.RecordRequest(now);
    sources.RecordDecline(first, now);
  }
  sources.SetLearning(false);
  sources.RecordRequest(kStart + seconds(5));
  sources.RecordDecline(first, kStart + seconds(5));
  CHECK(sources.Current(kStart + seconds(6)) != first);
}

TEST_CASE("A relay with old data is replaced by another") {
  RelaySources sources = SourcesFor("10.0.1.1:1");
  const std::string behind = sources.Current(kStart);
  sources.RecordRequest(kStart);
  sources.RecordAnswer(behind, milliseconds(700), kStart);
  CHECK(sources.Current(kStart) == behind);
  sources.RecordAnswer(behind, milliseconds(2'500), kStart);
  CHECK(sources.Current(kStart) != behind);
}

TEST_CASE("A new plan keeps the current relay if it is still named, and drops it otherwise") {
  RelaySources sources = SourcesFor("10.0.1.1:1");
  const std::string first = sources.Current(kStart);
  RelayPlan next = TwoZones();
  next.zones[0].relays.emplace_back("10.0.0.3:1");
  sources.SetPlan(next, kStart);
  CHECK(sources.Current(kStart) == first);
  std::erase(next.zones[0].relays, first);
  sources.SetPlan(next, kStart);
  CHECK(sources.Current(kStart) != first);
  CHECK_FALSE(sources.Contains(first));
  sources.SetPlan({}, kStart);
  CHECK(sources.Current(kStart).empty());
}

}  // namespace
}  // namespace moorfold
