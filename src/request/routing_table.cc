#include "request/routing_table.h"

#include <algorithm>

namespace moorfold {
namespace {

constexpr std::uint32_t kFailuresToSetAside = 3;
constexpr std::int64_t kFirstAsideMicroseconds = 500'000;
constexpr std::uint32_t kMaxAsideDoublings = 4;

/// @return the version that requests go to: the declared one, or an older one that is still
///   loaded while the declared one is not.
std::vector<ModelVersion> VersionsByPreference(const State& state, const ModelIntent& model) {
  std::vector<ModelVersion> versions{{model.name, model.version}};
  const auto& permits = state.ledger.ledger.permits;
  for (auto it = permits.lower_bound({{model.name, 0}, 0});
       it != permits.end() && it->first.servable.model == model.name; ++it)
    if (it->first.servable != versions.back() && it->first.servable != versions.front())
      versions.push_back(it->first.servable);
  return versions;
}

}  // namespace

bool TargetLoad::TryAcquire(std::uint32_t limit) {
  std::uint32_t current = in_flight.load(std::memory_order_relaxed);
  while (current < limit)
    if (in_flight.compare_exchange_weak(current, current + 1, std::memory_order_relaxed))
      return true;
  return false;
}

void TargetLoad::RecordFailure(std::int64_t now_microseconds) {
  const std::uint32_t count = failures.fetch_add(1, std::memory_order_relaxed) + 1;
  if (count < kFailuresToSetAside) return;
  const std::uint32_t doublings = std::min(count - kFailuresToSetAside, kMaxAsideDoublings);
  set_aside_until.store(now_microseconds + (kFirstAsideMicroseconds << doublings),
                        std::memory_order_relaxed);
}

TargetLoadPtr RoutingTableBuilder::LoadOf(const std::string& key) {
  TargetLoadPtr& load = loads_[key];
  if (!load) load = std::make_shared<TargetLoad>();
  return load;
}

std::vector<Target> RoutingTableBuilder::ReplicasOf(const State& state, const ModelIntent& model,
                                                    const AdapterName& adapter) {
  for (const ModelVersion& servable : VersionsByPreference(state, model)) {
    std::vector<Target> targets;
    const auto& permits = state.ledger.ledger.permits;
    for (auto it = permits.lower_bound({servable, 0});
         it != permits.end() && it->first.servable == servable; ++it) {
      const Permit& permit = it->second;
      const auto found = state.servers.find(permit.home);
      if (permit.phase != PermitPhase::kHeld || found == state.servers.end()) continue;
      const ServerView& server = found->second;
      const ReplicaReport* replica = server.FindReplica(servable);
      const bool ready = replica != nullptr && replica->state == ReplicaState::kReady &&
                         server.listed && !server.Leaving();
      if (!ready) continue;
      const bool has_adapter =
          adapter.empty() || std::find(replica->adapters.begin(), replica->adapters.end(),
                                       adapter) != replica->adapters.end();
      if (!has_adapter) continue;
      targets.push_back({permit.home,
                         {server.machine.address, server.machine.http_port},
                         LoadOf(permit.home + "/" + model.name)});
    }
    if (!targets.empty()) return targets;
  }
  return {};
}

std::vector<Target> RoutingTableBuilder::DaemonsOfOtherZones(const State& state,
                                                             const ModelIntent& model) {
  std::vector<Target> targets;
  for (const auto& [name, machine] : state.machines)
    if (machine.kind == MachineKind::kDaemon && !machine.leaving &&
        model.replicas.contains(machine.zone))
      targets.push_back({name, {machine.address, machine.http_port}, LoadOf("daemon/" + name)});
  return targets;
}

ModelRouteConstPtr RoutingTableBuilder::MakeRoute(const State& state, const ModelIntent& model,
                                                  const AdapterName& adapter) {
  auto route = std::make_shared<ModelRoute>();
  route->model = model;
  route->model.adapters.clear();  // Not needed on the path of a request.
  route->adapter = adapter;
  route->called_as = adapter.empty() ? model.name : model.name + ":" + adapter;
  route->local = model.replicas.contains(state.self.zone);
  route->targets =
      route->local ? ReplicasOf(state, model, adapter) : DaemonsOfOtherZones(state, model);
  CountedModel& counted = counters_[route->called_as];
  if (!counted.counters) counted = {model.name, adapter, std::make_shared<DemandCounters>(), false};
  route->counters = counted.counters;
  return route;
}

void RoutingTableBuilder::AddModel(const State& state, const ModelIntent& model,
                                   RoutingTable& table) {
  table.models[model.name] = MakeRoute(state, model, {});
  for (const AdapterIntent& adapter : model.adapters) {
    const ModelRouteConstPtr route = MakeRoute(state, model, adapter.name);
    table.models[adapter.name] = route;
    table.models[route->called_as] = route;
  }
}

void RoutingTableBuilder::AddService(const State& state, const ServiceIntent& service,
                                     RoutingTable& table) {
  auto route = std::make_shared<ServiceRoute>();
  route->service = service;
  for (const auto& [name, machine] : state.machines) {
    const bool usable = machine.kind == MachineKind::kService && machine.service == service.name &&
                        !machine.leaving;
    if (!usable) continue;
    const Target target{name, {machine.address, machine.http_port}, LoadOf("service/" + name)};
    (machine.zone == state.self.zone ? route->near : route->far).push_back(target);
  }
  table.services[service.name] = route;
}

RoutingTableConstPtr RoutingTableBuilder::Build(const State& state) {
  auto table = std::make_shared<RoutingTable>();
  table->configuration_revision = state.configuration.revision;
  for (const auto& [name, model] : state.configuration.intent.models)
    AddModel(state, model, *table);
  for (const auto& [name, service] : state.configuration.intent.services)
    AddService(state, service, *table);
  return table;
}

void RoutingTableBuilder::UpdateLoads(const std::vector<ServerLoad>& loads) {
  for (const ServerLoad& load : loads) {
    const std::string prefix = load.server + "/";
    for (auto it = loads_.lower_bound(prefix); it != loads_.end() && it->first.starts_with(prefix);
         ++it)
      it->second->reported.store(load.running + load.queued, std::memory_order_relaxed);
  }
}

std::vector<DemandSample> RoutingTableBuilder::TakeDemand(bool waiting_only) {
  std::vector<DemandSample> samples;
  for (auto& [name, counted] : counters_) {
    DemandCounters& counters = *counted.counters;
    const std::uint32_t waiting = counters.waiting.load(std::memory_order_relaxed);
    if (waiting_only && waiting == 0) continue;
    DemandSample sample{counted.model,
                        counted.adapter,
                        counters.arrivals.exchange(0, std::memory_order_relaxed),
                        counters.in_flight.load(std::memory_order_relaxed),
                        waiting,
                        Duration{0}};
    counters.nudged.store(false, std::memory_order_relaxed);
    const bool active = sample.arrivals + sample.in_flight + sample.waiting > 0;
    if (active || counted.was_active) samples.push_back(std::move(sample));
    counted.was_active = active;
  }
  return samples;
}

}  // namespace moorfold
