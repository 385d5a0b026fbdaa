#include "request/routing_table.h"

#include <algorithm>

#include "request/admission_queue.h"
#include "request/replica_picker.h"

namespace moorfold {
namespace {

/// A replica may hold this many requests for each that it runs: the engine orders them by
/// priority, which it can only do among those that it has.
constexpr std::uint32_t kEngineQueueFactor = 2;
constexpr std::uint32_t kRemoteLimit = 10'000;

constexpr std::uint32_t kFailuresToSetAside = 3;
constexpr std::int64_t kFirstAsideMicroseconds = 500'000;
constexpr std::uint32_t kMaxAsideDoublings = 4;
constexpr std::int64_t kLeavingAsideMicroseconds = 600'000'000;

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

void DemandCounters::Average(std::atomic<std::uint64_t>& average, std::uint64_t newest) {
  constexpr std::uint64_t kShare = 8;
  const std::uint64_t old = average.load(std::memory_order_relaxed);
  average.store(old == 0 ? newest : old - old / kShare + newest / kShare,
                std::memory_order_relaxed);
}

double PredictAnswerSeconds(const ModelRoute& route, std::size_t waiting_before,
                            double waited_seconds) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  const DemandCounters& counters = *route.counters;
  const auto seconds = [](const std::atomic<std::uint64_t>& average) {
    return static_cast<double>(average.load(std::memory_order_relaxed)) / kMicrosecondsPerSecond;
  };
  const double service = seconds(counters.service_microseconds);
  if (!route.targets.empty()) {
    const auto slots = static_cast<std::uint32_t>(route.targets.size()) * route.model.concurrency;
    return PredictWait(waiting_before, slots, service) + service;
  }
  const double cold = seconds(counters.cold_microseconds);
  return cold == 0 ? 0 : std::max(0.0, cold - waited_seconds) + service;
}

std::optional<Target> AcquireReplica(const ModelRoute& route, std::uint64_t prefix_hash,
                                     const std::set<std::string>& excluded,
                                     std::int64_t now_microseconds) {
  const std::uint32_t limit =
      route.local ? route.model.concurrency * kEngineQueueFactor : kRemoteLimit;
  std::vector<ReplicaCandidate> candidates;
  candidates.reserve(route.targets.size());
  for (const Target& target : route.targets)
    candidates.push_back(
        {target.name, target.load->in_flight.load(std::memory_order_relaxed),
         target.load->reported.load(std::memory_order_relaxed), limit,
         target.load->SetAside(now_microseconds) || excluded.contains(target.name)});
  const std::optional<std::size_t> picked = PickReplica(candidates, prefix_hash);
  if (!picked) return std::nullopt;
  const Target& target = route.targets[*picked];
  if (!target.load->TryAcquire(limit)) return std::nullopt;
  return target;
}

std::optional<Target> PickBackend(const ServiceRoute& route, const std::string& excluded,
                                  std::int64_t now_microseconds) {
  for (const std::vector<Target>* group : {&route.near, &route.far}) {
    const Target* best = nullptr;
    for (const Target& target : *group) {
      if (target.name == excluded || target.load->SetAside(now_microseconds)) continue;
      if (best == nullptr || target.load->in_flight < best->load->in_flight) best = &target;
    }
    if (best != nullptr) return *best;
  }
  return std::nullopt;
}

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

void TargetLoad::RecordLeaving(std::int64_t now_microseconds) {
  set_aside_until.store(now_microseconds + kLeavingAsideMicroseconds, std::memory_order_relaxed);
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

ModelRouteConstPtr RoutingTableBuilder::BuildRoute(const State& state, const ModelIntent& model,
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
  table.models[model.name] = BuildRoute(state, model, {});
  for (const AdapterIntent& adapter : model.adapters) {
    const ModelRouteConstPtr route = BuildRoute(state, model, adapter.name);
    table.models[adapter.name] = route;
    table.models[route->called_as] = route;
  }
}

ServiceRouteConstPtr RoutingTableBuilder::BuildServiceRoute(const State& state,
                                                            const ServiceIntent& service) {
  auto route = std::make_shared<ServiceRoute>();
  route->service = service;
  for (const auto& [name, machine] : state.machines) {
    const bool usable = machine.kind == MachineKind::kService && machine.service == service.name &&
                        !machine.leaving;
    if (!usable) continue;
    const Target target{name, {machine.address, machine.http_port}, LoadOf("service/" + name)};
    (machine.zone == state.self.zone ? route->near : route->far).push_back(target);
  }
  return route;
}

RoutingTableConstPtr RoutingTableBuilder::Build(const State& state) {
  auto table = std::make_shared<RoutingTable>();
  table->configuration_revision = state.configuration.revision;
  for (const auto& [name, model] : state.configuration.intent.models)
    AddModel(state, model, *table);
  for (const auto& [name, service] : state.configuration.intent.services)
    table->services[name] = BuildServiceRoute(state, service);
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
