// Demand, the planner's decisions, and the bound on loads.

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "common/boot_clock.h"
#include "fleet/demand_channel.h"
#include "fleet/fleet_demand.h"
#include "fleet/load_window.h"
#include "fleet/placement_planner.h"
#include "http/listen_error.h"
#include "store_revisions.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = BootClock::time_point;

const Time kNow{seconds(1000)};
constexpr double kRequestsPerServer = 40;

EngineDescription MakeEngine() {
  EngineDescription engine;
  engine.weights_mb = 200;
  engine.adapter_slots = 2;
  for (const char* name : {"a", "b", "c", "d"})
    engine.models.push_back(
        {name, 90, 5, milliseconds(2'000), milliseconds(800), milliseconds(400)});
  return engine;
}

PlannedServer MakeServer(const std::string& id, const std::vector<std::string>& models) {
  PlannedServer server;
  server.id = id;
  server.orderable = true;
  server.serving = true;
  for (const std::string& model : models) server.models.push_back({model, {}});
  return server;
}

ModelDemand MakeDemand(double waiting, double in_flight) {
  ModelDemand demand;
  demand.waiting = waiting;
  demand.in_flight = in_flight;
  demand.arrivals_per_second = waiting + in_flight;
  demand.usual_arrivals_per_second = demand.arrivals_per_second;
  demand.last_seen = kNow;
  return demand;
}

ModelDemand Waiting(double count) { return MakeDemand(count, 0); }

ModelDemand Busy(double in_flight) { return MakeDemand(0, in_flight); }

std::vector<PlacementStep> Plan(std::map<ModelReference, ModelDemand> demand,
                                std::vector<PlannedServer> servers, double loads = 10) {
  static const EngineDescription kEngine = MakeEngine();
  PlacementPlanner planner(kEngine, std::move(demand), std::move(servers),
                           {loads, kRequestsPerServer}, kNow);
  return planner.Plan();
}

TEST_CASE("A model that is waited for is loaded once, where it comes quickest") {
  PlannedServer disk = MakeServer("disk", {});
  disk.on_disk = {"a"};
  PlannedServer memory = MakeServer("memory", {});
  memory.in_memory = {"a"};
  const auto steps = Plan({{{"a", ""}, Waiting(5)}}, {MakeServer("store", {}), disk, memory});
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].server_id == "memory");
  CHECK_FALSE(steps[0].from_weight_store);
  CHECK(steps[0].expected == milliseconds(400));
  SECTION("and not while it is on its way") {
    memory.incoming = "a";
    CHECK(Plan({{{"a", ""}, Waiting(5)}}, {MakeServer("store", {}), disk, memory}).empty());
  }
}

TEST_CASE("What is idle the longest makes room; what is needed stays") {
  ModelDemand old;
  old.usual_arrivals_per_second = 0.1;
  old.last_seen = kNow - seconds(50);
  ModelDemand recent;
  recent.usual_arrivals_per_second = 0.1;
  recent.last_seen = kNow - seconds(1);
  const auto steps = Plan({{{"a", ""}, Waiting(1)}, {{"b", ""}, recent}, {{"c", ""}, old}},
                          {MakeServer("i", {"b", "c"})});
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].kind == ServerOrderKind::kUnload);
  CHECK(steps[0].name.model == "c");
  CHECK(steps[0].intended == "a");
  SECTION("a busy only copy is not given up for one request") {
    CHECK(Plan({{{"a", ""}, Waiting(1)}, {{"b", ""}, Busy(8)}, {{"c", ""}, Busy(8)}},
               {MakeServer("i", {"b", "c"})})
              .empty());
  }
  SECTION("of a surplus that is busy and an idle model, the idle one goes") {
    // Found on the bench: the copy of a busy model was unloaded while its requests ran.
    const auto other = Plan({{{"a", ""}, Waiting(1)}, {{"b", ""}, Busy(4)}, {{"c", ""}, old}},
                            {MakeServer("i", {"b", "c"}), MakeServer("j", {"b", "d"})});
    REQUIRE(other.size() == 1);
    CHECK(other[0].name.model != "b");
  }
}

TEST_CASE("Room that was made for a model is used for it") {
  PlannedServer server = MakeServer("i", {"b"});
  server.intended = "a";
  const auto steps = Plan({}, {server});
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].kind == ServerOrderKind::kLoad);
  CHECK(steps[0].name.model == "a");
}

TEST_CASE("Loads from the weight store keep to what is free of them") {
  std::map<ModelReference, ModelDemand> demand;
  for (const char* name : {"a", "b", "c", "d"}) demand[{name, ""}] = Waiting(1);
  const std::vector<PlannedServer> servers = {MakeServer("i", {}), MakeServer("j", {}),
                                              MakeServer("k", {}), MakeServer("l", {})};
  CHECK(Plan(demand, servers, 0).empty());
  CHECK(Plan(demand, servers, 2).size() == 2);
  CHECK(Plan(demand, servers, 10).size() == 4);
}

TEST_CASE("Long loads from the store are for what no server has at hand, or for too few servers") {
  EngineDescription engine = MakeEngine();
  for (ModelDescription& model : engine.models) model.load_time = milliseconds(6'000);
  const auto plan = [&](std::map<ModelReference, ModelDemand> demand,
                        std::vector<PlannedServer> servers) {
    return PlacementPlanner(engine, std::move(demand), std::move(servers), {10, kRequestsPerServer},
                            kNow)
        .Plan();
  };
  PlannedServer busy = MakeServer("busy", {"b", "c"});
  busy.on_disk = {"a"};
  busy.orderable = false;  // It will take orders again within a second.
  const PlannedServer empty = MakeServer("empty", {});
  CHECK(plan({{{"a", ""}, Waiting(1)}}, {busy, empty}).empty());
  busy.on_disk.clear();
  const auto only_way = plan({{{"a", ""}, Waiting(20)}}, {busy, empty});
  REQUIRE(only_way.size() == 1);
  CHECK(only_way[0].from_weight_store);
  busy.models = {{"a", {}}};
  const auto overload = plan({{{"a", ""}, Busy(90)}}, {busy, empty});
  REQUIRE(overload.size() == 1);
  CHECK(overload[0].from_weight_store);
}

TEST_CASE("A model that is asked for again and again gets its turn, however busy the others are") {
  std::map<ModelReference, ModelDemand> demand = {
      {{"a", ""}, Waiting(1)}, {{"b", ""}, Busy(8)}, {{"c", ""}, Busy(8)}};
  const std::vector<PlannedServer> servers = {MakeServer("i", {"b", "c"})};
  CHECK(Plan(demand, servers).empty());
  demand[{"a", ""}].unserved_s = 60;
  const auto steps = Plan(demand, servers);
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].intended == "a");
}

TEST_CASE("Adapters go beside their model, and the least asked one makes room") {
  PlannedServer holder = MakeServer("i", {"a"});
  const auto load = Plan({{{"a", "x"}, Waiting(1)}}, {holder, MakeServer("j", {"b"})});
  REQUIRE(load.size() == 1);
  CHECK(load[0].server_id == "i");
  CHECK(load[0].name.adapter == "x");
  holder.models[0].adapters = {"y", "z"};
  const auto unload =
      Plan({{{"a", "x"}, Waiting(1)}, {{"a", "y"}, Busy(3)}, {{"a", "z"}, Busy(0.2)}}, {holder});
  REQUIRE(unload.size() == 1);
  CHECK(unload[0].kind == ServerOrderKind::kUnload);
  CHECK(unload[0].name.adapter == "z");
}

TEST_CASE("A plan never exceeds a server's memory or adapter slots, nor orders a server twice") {
  rc::check([] {
    const EngineDescription engine = MakeEngine();
    const std::vector<std::string> names = {"a", "b", "c", "d"};
    std::vector<PlannedServer> servers;
    for (int server = 0; server < *rc::gen::inRange(1, 5); ++server) {
      PlannedServer planned = MakeServer(std::to_string(server), {});
      planned.orderable = *rc::gen::arbitrary<bool>();
      for (const std::string& name : names)
        if (planned.models.size() < 2 && *rc::gen::inRange(0, 3) == 0)
          planned.models.push_back({name, {}});
      if (!planned.models.empty() && *rc::gen::arbitrary<bool>())
        planned.models[0].adapters = {"x", "y"};
      if (*rc::gen::inRange(0, 4) == 0) planned.intended = *rc::gen::elementOf(names);
      if (planned.models.size() < 2 && *rc::gen::inRange(0, 5) == 0)
        planned.incoming = *rc::gen::elementOf(names);
      servers.push_back(planned);
    }
    std::map<ModelReference, ModelDemand> demand;
    for (const std::string& name : names) {
      demand[{name, ""}] = Busy(*rc::gen::inRange(0, 40));
      demand[{name, ""}].waiting = *rc::gen::inRange(0, 3);
      demand[{name, *rc::gen::elementOf(std::vector<std::string>{"x", "y", "z"})}] =
          Waiting(*rc::gen::inRange(0, 3));
    }
    PlacementPlanner planner(engine, demand, servers, {10, kRequestsPerServer}, kNow);
    std::map<std::string, int> orders;
    for (const PlacementStep& step : planner.Plan()) {
      RC_ASSERT(++orders[step.server_id] == 1);
      const PlannedServer& server = servers[std::stoul(step.server_id)];
      RC_ASSERT(server.orderable);
      if (step.kind == ServerOrderKind::kUnload) continue;
      double used = step.name.adapter.empty() ? 90 : 5;
      std::size_t adapters = step.name.adapter.empty() ? 0 : 1;
      bool incoming_held = server.incoming.empty();
      for (const HeldModel& held : server.models) {
        used += 90 + 5.0 * static_cast<double>(held.adapters.size());
        adapters += held.adapters.size();
        incoming_held = incoming_held || held.name == server.incoming;
      }
      if (!incoming_held) used += 90;
      RC_ASSERT(used <= engine.weights_mb);
      RC_ASSERT(adapters <= engine.adapter_slots);
    }
  });
}

TEST_CASE("Planning for a large fleet stays quick enough for a weak machine") {
  // Found on the grown deployment: the leader planned for seconds and missed configurations. The
  // bound is on the work, not on time: servers looked at for each plan.
  EngineDescription engine;
  engine.weights_mb = 200;
  engine.adapter_slots = 8;
  std::map<ModelReference, ModelDemand> demand;
  for (int model = 0; model < 288; ++model) {
    engine.models.push_back(
        {std::to_string(model), 60, 1, milliseconds(2'000), milliseconds(800), milliseconds(400)});
    demand[{std::to_string(model), ""}] = Waiting(1);
  }
  std::vector<PlannedServer> servers;
  for (int server = 0; server < 140; ++server)
    servers.push_back(MakeServer(std::to_string(server), {}));
  PlacementPlanner planner(engine, demand, servers, {1000, kRequestsPerServer}, kNow);
  CHECK(planner.Plan().size() <= 16);
}

TEST_CASE("Loads that may begin keep to the rate in every window, also late ones") {
  LoadWindow window(milliseconds(5'000));
  CHECK(window.Free(4, kNow) == 20);
  for (int load = 0; load < 20; ++load) window.Count(kNow);
  CHECK(window.Free(4, kNow + milliseconds(4'999)) == 0);
  CHECK(window.Free(4, kNow + milliseconds(5'001)) == 20);
  window.CountUnanswered(kNow + seconds(6));
  CHECK(window.Free(4, kNow + seconds(20)) == 19);
  CHECK(window.Free(4, kNow + seconds(30)) == 20);
}

DemandReport MakeReport(const std::string& sender, std::vector<DemandEntry> entries,
                        std::vector<std::string> unreachable = {}) {
  DemandReport report;
  report.sender = sender;
  report.entries = std::move(entries);
  report.unreachable = std::move(unreachable);
  return report;
}

TEST_CASE("Demand adds up over daemons, and a silent daemon's share passes") {
  FleetDemand demand;
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 1, 2, 3}}), kNow);
  demand.Add(MakeReport("two", {{"s", {"m", ""}, 4, 0, 1}}), kNow);
  const auto both = demand.Of("s", kNow);
  CHECK(both.at({"m", ""}).waiting == 5);
  CHECK(both.at({"m", ""}).in_flight == 2);
  CHECK(both.at({"m", ""}).arrivals_per_second == Approx(1));
  const auto later = demand.Of("s", kNow + seconds(2));
  CHECK(later.at({"m", ""}).waiting == 0);
  CHECK(later.at({"m", ""}).arrivals_per_second < 1);
  CHECK(demand.Of("other", kNow).empty());
}

TEST_CASE("How long a model is unserved counts over repeated waits, and ends with a served one") {
  FleetDemand demand;
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 1, 0, 1}}), kNow);
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 0, 0, 0}}), kNow + seconds(2));
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 1, 0, 1}}), kNow + seconds(5));
  CHECK(demand.Of("s", kNow + seconds(6)).at({"m", ""}).unserved_s == Approx(6));
  demand.Add(MakeReport("one", {{"s", {"m", ""}, 0, 1, 0}}), kNow + seconds(7));
  CHECK(demand.Of("s", kNow + seconds(8)).at({"m", ""}).unserved_s == 0);
}

/// As Plan, with loads from the weight store that take 6 s.
std::vector<PlacementStep> PlanLongLoads(std::map<ModelReference, ModelDemand> demand,
                                         std::vector<PlannedServer> servers) {
  EngineDescription engine = MakeEngine();
  for (ModelDescription& model : engine.models) model.load_time = milliseconds(6'000);
  return PlacementPlanner(engine, std::move(demand), std::move(servers), {10, kRequestsPerServer},
                          kNow)
      .Plan();
}

TEST_CASE(
    "A model whose answers come late gets another copy, from the store where no server has one") {
  // 295 daemons: three models made four of five late streams on a tenth of the servers, and a
  // second copy from the store was never worth its load.
  std::vector<PlannedServer> servers = {MakeServer("holder", {"a"})};
  for (int server = 0; server < 19; ++server)
    servers.push_back(MakeServer("free-" + std::to_string(server), {}));
  ModelDemand demand = Busy(20);
  CHECK(PlanLongLoads({{{"a", ""}, demand}}, servers).empty());  // In time.
  demand.late_per_second = 5;
  const std::vector<PlacementStep> steps = PlanLongLoads({{{"a", ""}, demand}}, servers);
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].kind == ServerOrderKind::kLoad);
  CHECK(steps[0].from_weight_store);
  demand.usual_arrivals_per_second = 0.05 * demand.arrivals_per_second;  // Since a second.
  CHECK(PlanLongLoads({{{"a", ""}, demand}}, servers).empty());
  // A small fleet has no server to spare for seconds.
  demand.usual_arrivals_per_second = demand.arrivals_per_second;
  servers.resize(3);
  demand.late_per_second = 1;
  CHECK(PlanLongLoads({{{"a", ""}, demand}}, servers).empty());
}

TEST_CASE("A late answer is no reason to take a model's last copy, a surplus copy makes room") {
  ModelDemand late = Busy(20);
  late.late_per_second = 10;
  ModelDemand rare = Busy(0);
  rare.usual_arrivals_per_second = 0.05;
  PlannedServer near = MakeServer("near", {"b", "c"});
  near.in_memory = {"a"};
  std::vector<PlannedServer> servers = {MakeServer("holder", {"a", "d"}), near};
  servers[0].orderable = false;
  CHECK(Plan({{{"a", ""}, late}, {{"b", ""}, rare}, {{"c", ""}, rare}}, servers).empty());
  servers.push_back(MakeServer("other", {"b"}));
  servers.back().orderable = false;
  const auto steps = Plan({{{"a", ""}, late}, {{"b", ""}, rare}, {{"c", ""}, rare}}, servers);
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].kind == ServerOrderKind::kUnload);
  CHECK(steps[0].name.model == "b");
}

TEST_CASE("Copies on their way count against answers that still come late") {
  std::vector<PlannedServer> servers = {MakeServer("holder", {"a"})};
  for (int server = 0; server < 19; ++server)
    servers.push_back(MakeServer("free-" + std::to_string(server), {}));
  ModelDemand demand = Busy(20);
  demand.late_per_second = 5;
  std::size_t on_their_way = 0;
  while (on_their_way < servers.size()) {
    const std::vector<PlacementStep> steps = Plan({{{"a", ""}, demand}}, servers);
    if (steps.empty()) break;
    for (PlannedServer& server : servers)
      if (server.id == steps[0].server_id) server.incoming = "a";
    ++on_their_way;
  }
  CHECK(on_their_way >= 1);
  CHECK(on_their_way <= 4);
}

TEST_CASE("Late answers are told to the leader once, and fade") {
  DemandBook book;
  book.At("s", {"m", ""}).late = 3;
  const std::vector<DemandEntry> entries = book.Take();
  REQUIRE(entries.size() == 1);
  CHECK(entries[0].late == 3);
  CHECK(book.Take().empty());
  FleetDemand demand;
  demand.Add(MakeReport("one", entries), kNow);
  const double now = demand.Of("s", kNow).at({"m", ""}).late_per_second;
  CHECK(now > 0.5);
  CHECK(demand.Of("s", kNow + seconds(8)).at({"m", ""}).late_per_second < now / 4);
}

TEST_CASE("A server is out of reach when two daemons say so, not one that may itself be cut off") {
  FleetDemand demand;
  demand.Add(MakeReport("one", {}, {"i"}), kNow);
  demand.Add(MakeReport("one", {}, {"i"}), kNow + milliseconds(100));
  CHECK_FALSE(demand.Unreachable("i", kNow + milliseconds(200)));
  demand.Add(MakeReport("two", {}, {"i"}), kNow + milliseconds(200));
  CHECK(demand.Unreachable("i", kNow + milliseconds(300)));
  CHECK_FALSE(demand.Unreachable("i", kNow + seconds(3)));
}

/// What random fleets hold and ask for; servers in the order of their ids.
struct AdapterFleet {
  std::vector<PlannedServer> servers;
  std::map<ModelReference, ModelDemand> demand;
};

AdapterFleet MakeAdapterFleet() {
  const std::vector<std::string> models = {"a", "b", "c", "d"};
  AdapterFleet fleet;
  const int servers = *rc::gen::inRange(1, 12);
  for (int number = 0; number < servers; ++number) {
    PlannedServer server = MakeServer("i-" + std::to_string(10 + number), {});
    server.orderable = *rc::gen::inRange(0, 4) > 0;
    for (const std::string& model : models)
      if (*rc::gen::inRange(0, 3) == 0 && server.models.size() < 2) {
        HeldModel held{model, {}};
        if (*rc::gen::inRange(0, 2) == 0) held.adapters.push_back("x1");
        server.models.push_back(held);
      }
    fleet.servers.push_back(server);
  }
  for (const std::string& model : models)
    for (const char* adapter : {"x1", "x2", "x3"})
      if (*rc::gen::inRange(0, 2) == 0)
        fleet.demand[{model, adapter}] =
            MakeDemand(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 60));
  return fleet;
}

/// @return "SERVER NAME", of each step for an adapter that is waited for.
std::vector<std::string> StepsForWaiting(const AdapterFleet& fleet,
                                         const std::vector<PlacementStep>& steps) {
  std::vector<std::string> told;
  for (const PlacementStep& step : steps) {
    const auto wanted = fleet.demand.find(step.name);
    const bool waits = wanted != fleet.demand.end() && wanted->second.waiting > 0;
    if (waits && step.kind == ServerOrderKind::kLoad)
      told.push_back(step.server_id + " " + ToString(step.name));
  }
  return told;
}

TEST_CASE("Adapters that are waited for go where a plan over all servers takes them") {
  rc::check([] {
    const AdapterFleet fleet = MakeAdapterFleet();
    std::vector<PlannedServer> holding;
    for (const PlannedServer& server : fleet.servers)
      for (const auto& [name, demand] : fleet.demand)
        if (demand.waiting > 0 && server.Find(name.model) != nullptr) {
          holding.push_back(server);
          break;
        }
    const EngineDescription engine = MakeEngine();
    PlacementPlanner part(engine, fleet.demand, holding, {0, kRequestsPerServer}, kNow);
    RC_ASSERT(StepsForWaiting(fleet, part.PlanAdaptersOnly()) ==
              StepsForWaiting(fleet, Plan(fleet.demand, fleet.servers)));
  });
}

TEST_CASE("An address for datagrams that is in use is named, with what to do") {
  boost::asio::io_context context;
  const DemandChannel::Handlers none{[](const DemandReport&) {},
                                     [](const PlacementNotice&, const std::string&) {},
                                     [](const ChangeAnswer&, const std::string&) {},
                                     [](const LeadershipOffer&) {},
                                     [](const QuarantineNotice&, const std::string&) {},
                                     [](const CreditSharing&, const std::string&) {},
                                     [](const CreditQuestion&, const std::string&) {},
                                     [](const CreditAnswer&, const std::string&) {},
                                     [](const RelayPlan&, const std::string&) {},
                                     [](const ServersQuestion&, const std::string&) {},
                                     [](const ServersPage&, const std::string&) {},
                                     [](const ConfigurationQuestion&, const std::string&) {},
                                     [](const ConfigurationPart&, const std::string&) {},
                                     [](const PermitQuestion&, const std::string&) {},
                                     [](const PermitAnswer&, const std::string&) {},
                                     [](const std::string&) {}};
  const DemandChannel first(context, {"127.0.0.1", 0}, none);
  try {
    const DemandChannel second(context, first.endpoint(), none);
    FAIL("no error");
  } catch (const ListenError& error) {
    CHECK(std::string(error.what()).find(ToString(first.endpoint())) != std::string::npos);
    CHECK(std::string(error.what()).find("draining") != std::string::npos);
  }
}

TEST_CASE("Reports and notices pass between daemons; what is no message is left alone") {
  boost::asio::io_context context;
  std::vector<DemandReport> reports;
  std::vector<PlacementNotice> notices;
  std::vector<ChangeAnswer> answers;
  std::string answered_from;
  std::vector<std::string> offers;
  std::vector<std::string> dropped;
  DemandChannel::Handlers to_leader{
      [&](DemandReport report) { reports.push_back(report); },
      [](const PlacementNotice&, const std::string&) {},
      [](const ChangeAnswer&, const std::string&) {},
      [](const LeadershipOffer&) {},
      [](const QuarantineNotice&, const std::string&) {},
      [](const CreditSharing&, const std::string&) {},
      [](const CreditQuestion&, const std::string&) {},
      [](const CreditAnswer&, const std::string&) {},
      [](const RelayPlan&, const std::string&) {},
      [](const ServersQuestion&, const std::string&) {},
      [](const ServersPage&, const std::string&) {},
      [](const ConfigurationQuestion&, const std::string&) {},
      [](const ConfigurationPart&, const std::string&) {},
      [](const PermitQuestion&, const std::string&) {},
      [](const PermitAnswer&, const std::string&) {},
      [](const std::string&) {},
      [&](const UnreadMessage& message) { dropped.push_back(message.problem); }};
  DemandChannel leader(context, {"127.0.0.1", 0}, to_leader);
  DemandChannel::Handlers to_daemon{
      [](const DemandReport&) {},
      [&](const PlacementNotice& notice, const std::string&) { notices.push_back(notice); },
      [&](const ChangeAnswer& answer, const std::string& from) {
        answers.push_back(answer);
        answered_from = from;
      },
      [&](const LeadershipOffer& offer) { offers.push_back(offer.from); },
      [](const QuarantineNotice&, const std::string&) {},
      [](const CreditSharing&, const std::string&) {},
      [](const CreditQuestion&, const std::string&) {},
      [](const CreditAnswer&, const std::string&) {},
      [](const RelayPlan&, const std::string&) {},
      [](const ServersQuestion&, const std::string&) {},
      [](const ServersPage&, const std::string&) {},
      [](const ConfigurationQuestion&, const std::string&) {},
      [](const ConfigurationPart&, const std::string&) {},
      [](const PermitQuestion&, const std::string&) {},
      [](const PermitAnswer&, const std::string&) {},
      [](const std::string&) {}};
  DemandChannel daemon(context, {"127.0.0.1", 0}, to_daemon);
  leader.Start();
  daemon.Start();
  DemandReport report = MakeReport("one", {}, {"i-9"});
  report.address = ToString(daemon.endpoint());
  report.uptime_ms = 1'234;
  report.question = ChangeQuestion{77, At(12)};
  for (int entry = 0; entry < 60; ++entry)
    report.entries.push_back({"s", {"m" + std::to_string(entry), ""}, 1, 2, 3});
  daemon.SendReport(ToString(leader.endpoint()), report);
  boost::asio::ip::udp::socket stray(context, boost::asio::ip::udp::v4());
  stray.send_to(boost::asio::buffer(std::string("\xff\xff no message")),
                {boost::asio::ip::make_address("127.0.0.1"), leader.endpoint().port});
  std::size_t entries = 0;
  const auto give_up = BootClock::now() + seconds(20);
  while (entries < 60 && BootClock::now() < give_up) {
    context.run_one_for(milliseconds(50));
    entries = 0;
    for (const DemandReport& part : reports) entries += part.entries.size();
  }
  REQUIRE(entries == 60);
  while (dropped.empty() && BootClock::now() < give_up) context.run_one_for(milliseconds(50));
  REQUIRE(dropped.size() == 1);  // The stray datagram is told of.
  CHECK(dropped[0].starts_with("received: "));
  CHECK(reports[0].unreachable == std::vector<std::string>{"i-9"});
  CHECK(reports[0].uptime_ms == 1'234);
  CHECK(leader.reporters() == 1);
  leader.SendTo(reports[0].address, LeadershipOffer{"leader"});
  const auto questions = std::count_if(
      reports.begin(), reports.end(),
      [](const DemandReport& part) { return part.question && part.question->revision == At(12); });
  CHECK(questions == 1);  // However many datagrams a report takes.
  ChangeAnswer answer;
  answer.asked_at_us = 77;
  answer.daemons = 7;
  answer.servers.push_back(
      {At(13), false, {"i-1", "s", {"127.0.0.1", 8}, "z", "v1", 4, true, {{"m", {"a"}}}}});
  answer.servers.push_back({At(14), true, {"i-2"}});
  leader.SendTo(reports[0].address, answer);
  leader.Broadcast(PlacementNotice{"i-1", {"m", "a"}, false});
  while ((notices.empty() || offers.empty() || answers.empty()) && BootClock::now() < give_up)
    context.run_one_for(milliseconds(50));
  CHECK(offers == std::vector<std::string>{"leader"});
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].name.adapter == "a");
  CHECK_FALSE(notices[0].held);
  REQUIRE(answers.size() == 1);
  CHECK(answered_from == ToString(leader.endpoint()));
  CHECK(answers[0].asked_at_us == 77);
  CHECK(answers[0].daemons == 7);
  REQUIRE(answers[0].servers.size() == 2);
  const ServerRecord& record = answers[0].servers[0].record;
  CHECK(record.draining);
  CHECK(record.endpoint.port == 8);
  CHECK(record.models == std::vector<HeldModel>{{"m", {"a"}}});
  CHECK(answers[0].servers[1].gone);
  CHECK(answers[0].servers[1].record.id == "i-2");
}

}  // namespace
}  // namespace moorfold
