#include "simulation/simulated_engine.h"

#include <algorithm>

namespace moorfold {
namespace {

constexpr double kMebiPerGibi = 1024;
constexpr double kCachedPrefillShare = 0.2;
constexpr std::size_t kCachedPrefixes = 32;
constexpr Duration kReportTimeout = std::chrono::seconds(2);
/// A connection whose peer is out of reach fails after so long.
constexpr Duration kConnectTimeout = std::chrono::seconds(2);
/// Answers that belong to another request, as a share: stray bytes of an abandoned one.
constexpr double kCrossedAnswers = 0.0005;

Incarnation IncarnationAt(Timestamp now) {
  return static_cast<Incarnation>(now.time_since_epoch().count());
}

}  // namespace

TransferId SimulatedWeightStore::Start(MebiBytes size, std::function<void()> done) {
  const TransferId transfer = model_.Start(size, world_.queue.Now());
  callbacks_[transfer] = std::move(done);
  Schedule();
  return transfer;
}

void SimulatedWeightStore::Cancel(TransferId transfer) {
  model_.Cancel(transfer, world_.queue.Now());
  callbacks_.erase(transfer);
  Schedule();
}

void SimulatedWeightStore::SetSlowdown(double factor) {
  model_.SetSlowdown(factor, world_.queue.Now());
  Schedule();
}

void SimulatedWeightStore::Schedule() {
  const std::optional<Timestamp> next = model_.NextChange();
  if (!next) return;
  const std::uint64_t schedule = ++schedule_;
  world_.queue.At(std::max(*next, world_.queue.Now() + Duration{1}), [this, schedule] {
    if (schedule == schedule_) Collect();
  });
}

void SimulatedWeightStore::Collect() {
  for (const TransferId transfer : model_.TakeFinished(world_.queue.Now())) {
    const auto found = callbacks_.find(transfer);
    if (found == callbacks_.end()) continue;
    const std::function<void()> callback = std::move(found->second);
    callbacks_.erase(found);
    callback();
  }
  Schedule();
}

SimulatedEngine::SimulatedEngine(World& world, Checkers& checkers, SimulatedWeightStore& store,
                                 Machine machine, EngineTraits traits, EngineUsage& usage)
    : world_(world),
      checkers_(checkers),
      store_(store),
      machine_(std::move(machine)),
      traits_(traits),
      usage_(usage),
      model_(machine_.name, machine_.memory, IncarnationAt(world.queue.Now()), world.bugs.engine),
      accounted_(world.queue.Now()) {}

void SimulatedEngine::Account() {
  const Timestamp now = world_.queue.Now();
  const double elapsed = ToSeconds(now - accounted_);
  accounted_ = now;
  if (elapsed <= 0) return;
  for (const EngineModel::ReplicaUse& use : model_.Uses()) {
    const double share = static_cast<double>(use.memory) / static_cast<double>(machine_.memory) *
                         machine_.accelerators;
    usage_.loaded_accelerator_seconds += share * elapsed;
    if (use.ready && use.running == 0) usage_.idle_accelerator_seconds += share * elapsed;
  }
}

void SimulatedEngine::NoteReplicas() {
  std::set<ModelVersion> held;
  for (const ModelVersion& servable : model_.Servables()) held.insert(servable);
  for (const ModelVersion& servable : noted_)
    if (!held.contains(servable))
      checkers_.OnReplicaRemoved(machine_.zone, machine_.name, servable);
  for (const ModelVersion& servable : held)
    if (!noted_.contains(servable))
      checkers_.OnReplicaAdded(machine_.zone, machine_.name, servable, model_.memory_used(),
                               model_.memory_total());
  noted_ = std::move(held);
  for (auto it = releases_.begin(); it != releases_.end();) {
    if (model_.Holds(it->first)) {
      ++it;
      continue;
    }
    const std::vector<std::function<void(OrderResult)>> waiting = std::move(it->second);
    it = releases_.erase(it);
    for (const auto& done : waiting) done({OrderOutcome::kDone, Report()});
  }
}

ServerReport SimulatedEngine::Report() {
  ServerReport report = model_.Report();
  if (world_.bugs.engines_report_no_memory_used) report.memory_used = 0;
  if (world_.bugs.leaving_servers_stay_in_use) report.leaving = false;
  return report;
}

void SimulatedEngine::Execute(const Order& order, std::function<void(OrderResult)> done) {
  Account();
  const bool was_held = model_.Holds(order.servable);
  const OrderDecision decision = model_.Begin(order);
  if (order.kind == OrderKind::kRelease && !model_.Holds(order.servable)) DropLoad(order.servable);
  if (decision.finished) {
    done({decision.outcome, Report()});
  } else if (order.kind == OrderKind::kRelease) {
    releases_[order.servable].push_back(std::move(done));
  } else {
    if (!was_held) StartLoad(order);
    loads_[order.servable].waiting.push_back(std::move(done));
  }
  NoteReplicas();
}

void SimulatedEngine::StartLoad(const Order& order) {
  ++usage_.loads_started;
  Load& load = loads_[order.servable];
  load.number = next_load_++;
  const ModelVersion servable = order.servable;
  const std::uint64_t number = load.number;
  const auto finish = [this, servable, number] { EndLoad(servable, number); };
  const CacheTier tier = model_.TierOf(servable.model);
  if (tier == CacheTier::kRemote) {
    load.transfer = store_.Start(order.memory, finish);
    return;
  }
  const double speed =
      tier == CacheTier::kMemory ? traits_.memory_tier_speed : traits_.disk_tier_speed;
  world_.queue.After(FromSeconds(static_cast<double>(order.memory) / (kMebiPerGibi * speed)),
                     finish);
}

void SimulatedEngine::EndLoad(const ModelVersion& servable, std::uint64_t number) {
  const auto found = loads_.find(servable);
  if (found == loads_.end() || found->second.number != number) return;
  Account();
  const std::vector<std::function<void(OrderResult)>> waiting = std::move(found->second.waiting);
  loads_.erase(found);
  bool complete = false;
  if (abort_loads_ > 0) {
    --abort_loads_;
    model_.AbortLoad(servable);
    ++usage_.loads_aborted;
  } else {
    complete = model_.FinishLoad(servable);
    if (complete) ++usage_.loads_completed;
  }
  NoteReplicas();
  for (const auto& done : waiting)
    done({complete ? OrderOutcome::kDone : OrderOutcome::kFailed, Report()});
}

void SimulatedEngine::DropLoad(const ModelVersion& servable) {
  const auto found = loads_.find(servable);
  if (found == loads_.end()) return;
  if (found->second.transfer != 0) store_.Cancel(found->second.transfer);
  const std::vector<std::function<void(OrderResult)>> waiting = std::move(found->second.waiting);
  loads_.erase(found);
  ++usage_.loads_aborted;
  for (const auto& done : waiting) done({OrderOutcome::kFailed, Report()});
}

void SimulatedEngine::Accept(const SimulatedRequestPtr& request, std::function<void()> first_token,
                             BackendCallback done) {
  if (!alive_) return done({BackendAnswer::kNotRun, request->id});
  if (leaving_since_ != Timestamp{}) checkers_.OnWorkArrived(machine_.name, leaving_since_);
  Account();
  ModelVersion servable;
  const StartRefusal refusal = model_.StartRequest(request->name, request->adapter, &servable);
  if (refusal == StartRefusal::kLeaving) return done({BackendAnswer::kLeaving, request->id});
  if (refusal != StartRefusal::kNone) return done({BackendAnswer::kNotRun, request->id});
  const std::uint64_t number = next_run_++;
  runs_[number] = {request, std::move(first_token), std::move(done), servable};
  batches_[servable].waiting[{request->priority, number}] = number;
  StartNext(servable);
}

void SimulatedEngine::StartNext(const ModelVersion& servable) {
  Batch& batch = batches_[servable];
  while (batch.running < traits_.batch && !batch.waiting.empty()) {
    const std::uint64_t number = batch.waiting.begin()->second;
    batch.waiting.erase(batch.waiting.begin());
    ++batch.running;
    Run(number);
  }
  model_.SetQueued(servable, static_cast<std::uint32_t>(batch.waiting.size()));
}

bool SimulatedEngine::TouchPrefix(Batch& batch, std::uint64_t prefix) {
  const auto found = std::find(batch.prefixes.begin(), batch.prefixes.end(), prefix);
  const bool cached = found != batch.prefixes.end();
  if (cached) batch.prefixes.erase(found);
  batch.prefixes.push_back(prefix);
  if (batch.prefixes.size() > kCachedPrefixes) batch.prefixes.erase(batch.prefixes.begin());
  return cached;
}

void SimulatedEngine::Run(std::uint64_t number) {
  Running& run = runs_.at(number);
  checkers_.OnExecuted(*run.request);
  const bool cached = TouchPrefix(batches_[run.servable], run.request->prefix_hash);
  const Duration prefill =
      FromSeconds(ToSeconds(traits_.first_token) * (cached ? kCachedPrefillShare : 1.0));
  const Duration rest = traits_.between_tokens * (std::max(1U, run.request->tokens) - 1);
  const std::uint64_t life = life_;
  world_.queue.After(prefill, [this, number, life] {
    const auto found = runs_.find(number);
    if (life == life_ && found != runs_.end()) found->second.first_token();
  });
  BackendReply reply{BackendAnswer::kDone, run.request->id};
  if (world_.Chance(kCrossedAnswers) && last_served_ != 0) reply.answers_request = last_served_;
  last_served_ = run.request->id;
  world_.queue.After(prefill + rest, [this, number, life, reply] {
    if (life == life_) EndRun(number, reply);
  });
}

void SimulatedEngine::EndRun(std::uint64_t number, BackendReply reply) {
  const auto found = runs_.find(number);
  if (found == runs_.end()) return;
  Account();
  const Running run = std::move(found->second);
  runs_.erase(found);
  --batches_[run.servable].running;
  model_.EndRequest(run.servable);
  NoteReplicas();
  StartNext(run.servable);
  run.done(reply);
}

void SimulatedEngine::Kill() {
  Account();
  alive_ = false;
  ++life_;
  for (auto& [servable, load] : loads_) {
    if (load.transfer != 0) store_.Cancel(load.transfer);
    ++usage_.loads_aborted;
  }
  std::map<ModelVersion, Load> loads = std::move(loads_);
  std::map<std::uint64_t, Running> runs = std::move(runs_);
  auto releases = std::move(releases_);
  loads_.clear();
  runs_.clear();
  releases_.clear();
  batches_.clear();
  model_.Restart(model_.incarnation());  // Its memory is free from here on.
  NoteReplicas();
  // Whoever waits on a connection sees it break.
  for (auto& [servable, load] : loads)
    for (auto& done : load.waiting) done({OrderOutcome::kUnknown, std::nullopt});
  for (auto& [servable, waiting] : releases)
    for (auto& done : waiting) done({OrderOutcome::kUnknown, std::nullopt});
  for (auto& [number, run] : runs) run.done({BackendAnswer::kBroken, run.request->id});
}

void SimulatedEngine::Restart() {
  model_.Restart(IncarnationAt(world_.queue.Now()));
  alive_ = true;
}

void SimulatedEngine::Leave() {
  if (leaving_since_ == Timestamp{}) leaving_since_ = world_.queue.Now();
  if (!world_.bugs.leaving_servers_stay_in_use) model_.SetLeaving();
}

void SimulatedModelEngine::Report(const Machine& server, ReportCallback done) {
  auto reply = process_.Gate(std::move(done));
  const ZoneName zone = server.zone;
  if (world_.Cut(zone_, zone)) {
    world_.queue.After(kReportTimeout, [reply] {
      reply(Outcome<ServerReport>(
          PlatformFailure{PlatformFault::kUnavailable, "the engine is out of reach"}));
    });
    return;
  }
  const Duration there = world_.NetworkDelay(zone_, zone);
  const Duration back = world_.NetworkDelay(zone, zone_);
  // From here on the daemon may be gone: nothing below touches this object.
  world_.queue.After(
      there, [&world = world_, &engines = engines_, name = server.name, reply, back] {
        const auto engine = engines.find(name);
        const bool answers = engine != engines.end() && engine->second->alive();
        Outcome<ServerReport> outcome =
            answers ? Outcome<ServerReport>(engine->second->Report())
                    : Outcome<ServerReport>(
                          PlatformFailure{PlatformFault::kUnavailable, "the engine is down"});
        world.queue.After(back, [reply, outcome = std::move(outcome)] { reply(outcome); });
      });
}

void SimulatedModelEngine::Misdirect(SimulatedEngines& engines, const ZoneName& zone,
                                     const Order& order) {
  for (auto& [name, engine] : engines) {
    if (name == order.server || engine->machine().zone != zone || !engine->alive()) continue;
    Order copy = order;
    copy.server = name;
    copy.incarnation = engine->model().incarnation();
    engine->Execute(copy, [](const OrderResult&) {});
    return;
  }
}

void SimulatedModelEngine::Execute(const Machine& server, Order order, OrderCallback done) {
  auto reply = process_.Gate(std::move(done));
  if (world_.Cut(zone_, server.zone)) {
    world_.queue.After(kConnectTimeout, [reply] {
      reply(OrderResult{OrderOutcome::kFailed, std::nullopt});
    });
    return;
  }
  const Duration back = world_.NetworkDelay(server.zone, zone_);
  // Orders may be held up in the network for long, and so overtake one another.
  constexpr double kHeldUp = 0.01;
  const Duration held_up =
      world_.Chance(kHeldUp) ? world_.Exponential(std::chrono::seconds(10)) : Duration{0};
  const Duration there = world_.NetworkDelay(zone_, server.zone) + held_up;
  world_.queue.After(there, [&world = world_, &engines = engines_, zone = zone_,
                             order = std::move(order), reply, back] {
    if (world.bugs.load_orders_reach_a_second_server && order.kind == OrderKind::kLoad)
      Misdirect(engines, zone, order);
    const auto engine = engines.find(order.server);
    if (engine == engines.end() || !engine->second->alive()) {
      world.queue.After(back, [reply] { reply(OrderResult{OrderOutcome::kFailed, std::nullopt}); });
      return;
    }
    // A lost answer: the order was carried out and nobody hears of it.
    constexpr double kAnswerLost = 0.005;
    const bool lost = world.Chance(kAnswerLost);
    engine->second->Execute(order, [&world, reply, back, lost](const OrderResult& result) {
      const OrderResult told = lost ? OrderResult{OrderOutcome::kUnknown, std::nullopt} : result;
      world.queue.After(back, [reply, told] { reply(told); });
    });
  });
}

void SimulatedMachineList::List(ListCallback done) {
  auto reply = process_.Gate(std::move(done));
  world_.queue.After(std::chrono::milliseconds(2), [&world = world_, &list = list_, reply] {
    reply(Outcome<MachineListing>(list.Visible(world.queue.Now())));
  });
}

void SimulatedService::Accept(const SimulatedRequestPtr& request, BackendCallback done) {
  if (!alive_) return done({BackendAnswer::kNotRun, request->id});
  if (leaving_since_ != Timestamp{}) {
    checkers_.OnWorkArrived(machine_.name, leaving_since_);
    if (!world_.bugs.leaving_servers_stay_in_use)
      return done({BackendAnswer::kLeaving, request->id});
  }
  checkers_.OnExecuted(*request);
  const std::uint64_t life = life_;
  // An answer that is lost after the request ran.
  constexpr double kAnswerLost = 0.002;
  const bool lost = world_.Chance(kAnswerLost);
  world_.queue.After(latency_, [this, life, lost, request, done] {
    const bool broken = lost || life != life_;
    done({broken ? BackendAnswer::kBroken : BackendAnswer::kDone, request->id});
  });
}

void SimulatedService::Kill() {
  alive_ = false;
  ++life_;
}

void SimulatedService::Leave() {
  if (leaving_since_ == Timestamp{}) leaving_since_ = world_.queue.Now();
}

}  // namespace moorfold
