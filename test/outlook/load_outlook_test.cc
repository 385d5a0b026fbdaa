// Tests the prediction of load times, the announcement at the leader and its effect on requests,
// without a network.

#include "outlook/load_outlook.h"

#include <catch2/catch.hpp>

#include "fleet/fleet_demand.h"
#include "fleet/placement_planner.h"
#include "gateway/wait_policy.h"
#include "outlook/outlook_announcer.h"
#include "outlook/outlook_receiver.h"

namespace moorfold::outlook {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const SteadyTime kNow{std::chrono::hours(1)};
constexpr milliseconds kLoadTime{13'000};
constexpr milliseconds kDeadline{11'000};
constexpr milliseconds kResponseTime{300};

std::vector<AwaitedModel> Awaited(std::size_t count) {
  std::vector<AwaitedModel> models;
  for (std::size_t index = 0; index < count; ++index)
    models.push_back({"m" + std::to_string(index), kLoadTime});
  return models;
}

std::vector<std::int64_t> ReadyTimes(const std::vector<AwaitedModel>& awaited,
                                     const WeightStoreState& state) {
  std::vector<std::int64_t> times;
  for (const ModelOutlook& outlook : PlanOutlook(awaited, state))
    times.push_back(outlook.ready_in.count());
  return times;
}

WaitingRequest MakeRequest(SteadyTime arrival) {
  WaitingRequest request;
  request.arrival = arrival;
  request.expires_at = arrival + kDeadline;
  request.reason = NoServerReason::kModelNotHeld;
  request.target = milliseconds(2'000);
  request.response_time = kResponseTime;
  request.load_time = milliseconds(500);
  return request;
}

/// The notices that an announcer sends.
struct AnnouncerFixture {
  EventLog log{-1, {}};
  std::vector<LoadOutlookNotice> sent;
  OutlookAnnouncer announcer{log,
                             [this](const LoadOutlookNotice& notice) { sent.push_back(notice); }};
};

TEST_CASE("Models are ready one after the other if the weight store serves one load at once") {
  CHECK(ReadyTimes(Awaited(3), {{}, 1}) == std::vector<std::int64_t>{13'000, 26'000, 39'000});
  CHECK(ReadyTimes(Awaited(2), {{milliseconds(4'000)}, 1}) ==
        std::vector<std::int64_t>{17'000, 30'000});
  CHECK(PlanOutlook({}, {{milliseconds(4'000)}, 1}).empty());
}

TEST_CASE("With two concurrent loads each model takes the slot that is free first") {
  CHECK(ReadyTimes(Awaited(3), {{}, 2}) == std::vector<std::int64_t>{13'000, 13'000, 26'000});
  CHECK(ReadyTimes(Awaited(3), {{milliseconds(9'000), milliseconds(4'000)}, 2}) ==
        std::vector<std::int64_t>{17'000, 22'000, 30'000});
  CHECK(ReadyTimes(Awaited(2), {{milliseconds(4'000)}, 2}) ==
        std::vector<std::int64_t>{13'000, 17'000});
}

TEST_CASE("An overdue load frees its slot now, and too many loads delay the awaited models") {
  CHECK(ReadyTimes(Awaited(1), {{milliseconds(-500)}, 1}) == std::vector<std::int64_t>{13'000});
  CHECK(ReadyTimes(Awaited(1), {{milliseconds(0)}, 1}) == std::vector<std::int64_t>{13'000});
  // Two loads run although the limit has been lowered to one: the second must end first.
  CHECK(ReadyTimes(Awaited(1), {{milliseconds(3'000), milliseconds(8'000)}, 1}) ==
        std::vector<std::int64_t>{21'000});
  // A limit of 0 counts as 1.
  CHECK(ReadyTimes(Awaited(1), {{}, 0}) == std::vector<std::int64_t>{13'000});
}

TEST_CASE("Load: 30 models in demand, a load of 13 s, requests with 11 s: all refused at once") {
  // Guards against requests that wait for seconds, are refused, and wait again.
  constexpr int kModels = 30;
  constexpr int kRequestsPerModel = 5;
  constexpr milliseconds kBetweenRequests{2'000};
  AnnouncerFixture leader;
  ExpectedModelLoads expected;
  int refused_at_once = 0;
  int refused_late_without_outlook = 0;
  for (int round = 0; round < kRequestsPerModel; ++round) {
    const SteadyTime now = kNow + round * kBetweenRequests;
    // The first model loads since the beginning; the others wait for it.
    const milliseconds remaining = kLoadTime - round * kBetweenRequests;
    leader.announcer.Announce("s", Awaited(kModels), {{remaining}, 1}, now);
    CHECK(ApplyNotice(leader.sent.back(), now, expected) == 0);
    for (int model = 0; model < kModels; ++model) {
      WaitingRequest request = MakeRequest(now + milliseconds(model));
      if (WaitDeadline(request) - request.arrival >= milliseconds(1'700))
        ++refused_late_without_outlook;
      request.expected = expected.Find({"m" + std::to_string(model), ""});
      REQUIRE(request.expected);
      if (WaitDeadline(request) > request.arrival) continue;
      ++refused_at_once;
      CHECK(RefusedByOutlook(request));
      const milliseconds retry_after = RetryAfter(request, request.arrival, 0);
      CHECK(request.arrival + retry_after >= now + remaining + (model + 1) * kLoadTime);
    }
  }
  CHECK(refused_at_once == kModels * kRequestsPerModel);
  CHECK(refused_late_without_outlook == kModels * kRequestsPerModel);
}

TEST_CASE("A request whose model can be ready in time waits for it") {
  ExpectedModelLoads expected;
  ApplyNotice({"s", {{"m", 4'000}}}, kNow, expected);
  WaitingRequest request = MakeRequest(kNow);
  request.expected = expected.Find({"m", ""});
  CHECK(WaitDeadline(request) >= kNow + milliseconds(4'000));
  CHECK_FALSE(RefusedByOutlook(request));
}

TEST_CASE("A lost notice is replaced by the next one half a second later") {
  AnnouncerFixture leader;
  ExpectedModelLoads expected;
  CHECK(leader.announcer.Due("s", kNow));
  leader.announcer.Announce("s", Awaited(1), {{milliseconds(5'000)}, 1}, kNow);  // Lost.
  CHECK_FALSE(expected.Find({"m0", ""}));
  CHECK_FALSE(leader.announcer.Due("s", kNow + milliseconds(499)));
  const SteadyTime next = kNow + milliseconds(500);
  REQUIRE(leader.announcer.Due("s", next));
  leader.announcer.Announce("s", Awaited(1), {{milliseconds(4'500)}, 1}, next);
  ApplyNotice(leader.sent.back(), next, expected);
  CHECK(expected.Find({"m0", ""})->ready_at == kNow + milliseconds(5'000) + kLoadTime);
}

TEST_CASE("Without a leader the last outlook expires and requests wait as before") {
  ExpectedModelLoads expected;
  ApplyNotice({"s", {{"m", 20'000}}}, kNow, expected);
  WaitingRequest early = MakeRequest(kNow + seconds(1));
  early.expected = expected.Find({"m", ""});
  CHECK(WaitDeadline(early) <= early.arrival);
  // After the stated time requests wait; after 1.5 times that time only as long as without it.
  WaitingRequest due = MakeRequest(kNow + seconds(21));
  due.expected = expected.Find({"m", ""});
  CHECK(WaitDeadline(due) >= due.arrival + milliseconds(1'700));
  WaitingRequest later = MakeRequest(kNow + seconds(31));
  const SteadyTime without = WaitDeadline(later);
  later.expected = expected.Find({"m", ""});
  CHECK(WaitDeadline(later) == without);
  CHECK_FALSE(RefusedByOutlook(later));
}

TEST_CASE("An outlook does not replace the announcement of a load in progress") {
  // Guards against reordered datagrams: the outlook was sent before the load began.
  ExpectedModelLoads expected;
  ApplyNotice({"s", {{"m", 40'000}}}, kNow, expected);
  const SteadyTime announced = kNow + milliseconds(100);
  expected.Note({"m", ""}, {announced, announced + kLoadTime});
  ApplyNotice({"s", {{"m", 40'000}}}, kNow + milliseconds(110), expected);
  CHECK(expected.Find({"m", ""})->ready_at == announced + kLoadTime);
  CHECK_FALSE(expected.Find({"m", ""})->from_outlook);
  // The announced load did not complete within 1.5 times its time.
  ApplyNotice({"s", {{"m", 40'000}}}, kNow + seconds(25), expected);
  CHECK(expected.Find({"m", ""})->ready_at == kNow + seconds(65));
}

TEST_CASE("Only the leader and the relays that forward its notices are accepted as senders") {
  CHECK(IsAcceptedSender("10.0.0.1:1", "10.0.0.1:1", {}));
  CHECK(IsAcceptedSender("10.0.0.2:1", "10.0.0.1:1", {"10.0.0.3:1", "10.0.0.2:1"}));
  CHECK_FALSE(IsAcceptedSender("10.0.0.2:1", "10.0.0.1:1", {}));
  CHECK_FALSE(IsAcceptedSender("10.0.0.2:1", "", {}));
  CHECK_FALSE(IsAcceptedSender("", "", {}));
}

TEST_CASE("Times below 0 or above 10 minutes are ignored and counted, the others are applied") {
  ExpectedModelLoads expected;
  const LoadOutlookNotice notice{
      "s", {{"a", -1}, {"b", 600'001}, {"c", 0}, {"d", 600'000}, {"", 5}, {"e", INT64_MAX}}};
  CHECK(ApplyNotice(notice, kNow, expected) == 4);
  CHECK_FALSE(expected.Find({"a", ""}));
  CHECK_FALSE(expected.Find({"b", ""}));
  CHECK_FALSE(expected.Find({"e", ""}));
  CHECK(expected.Find({"c", ""})->ready_at == kNow);
  CHECK(expected.Find({"d", ""})->ready_at == kNow + std::chrono::minutes(10));
  LoadOutlookNotice too_long{"s", {}};
  for (int model = 0; model < 40; ++model) too_long.entries.push_back({"x", 1});
  CHECK(ApplyNotice(too_long, kNow, expected) == 8);
}

TEST_CASE("A notice holds at most 32 models, and further models follow in the next ones") {
  AnnouncerFixture leader;
  std::set<std::string> announced;
  for (int round = 0; round < 3; ++round) {
    leader.announcer.Announce("s", Awaited(70), {}, kNow + round * milliseconds(500));
    CHECK(leader.sent.back().entries.size() == LoadOutlookNotice::kMaxEntries);
    for (const auto& entry : leader.sent.back().entries) announced.insert(entry.model);
  }
  CHECK(announced.size() == 70);
  leader.sent.clear();
  leader.announcer.Announce("s", {}, {}, kNow + seconds(2));
  CHECK(leader.sent.empty());
}

TEST_CASE("Requests that are refused at once keep the demand for their model at the leader") {
  // Guards against a model that is never loaded because none of its requests ever waits.
  ModelDemandCounters counters;
  counters.CountsOf("s", {"m", ""}).turned_away = 3;
  counters.CountsOf("s", {"m", ""}).waiting = 1;
  const std::vector<DemandEntry> entries = counters.Take();
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].waiting == 4);
  CHECK(counters.CountsOf("s", {"m", ""}).turned_away == 0);
  FleetDemand demand;
  DemandReport report;
  report.sender = "one";
  report.entries = entries;
  demand.Add(report, kNow);
  const auto wanted = demand.ForService("s", kNow + milliseconds(500));
  CHECK(wanted.at({"m", ""}).waiting == 4);
}

TEST_CASE("The planner names models that need the weight store, in the order of gain") {
  EngineDescription engine;
  engine.weights_mb = 100;
  std::map<ModelReference, ModelDemand> demand;
  for (const char* name : {"few", "many", "held", "loading", "on_disk", "in_memory", "idle"}) {
    ModelDescription model;
    model.name = name;
    model.weights_mb = 10;
    model.load_time = kLoadTime;
    engine.models.push_back(model);
    demand[{name, ""}].waiting = 1;
    demand[{name, ""}].last_seen = kNow;
  }
  demand[{"many", ""}].waiting = 9;
  demand[{"idle", ""}].waiting = 0;
  PlannedServer server;
  server.id = "i-1";
  server.serving = true;
  server.models = {{"held", {}}};
  server.loading_model = "loading";
  server.on_disk = {"on_disk"};
  server.in_memory = {"in_memory"};
  PlannedServer leaving;
  leaving.id = "i-2";
  leaving.on_disk = {"many"};  // Not serving, so its copy does not count.
  const PlacementPlanner planner(engine, demand, {server, leaving}, {}, kNow);
  CHECK(planner.ModelsAwaitingStoreLoad() == std::vector<std::string>{"many", "few"});
}

TEST_CASE("A load that is in time for one of the service's stream routes has no outlook") {
  RoutingConfiguration configuration;
  ServiceDescription service;
  service.name = "s";
  CHECK_FALSE(LoadsExceedTarget(configuration, service));
  service.engine.emplace();
  service.engine->models.emplace_back();
  service.engine->models.back().load_time = kLoadTime;
  CHECK_FALSE(LoadsExceedTarget(configuration, service));
  Route route;
  route.type = RouteType::kStream;
  route.target = milliseconds(6'000);
  route.services = {{"s", 1}};
  configuration.routes = {route};
  CHECK(LoadsExceedTarget(configuration, service));
  route.target = milliseconds(20'000);
  configuration.routes.push_back(route);
  CHECK_FALSE(LoadsExceedTarget(configuration, service));
  configuration.routes.back().services = {{"other", 1}};
  CHECK(LoadsExceedTarget(configuration, service));
}

}  // namespace
}  // namespace moorfold::outlook
