// Tests the steps that PlacementPlanner chooses for requests that are bound to a software version.

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "fleet/placement_planner.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Demand = std::map<ModelReference, ModelDemand>;
using Servers = std::vector<PlannedServer>;
using Needs = std::vector<VersionNeed>;

const BootClock::time_point kNow{seconds(1000)};
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

PlannedServer MakeServer(const std::string& id, const std::string& version,
                         const std::vector<std::string>& models) {
  PlannedServer server;
  server.id = id;
  server.accepts_orders = true;
  server.serving = true;
  server.software_version = version;
  for (const std::string& model : models) server.models.push_back({model, {}});
  return server;
}

ModelDemand MakeDemand(double waiting, double in_flight) {
  ModelDemand demand;
  demand.waiting = waiting;
  demand.in_flight = in_flight;
  demand.arrivals_per_second = waiting + in_flight;
  demand.long_term_arrivals_per_second = demand.arrivals_per_second;
  demand.last_seen = kNow;
  return demand;
}

VersionNeed Need(const std::string& version, double waiting = 1) {
  return {{"a", ""}, version, waiting, 0};
}

std::vector<PlacementStep> Plan(Demand demand, Servers servers, Needs needs, double loads = 10) {
  static const EngineDescription kEngine = MakeEngine();
  PlacementPlanner planner(kEngine, std::move(demand), std::move(servers),
                           {loads, kRequestsPerServer}, kNow, std::move(needs));
  return planner.Plan();
}

/// New streams of "a" run on its replica on v2, while streams that began on v1 wait.
Demand InUse() { return {{{"a", ""}, MakeDemand(1, 2)}}; }

TEST_CASE("A model held on another software version only is loaded on the needed one, once") {
  // Guards against streams that no server may continue while new streams of their model begin.
  const Servers servers = {MakeServer("new", "v2", {"a"}), MakeServer("new-free", "v2", {}),
                           MakeServer("old", "v1", {"b"})};
  CHECK(Plan(InUse(), servers, {}).empty());
  const auto steps = Plan(InUse(), servers, {Need("v1")});
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].kind == ServerOrderKind::kLoad);
  CHECK(steps[0].server_id == "old");
  CHECK(steps[0].name == ModelReference{"a", ""});
  CHECK(steps[0].for_software_version);
  SECTION("and not while a server of that version loads it, makes room for it or holds it") {
    Servers planned = servers;
    planned.push_back(MakeServer("old-free", "v1", {}));
    const auto change = GENERATE(0, 1, 2);
    if (change == 0) planned[2].loading_model = "a";
    if (change == 1) planned[2].reserved_for = "a";
    if (change == 2) planned[2].models.push_back({"a", {}});
    const auto continued = Plan(InUse(), planned, {Need("v1")});
    REQUIRE(continued.size() == (change == 1 ? 1 : 0));
    for (const PlacementStep& step : continued) CHECK(step.server_id == "old");
  }
  SECTION("and again if its holder no longer serves") {
    Servers planned = servers;
    planned.push_back(MakeServer("crashed", "v1", {"a"}));
    planned.back().serving = planned.back().accepts_orders = false;
    const auto again = Plan(InUse(), planned, {Need("v1")});
    REQUIRE(again.size() == 1);
    CHECK(again[0].server_id == "old");
  }
  SECTION("but not for a need that is no longer reported") {
    CHECK(Plan(InUse(), servers, {Need("v1", 0)}).empty());
  }
}

TEST_CASE("A model held nowhere is loaded on the needed software version, not on a faster server") {
  PlannedServer memory = MakeServer("memory", "v2", {});
  memory.in_memory = {"a"};
  const Demand demand = {{{"a", ""}, MakeDemand(5, 0)}};
  const auto steps = Plan(demand, {memory, MakeServer("old", "v1", {})}, {Need("v1", 2)});
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].server_id == "old");
}

TEST_CASE("Nothing is loaded for a software version without a server that takes an order") {
  const Demand demand = InUse();
  const PlannedServer holder = MakeServer("new", "v2", {"a"});
  const PlannedServer free = MakeServer("new-free", "v2", {});
  CHECK(Plan(demand, {holder, free, MakeServer("other", "v3", {})}, {Need("v1")}).empty());
  PlannedServer draining = MakeServer("old", "v1", {});
  draining.serving = draining.accepts_orders = false;
  CHECK(Plan(demand, {holder, free, draining}, {Need("v1")}).empty());
  PlannedServer loading = MakeServer("old", "v1", {});
  loading.loading_model = "b";
  CHECK(Plan(demand, {holder, free, loading}, {Need("v1")}).empty());
  CHECK(Plan(demand, {holder, free, MakeServer("old", "v1", {})}, {Need("v1")}, 0).empty());
}

TEST_CASE("A bound request evicts an idle model, not one in use that its version has once") {
  // Guards against a model that two kinds of streams evict from one server in turn.
  const PlannedServer holder = MakeServer("new", "v2", {"a"});
  const PlannedServer full = MakeServer("old", "v1", {"b", "c"});
  Demand demand = InUse();
  demand[{"b", ""}] = MakeDemand(0, 1);
  const auto steps = Plan(demand, {holder, full}, {Need("v1")});
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].kind == ServerOrderKind::kUnload);
  CHECK(steps[0].server_id == "old");
  CHECK(steps[0].name.model == "c");
  CHECK(steps[0].reserved_for == "a");
  demand[{"c", ""}] = MakeDemand(0, 1);
  VersionNeed need = Need("v1", 20);
  need.unserved_s = 60;
  CHECK(Plan(demand, {holder, full}, {need}).empty());
  SECTION("even if another version has it, too") {
    CHECK(Plan(demand, {MakeServer("new", "v2", {"a", "b"}), full}, {need}).empty());
  }
  SECTION("but one of two replicas on that version") {
    const auto surplus =
        Plan(demand, {holder, full, MakeServer("old-2", "v1", {"b", "d"})}, {need});
    REQUIRE(surplus.size() == 1);
    CHECK(surplus[0].name.model != "c");
  }
}

/// Carries out the steps of a plan at once.
void CarryOut(const std::vector<PlacementStep>& steps, Servers& servers) {
  for (const PlacementStep& step : steps)
    for (PlannedServer& server : servers) {
      if (server.id != step.server_id) continue;
      server.reserved_for = step.reserved_for;
      if (step.kind == ServerOrderKind::kLoad)
        server.models.push_back({step.name.model, {}});
      else
        std::erase_if(server.models,
                      [&](const LoadedModel& held) { return held.name == step.name.model; });
    }
}

TEST_CASE("Two models that streams of one version need in turn do not evict each other") {
  // Guards against endless swapping on a version with one server.
  Demand demand = {{{"a", ""}, MakeDemand(1, 1)}, {{"b", ""}, MakeDemand(1, 1)}};
  Servers servers = {MakeServer("new", "v2", {"a", "b"}), MakeServer("old", "v1", {"c", "d"})};
  EngineDescription engine = MakeEngine();
  for (ModelDescription& model : engine.models) model.weights_mb = 100;
  const Needs needs = {{{"a", ""}, "v1", 3, 5}, {{"b", ""}, "v1", 3, 5}, {{"c", ""}, "v1", 3, 5}};
  std::size_t steps_made = 0;
  std::size_t last_plan = 0;
  for (std::size_t plan = 1; plan <= 20; ++plan) {
    PlacementPlanner planner(engine, demand, servers, {10, kRequestsPerServer}, kNow, needs);
    const auto steps = planner.Plan();
    if (!steps.empty()) last_plan = plan;
    steps_made += steps.size();
    CarryOut(steps, servers);
  }
  CHECK(steps_made == 2);  // The idle "d" makes room for one of the two that are missing.
  CHECK(last_plan < 10);
  CHECK(servers[0].models.size() == 2);
  CHECK(servers[1].Find("c") != nullptr);
  CHECK(servers[1].Find("d") == nullptr);
}

TEST_CASE("Other requests do not evict the only replica on a needed version as a surplus one") {
  // Guards against a model that is loaded for a version and unloaded again as surplus.
  const Servers servers = {MakeServer("new", "v2", {"a", "b"}),
                           MakeServer("old", "v1", {"a", "c"})};
  ModelDemand running = MakeDemand(0, 8);
  ModelDemand rare;
  rare.long_term_arrivals_per_second = 0.3;
  rare.last_seen = kNow;
  const Demand demand = {{{"a", ""}, running},
                         {{"b", ""}, MakeDemand(0, 8)},
                         {{"c", ""}, rare},
                         {{"d", ""}, MakeDemand(1, 0)}};
  const auto without = Plan(demand, servers, {});
  REQUIRE(without.size() == 1);
  CHECK(without[0].name.model == "a");
  const double waiting = GENERATE(0, 2);
  const auto steps = Plan(demand, servers, {Need("v1", waiting)});
  REQUIRE(steps.size() <= 1);
  for (const PlacementStep& step : steps)
    CHECK_FALSE((step.server_id == "old" && step.name.model == "a"));
}

TEST_CASE("An adapter needed on a software version is loaded on a holder of that version") {
  PlannedServer newer = MakeServer("new", "v2", {"a"});
  newer.models[0].adapters = {"x"};
  const PlannedServer older = MakeServer("old", "v1", {"a"});
  const Demand demand = {{{"a", "x"}, MakeDemand(1, 1)}};
  CHECK(Plan(demand, {newer, older}, {}).empty());
  const VersionNeed need{{"a", "x"}, "v1", 1, 0};
  const auto steps = Plan(demand, {newer, older}, {need});
  REQUIRE(steps.size() == 1);
  CHECK(steps[0].server_id == "old");
  CHECK(steps[0].name == ModelReference{"a", "x"});
  SECTION("after its model") {
    const auto model = Plan(demand, {newer, MakeServer("old", "v1", {})}, {need});
    REQUIRE(model.size() == 1);
    CHECK(model[0].server_id == "old");
    CHECK(model[0].name == ModelReference{"a", ""});
  }
}

std::string Text(const std::vector<PlacementStep>& steps) {
  std::string joined;
  for (const PlacementStep& step : steps)
    joined += step.server_id + " " + ToString(step.name) + " " + step.reserved_for +
              (step.kind == ServerOrderKind::kLoad ? " load" : " unload") +
              (step.for_software_version ? " version\n" : "\n");
  return joined;
}

struct RandomFleet {
  Demand demand;
  Servers servers;
  Needs needs;
};

RandomFleet MakeFleet(const std::vector<std::string>& versions) {
  RandomFleet fleet;
  const std::vector<std::string> models = {"a", "b", "c", "d"};
  const int servers = *rc::gen::inRange(1, 8);
  for (int number = 0; number < servers; ++number) {
    PlannedServer server =
        MakeServer("i-" + std::to_string(number), *rc::gen::elementOf(versions), {});
    server.accepts_orders = *rc::gen::inRange(0, 4) > 0;
    for (const std::string& model : models)
      if (*rc::gen::inRange(0, 3) == 0 && server.models.size() < 2)
        server.models.push_back({model, {}});
    fleet.servers.push_back(server);
  }
  for (const std::string& model : models) {
    fleet.demand[{model, ""}] = MakeDemand(*rc::gen::inRange(0, 3), *rc::gen::inRange(0, 30));
    if (*rc::gen::arbitrary<bool>())
      fleet.needs.push_back({{model, ""},
                             *rc::gen::element<std::string>("v1", "v2", "v3"),
                             static_cast<double>(*rc::gen::inRange(0, 4)),
                             static_cast<double>(*rc::gen::inRange(0, 30))});
  }
  return fleet;
}

TEST_CASE("Needs on software versions change no plan of a service with one version") {
  rc::check([] {
    const RandomFleet fleet = MakeFleet({"v1"});
    RC_ASSERT(Text(Plan(fleet.demand, fleet.servers, fleet.needs)) ==
              Text(Plan(fleet.demand, fleet.servers, {})));
  });
}

TEST_CASE("Orders for software versions end while the same requests keep waiting") {
  // Guards against a model that is loaded and unloaded without end.
  rc::check([] {
    constexpr int kPlans = 60;
    constexpr int kSettled = 30;
    RandomFleet fleet = MakeFleet({"v1", "v2"});
    for (PlannedServer& server : fleet.servers) server.accepts_orders = true;
    for (int plan = 0; plan < kPlans; ++plan) {
      const auto steps = Plan(fleet.demand, fleet.servers, fleet.needs);
      if (plan >= kSettled)
        RC_ASSERT(std::none_of(steps.begin(), steps.end(), [](const PlacementStep& step) {
          return step.for_software_version;
        }));
      CarryOut(steps, fleet.servers);
    }
  });
}

TEST_CASE("Steps for a software version are on servers of it, and evict no last replica in use") {
  rc::check([] {
    const RandomFleet fleet = MakeFleet({"v1", "v2", "v3"});
    for (const PlacementStep& step : Plan(fleet.demand, fleet.servers, fleet.needs)) {
      if (!step.for_software_version) continue;
      const auto server =
          std::find_if(fleet.servers.begin(), fleet.servers.end(),
                       [&](const PlannedServer& other) { return other.id == step.server_id; });
      RC_ASSERT(server->accepts_orders);
      const std::string& wanted =
          step.kind == ServerOrderKind::kLoad ? step.name.model : step.reserved_for;
      RC_ASSERT(std::any_of(fleet.needs.begin(), fleet.needs.end(), [&](const VersionNeed& need) {
        return need.name.model == wanted && need.software_version == server->software_version &&
               need.waiting > 0;
      }));
      if (step.kind == ServerOrderKind::kLoad) continue;
      const ModelDemand& demand = fleet.demand.at({step.name.model, ""});
      const auto on_version = std::count_if(
          fleet.servers.begin(), fleet.servers.end(), [&](const PlannedServer& other) {
            return other.software_version == server->software_version &&
                   other.Find(step.name.model) != nullptr;
          });
      RC_ASSERT(on_version > 1 || (demand.in_flight == 0 && demand.waiting == 0));
    }
  });
}

}  // namespace
}  // namespace moorfold
