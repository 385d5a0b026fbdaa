// Decisions of the gateway's fleet: keys and limits on a request's path, and the leader's
// placement.

#include <benchmark/benchmark.h>

#include "fleet/placement_planner.h"
#include "gateway/server_choice.h"
#include "tenants/credit_ledger.h"
#include "tenants/tenant_directory.h"

namespace moorfold {
namespace {

/// A key among that many, and an admission under its tenant's limit.
void KeyAndCredit(benchmark::State& state) {
  std::vector<Tenant> tenants;
  constexpr std::int64_t kKeysOfTenant = 100;
  for (std::int64_t first = 0; first < state.range(0); first += kKeysOfTenant) {
    Tenant tenant;
    tenant.name = "tenant " + std::to_string(first);
    tenant.limit = {QuotaUnit::kRequests, 1e9, 1e9, 0};
    for (std::int64_t key = first; key < first + kKeysOfTenant; ++key)
      tenant.keys.push_back(DigestOfKey("a key of usual length " + std::to_string(key)));
    tenants.push_back(std::move(tenant));
  }
  const TenantDirectory directory(tenants);
  quota::CreditLedger ledger({}, "self");
  ledger.SetLimits(tenants, BootClock::now());
  ledger.SetSharing({1, {"self"}});
  const std::string key = "a key of usual length 42";
  for (auto _ : state) {
    const Tenant* tenant = directory.Find(DigestOfKey(key));
    benchmark::DoNotOptimize(ledger.Take(tenant->name, 1, 0, BootClock::now()));
  }
}
BENCHMARK(KeyAndCredit)->Arg(100)->Arg(10'000);

/// That many model servers, seven models on each one's disk and two loaded, each model asked for,
/// some of them standing nowhere.
struct PlacementLoad {
  EngineDescription engine;
  std::map<ModelReference, ModelDemand> demand;
  std::vector<PlannedServer> servers;
  BootClock::time_point now = BootClock::now();
};

PlacementLoad MakePlacementLoad(std::size_t count) {
  PlacementLoad load;
  auto& [engine, demand, servers, now] = load;
  engine.weights_mb = 200'000;
  engine.adapter_slots = 8;
  const std::size_t models = count * 12 / 5;
  for (std::size_t model = 0; model < models; ++model) {
    engine.models.push_back({"model-" + std::to_string(model), 72'700, 66,
                             std::chrono::milliseconds(13'200), std::chrono::milliseconds(1'200),
                             std::chrono::milliseconds(630)});
    ModelDemand& wanted = demand[{engine.models.back().name, ""}];
    wanted.long_term_arrivals_per_second = wanted.arrivals_per_second = 0.3;
    wanted.waiting = model % 10 == 0 ? 1 : 0;
    wanted.last_seen = now;
  }
  servers.resize(count);
  for (std::size_t index = 0; index < count; ++index) {
    servers[index].id = "server-" + std::to_string(index);
    servers[index].accepts_orders = servers[index].serving = true;
    for (std::size_t held = 0; held < 2; ++held)
      servers[index].models.push_back({engine.models[(index * 2 + held) % models].name, {}});
    for (std::size_t disk = 0; disk < 7; ++disk)
      servers[index].on_disk.push_back(engine.models[(index * 7 + disk) % models].name);
  }
  return load;
}

void MeasurePlan(benchmark::State& state, const PlacementLoad& load, bool may_replace) {
  for (auto _ : state) {
    const PlannerLimits limits{1, 20, may_replace};
    PlacementPlanner planner(load.engine, load.demand, load.servers, limits, load.now);
    benchmark::DoNotOptimize(planner.Plan());
  }
}

/// One plan. Whether a model lies near some server was looked for at each server: 6.1 ms at 140 and
/// 1,190 ms at 2,400 servers; once for each model: 1.3 and 46 ms.
void PlanPlacement(benchmark::State& state) {
  MeasurePlan(state, MakePlacementLoad(static_cast<std::size_t>(state.range(0))), false);
}
BENCHMARK(PlanPlacement)->Arg(140)->Arg(166)->Arg(2'400)->Unit(benchmark::kMillisecond);

/// One choice among 100 servers that all hold the model and three more of 200. Argument: the
/// request's work, 0 for neutral (no pools).
void ChooseAmongServers(benchmark::State& state) {
  constexpr int kServers = 100;
  constexpr int kModels = 200;
  ServerDirectory directory;
  const auto now = BootClock::now();
  for (int index = 0; index < kServers; ++index) {
    ServerRecord record;
    record.id = "server-" + std::to_string(index);
    record.service = "s";
    record.zone = index % 2 == 0 ? "z" : "y";
    record.models = {{"model", {}}};
    for (int other = 0; other < 3; ++other)
      record.models.push_back({"model-" + std::to_string((index * 3 + other) % kModels), {}});
    directory.Put(std::move(record), now);
  }
  ServerChoiceRequest request;
  request.service = "s";
  request.model.model = "model";
  request.zone = "z";
  request.parts = {{"shared", 8'400}, {"own", 600}};
  request.work = static_cast<balancing::RequestWork>(state.range(0));
  for (auto _ : state) benchmark::DoNotOptimize(ChooseServer(directory, request, now));
}
BENCHMARK(ChooseAmongServers)->DenseRange(0, 2);
/// The same, with late responses of one model in ten, and with each server's models on its disk, so
/// that they may be replaced (second argument).
void PlanAgainstLateResponses(benchmark::State& state) {
  PlacementLoad load = MakePlacementLoad(static_cast<std::size_t>(state.range(0)));
  for (std::size_t model = 1; model < load.engine.models.size(); model += 10)
    load.demand[{load.engine.models[model].name, ""}].late_responses_per_second = 10;
  for (PlannedServer& server : load.servers)
    for (const LoadedModel& held : server.models) server.on_disk.push_back(held.name);
  MeasurePlan(state, load, state.range(1) != 0);
}
BENCHMARK(PlanAgainstLateResponses)
    ->ArgsProduct({{140, 600, 2'400}, {0, 1}})
    ->Unit(benchmark::kMillisecond);

}  // namespace
}  // namespace moorfold

BENCHMARK_MAIN();
