#include "simulation/simulation.h"

#include <algorithm>
#include <chrono>

#include "common/boot_clock.h"
#include "ports/json_codec.h"
#include "simulation/fault_injector.h"

namespace moorfold {
namespace {

/// Monday 2026-01-05 00:00 UTC.
constexpr Timestamp kFirstMonday{std::chrono::seconds(1'767'571'200)};
constexpr Duration kDemandChunk = std::chrono::hours(1);
constexpr Duration kCheckInterval = std::chrono::seconds(5);
constexpr Duration kRecoveryCheck = std::chrono::milliseconds(100);
constexpr Duration kClientPatience = std::chrono::seconds(2);
constexpr Duration kSettleTime = std::chrono::seconds(20);
constexpr std::uint32_t kClientTries = 3;
constexpr const char* kHeadKey = "moorfold/configuration/head";
constexpr std::string_view kLedgerPrefix = "moorfold/ledger/";

HostSettings SimulatedHostSettings() {
  HostSettings settings;
  settings.tick = std::chrono::milliseconds(500);
  settings.demand_interval = std::chrono::seconds(1);
  settings.machine_list_interval = std::chrono::seconds(2);
  return settings;
}

}  // namespace

/// Gives the fault injector its hands.
class Simulation::Injector : public FaultInjector {
 public:
  Injector(Simulation& simulation, World& world, std::uint64_t seed)
      : FaultInjector(world, seed), simulation_(simulation) {}

 protected:
  std::vector<SimulatedDaemon*> Daemons() override {
    std::vector<SimulatedDaemon*> daemons;
    for (const auto& daemon : simulation_.daemons_) daemons.push_back(daemon.get());
    return daemons;
  }
  void KillDaemon(SimulatedDaemon& daemon) override { simulation_.KillDaemon(daemon); }
  SimulatedEngines& Engines() override { return simulation_.engines_; }
  std::map<std::string, std::unique_ptr<SimulatedService>>& Services() override {
    return simulation_.services_;
  }
  void AddEngine(const Machine& machine) override { simulation_.AddEngine(machine); }
  LaggingMachineList& MachineListModel() override { return simulation_.machines_; }
  SimulatedWeightStore& Store() override { return simulation_.store_; }
  SimulatedKeyValueService& KeyValue() override { return simulation_.key_value_; }
  const std::vector<ZoneName>& Zones() override { return simulation_.scenario_.deployment.zones; }
  void RaceOperators() override { simulation_.operators_->Race(); }
  void Note(const std::string& text) override { simulation_.checkers_.Note(text); }
  void Count(FaultKind kind) override { ++simulation_.result_.faults[kind]; }

 private:
  Simulation& simulation_;
};

Simulation::Simulation(const Scenario& scenario, const SimulationOptions& options)
    : scenario_(scenario),
      options_(options),
      start_(kFirstMonday + std::chrono::hours(24) * scenario.first_weekday),
      measured_from_(start_ + scenario.warmup),
      end_(measured_from_ + scenario.duration),
      world_(start_, options.seed),
      checkers_(world_),
      key_value_(world_, scenario.deployment.key_value, scenario.deployment.zones.front()),
      machines_(scenario.deployment.machine_list_lag),
      store_(world_, scenario.deployment.weight_store),
      network_(world_),
      demand_(scenario_, start_, options.seed * 7919 + 17) {
  world_.bugs = options.bugs;
  world_.zone_distance = scenario.deployment.zone_distance;
  key_value_.SetCommitObserver([this](const Transaction& each) { ObserveCommit(each); });
  BuildPlatform();
  BuildDaemons();
  operators_ = std::make_unique<SimulatedOperators>(world_, key_value_, scenario_.intent,
                                                    scenario_.deployment.zones.front());
  injector_ = std::make_unique<Injector>(*this, world_, options.seed * 104'729 + 5);
}

Simulation::~Simulation() = default;

void Simulation::AddEngine(const Machine& machine) {
  auto engine = std::make_unique<SimulatedEngine>(world_, checkers_, store_, machine,
                                                  scenario_.deployment.engine, usage_);
  std::set<ModelName> cached;
  for (const auto& [name, model] : scenario_.intent.models)
    if (world_.Chance(scenario_.deployment.engine.disk_cached_share)) cached.insert(name);
  engine->model().SetDiskCache(std::move(cached));
  engines_[machine.name] = std::move(engine);
  machines_.Put(machine, world_.queue.Now());
}

void Simulation::BuildPlatform() {
  for (const Machine& machine : ListMachines(scenario_.deployment)) {
    if (machine.kind == MachineKind::kEngine) {
      AddEngine(machine);
      continue;
    }
    for (const ServiceTraits& traits : scenario_.deployment.services)
      if (traits.name == machine.service)
        services_[machine.name] =
            std::make_unique<SimulatedService>(world_, checkers_, machine, traits.latency);
    machines_.Put(machine, world_.queue.Now());
  }
}

void Simulation::BuildDaemons() {
  DaemonSurroundings surroundings{&world_,     &checkers_, &network_,
                                  &key_value_, &machines_, {&engines_, &services_, {}}};
  surroundings.backends.forward = [this](const DaemonName& name, const SimulatedRequestPtr& request,
                                         RequestDone done) {
    for (const auto& daemon : daemons_) {
      if (daemon->name() != name) continue;
      const Duration delay = world_.NetworkDelay(request->zone, daemon->zone());
      if (!daemon->accepts() || world_.Cut(request->zone, daemon->zone())) {
        world_.queue.After(delay, [done] { done(RequestEnd::kRefusedNotRun); });
        return;
      }
      const auto deliver = daemon->process().Gate(
          [target = daemon.get(), request, done] { target->router().Submit(request, true, done); });
      world_.queue.After(delay, deliver);
      return;
    }
    world_.queue.After(Duration{1000}, [done] { done(RequestEnd::kRefusedNotRun); });
  };
  for (const ZoneName& zone : scenario_.deployment.zones) {
    for (std::uint32_t index = 0; index < scenario_.deployment.daemons_per_zone; ++index) {
      const DaemonName name = zone + "-daemon-" + std::to_string(index);
      Machine machine;
      machine.name = name;
      machine.zone = zone;
      machine.kind = MachineKind::kDaemon;
      machines_.Put(machine, world_.queue.Now());
      daemons_.push_back(std::make_unique<SimulatedDaemon>(surroundings, name, zone, scenario_.core,
                                                           SimulatedHostSettings()));
      daemons_by_zone_[zone].push_back(daemons_.back().get());
    }
  }
  machines_.Settle();
  for (const auto& daemon : daemons_) {
    // Not all at the same instant: ticks would fall together for ever.
    const Duration delay(static_cast<std::int64_t>(world_.random() % 500'000));
    world_.queue.After(delay, [target = daemon.get()] { target->Start(); });
  }
}

void Simulation::ObserveCommit(const Transaction& transaction) {
  for (const Operation& operation : transaction.operations) {
    const auto* put = std::get_if<PutOperation>(&operation);
    if (put == nullptr) continue;
    if (put->key.starts_with(kLedgerPrefix)) {
      checkers_.OnLedgerCommitted(put->key.substr(kLedgerPrefix.size()),
                                  FromJson<Ledger>(put->value));
    } else if (put->key == kHeadKey) {
      const Revision revision = FromJson<ConfigurationHead>(put->value).revision;
      if (revision <= last_head_)
        checkers_.OnConfigurationInForce("the key-value service", 1, revision);
      last_head_ = revision;
      ++result_.configuration_changes;
      checkers_.OnConfigurationCommitted(revision);
    }
  }
}

SimulatedDaemon* Simulation::PickDaemon(const SimulatedRequest& request) {
  const std::vector<SimulatedDaemon*>& near = daemons_by_zone_.at(request.zone);
  const std::size_t first = request.router + request.client_tries;
  for (std::size_t step = 0; step < near.size(); ++step) {
    SimulatedDaemon* daemon = near[(first + step) % near.size()];
    if (daemon->accepts()) return daemon;
  }
  for (const auto& daemon : daemons_)
    if (daemon->accepts() && !world_.Cut(request.zone, daemon->zone())) return daemon.get();
  return nullptr;
}

void Simulation::Deliver(const SimulatedRequestPtr& request) {
  SimulatedDaemon* daemon = PickDaemon(*request);
  if (daemon == nullptr) return End(request, RequestEnd::kRefusedNotRun);
  const std::uint64_t life = daemon->process().life();
  const auto submit = daemon->process().Gate([this, daemon, request] {
    if (!daemon->accepts()) return OnClientConnectionBroken(request);
    daemon->router().Submit(request, false, [this, request, daemon](RequestEnd end) {
      const Duration back = world_.NetworkDelay(daemon->zone(), request->zone);
      world_.queue.After(back, [this, request, end] { End(request, end); });
    });
  });
  world_.queue.After(world_.NetworkDelay(request->zone, daemon->zone()), submit);
  world_.queue.At(request->deadline + kClientPatience,
                  [this, request, daemon, life] { OnClientTimeout(request, daemon, life); });
}

void Simulation::OnClientConnectionBroken(const SimulatedRequestPtr& request) {
  if (request->end != RequestEnd::kPending) return;
  const bool may_repeat = request->repeatable || !request->key.empty();
  const bool in_time = world_.queue.Now() < request->deadline;
  if (!may_repeat || !in_time || ++request->client_tries >= kClientTries)
    return End(request, RequestEnd::kUnknown);
  Deliver(request);
}

void Simulation::OnClientTimeout(const SimulatedRequestPtr& request, SimulatedDaemon* daemon,
                                 std::uint64_t life) {
  if (request->end != RequestEnd::kPending) return;
  const Process& process = daemon->process();
  const bool same_process = process.alive() && process.life() == life && !process.paused();
  const bool resumed_lately = world_.queue.Now() - injector_->last_resume() < kClientPatience * 3;
  if (same_process && !resumed_lately && request->client_tries == 0) {
    ++result_.dropped;
    checkers_.OnOverdue(*request);
  }
  End(request, RequestEnd::kUnknown);
}

void Simulation::End(const SimulatedRequestPtr& request, RequestEnd end) {
  if (request->end != RequestEnd::kPending) return;
  // After an earlier try that broke off, nobody can say that it was not run.
  const bool doubtful = end == RequestEnd::kRefusedNotRun && request->client_tries > 0;
  request->end = doubtful ? RequestEnd::kUnknown : end;
  checkers_.OnEnded(*request);
  if (!request->measured) return;
  if (request->end == RequestEnd::kServed) ++result_.served;
  if (request->end == RequestEnd::kRefusedNotRun) ++result_.refused_not_run;
  if (request->end == RequestEnd::kUnknown) ++result_.unknown;
  const bool timed = request->end == RequestEnd::kServed && request->first_token != Timestamp{};
  if (!timed || request->is_service) return;
  const double seconds = ToSeconds(request->first_token - request->arrival);
  result_.first_token_seconds.push_back(seconds);
  if (request->cold) result_.cold_start_seconds.push_back(seconds);
}

void Simulation::KillDaemon(SimulatedDaemon& daemon) {
  if (!daemon.process().alive()) return;
  const bool led = daemon.IsCoordinator();
  const std::vector<SimulatedRequestPtr> requests = daemon.router().Requests();
  result_.suspicions += daemon.host().state().membership.suspicions;
  daemon.Kill();
  if (led) WatchRecovery(daemon.zone(), world_.queue.Now());
  for (const SimulatedRequestPtr& request : requests)
    world_.queue.After(world_.NetworkDelay(daemon.zone(), request->zone),
                       [this, request] { OnClientConnectionBroken(request); });
}

void Simulation::ScheduleDemand(Timestamp from) {
  if (from >= end_) return;
  const Duration length = std::min(kDemandChunk, end_ - from);
  for (SimulatedRequest& request : demand_.Generate(from, length)) {
    request.measured = request.arrival >= measured_from_;
    if (request.measured) ++result_.offered;
    auto shared = std::make_shared<SimulatedRequest>(std::move(request));
    world_.queue.At(shared->arrival, [this, shared] { Deliver(shared); });
  }
  world_.queue.At(from + length, [this, next = from + length] { ScheduleDemand(next); });
}

/// Recovered: another coordinator acts and knows what every server holds, so that it can order.
bool Simulation::HasRecovered(const ZoneName& zone) const {
  for (const SimulatedDaemon* daemon : daemons_by_zone_.at(zone)) {
    if (!daemon->IsCoordinator() || daemon->process().paused()) continue;
    const State& state = daemon->host().state();
    return std::all_of(state.servers.begin(), state.servers.end(), [&](const auto& entry) {
      const auto engine = engines_.find(entry.first);
      const bool alive = engine != engines_.end() && engine->second->alive();
      return !alive || entry.second.report_received >= state.coordinator.active_since;
    });
  }
  return false;
}

void Simulation::WatchRecovery(const ZoneName& zone, Timestamp died) {
  if (HasRecovered(zone)) {
    result_.recovery_seconds.push_back(ToSeconds(world_.queue.Now() - died));
    return;
  }
  if (world_.queue.Now() > end_) return;
  world_.queue.After(kRecoveryCheck, [this, zone, died] { WatchRecovery(zone, died); });
}

void Simulation::CheckRegularly() {
  if (injector_->Disturbing()) checkers_.OnDisturbance();
  checkers_.CheckConfigurationLate();
  if (world_.bugs.configuration_is_forgotten && world_.Chance(0.2)) daemons_[0]->ForgetState();
  world_.queue.After(kCheckInterval, [this] { CheckRegularly(); });
}

void Simulation::StartMeasuring() {
  for (auto& [name, engine] : engines_) engine->Account();
  usage_before_ = usage_;
}

SimulationResult Simulation::Run() {
  const auto wall_start = BootClock::now();
  world_.queue.After(std::chrono::seconds(2), [this] { operators_->ConfirmFirst(); });
  world_.queue.At(measured_from_, [this] { StartMeasuring(); });
  // The first requests come when the first configuration is in force.
  const Timestamp first_demand = start_ + kSettleTime;
  world_.queue.At(first_demand, [this, first_demand] { ScheduleDemand(first_demand); });
  CheckRegularly();
  if (scenario_.changes_per_hour > 0) {
    const Duration mean = FromSeconds(3600 / scenario_.changes_per_hour);
    injector_->Repeat(mean, start_ + kSettleTime, end_, [this] { operators_->Change(); });
  }
  if (options_.faults == FaultMode::kScenario)
    for (const PlannedFault& fault : scenario_.faults) injector_->Plan(fault, measured_from_);
  if (options_.faults == FaultMode::kChaos)
    for (const auto& [kind, per_day] : scenario_.chaos) {
      const auto& only = options_.only_faults;
      if (only.empty() || std::find(only.begin(), only.end(), kind) != only.end())
        injector_->StartChaos(kind, per_day, start_ + kSettleTime, end_);
    }
  world_.queue.RunUntil(end_);
  for (auto& [name, engine] : engines_) engine->Account();
  const EngineUsage at_end = usage_;
  injector_->Stop();
  // What is in progress comes to its end before the verdict.
  if (options_.settle) world_.queue.RunUntil(end_ + std::chrono::minutes(11));
  usage_ = at_end;
  result_.wall_seconds = std::chrono::duration<double>(BootClock::now() - wall_start).count();
  return Collect();
}

SimulationResult Simulation::Collect() {
  SimulationResult result = std::move(result_);
  result.virtual_seconds = ToSeconds(end_ - start_);
  result.events = world_.queue.executed();
  result.usage = usage_;
  result.usage.loaded_accelerator_seconds -= usage_before_.loaded_accelerator_seconds;
  result.usage.idle_accelerator_seconds -= usage_before_.idle_accelerator_seconds;
  result.usage.loads_started -= usage_before_.loads_started;
  result.usage.loads_completed -= usage_before_.loads_completed;
  result.usage.loads_aborted -= usage_before_.loads_aborted;
  result.in_force_seconds = checkers_.in_force_seconds();
  result.violation_counts = checkers_.counts();
  result.violations = checkers_.violations();
  result.key_value_reads = key_value_.reads;
  result.key_value_writes = key_value_.writes;
  for (const auto& daemon : daemons_)
    if (daemon->process().alive())
      result.suspicions += daemon->host().state().membership.suspicions;
  for (std::vector<double>* series : {&result.cold_start_seconds, &result.first_token_seconds,
                                      &result.in_force_seconds, &result.recovery_seconds})
    std::sort(series->begin(), series->end());
  return result;
}

}  // namespace moorfold
