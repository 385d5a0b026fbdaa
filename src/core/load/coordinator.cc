#include "core/load/coordinator.h"

#include <algorithm>

namespace moorfold {
namespace {

/// Longer than any load. After this time, only reports tell the outcome of an unanswered order.
constexpr Duration kOrderForgotten = std::chrono::minutes(10);
constexpr Duration kReconcileInterval = std::chrono::seconds(15);
constexpr Duration kSwapForgotten = std::chrono::seconds(10);

std::string OrderId(const Order& order, const PermitKey& key) {
  return std::string(ToString(order.kind)) + ":" + ToString(order.servable) + ":" +
         std::to_string(key.index) + ":" + order.adapter + ":" + std::to_string(order.fence) + ":" +
         std::to_string(order.incarnation);
}

/// Calls `visit` for each permit of one model version.
template <typename Visitor>
void ForEachPermit(const Ledger& ledger, const ModelVersion& servable, Visitor visit) {
  for (auto it = ledger.permits.lower_bound({servable, 0});
       it != ledger.permits.end() && it->first.servable == servable; ++it)
    visit(it->second);
}

bool IsIdle(const ModelDemand& demand, const ReplicaReport& replica) {
  return Concurrency(demand) == 0 && replica.running == 0 && replica.queued == 0;
}

std::uint32_t ReplicasNeeded(const ModelIntent& model, std::uint32_t concurrency) {
  const std::uint32_t per_replica = std::max<std::uint32_t>(1, model.concurrency);
  return (concurrency + per_replica - 1) / per_replica;
}

}  // namespace

void Coordinator::Log(LogSeverity severity, std::string name,
                      std::vector<std::pair<std::string, std::string>> fields) {
  effects_.push_back(LogRecord{severity, std::move(name), std::move(fields)});
}

bool Coordinator::Leads() const {
  return state_.ledger.ledger.revision > 0 && state_.ledger.ledger.leader == state_.self.name &&
         !state_.stopping;
}

void Coordinator::UpdateRole() {
  const Ledger& ledger = state_.ledger.ledger;
  if (IsAlive(state_.membership, ledger.leader)) state_.ledger.leader_seen = now_;
  CoordinatorState& coordinator = state_.coordinator;
  const bool should_act = CoordinatorOf(state_) == state_.self.name && !state_.stopping;
  if (should_act && !coordinator.active) {
    coordinator = CoordinatorState{};
    coordinator.active = true;
    coordinator.recovering = true;
    coordinator.active_since = now_;
    // Request fresh reports before sending any order.
    for (const DaemonName& member : state_.membership.alive)
      if (member != state_.self.name)
        effects_.push_back(SendMessage{member, ServerReportsRequest{}});
    effects_.push_back(ReadLedger{});
    state_.ledger.last_read = now_;
    Log(LogSeverity::kInfo, "coordinator_started", {{"zone", state_.self.zone}});
  }
  if (!should_act && coordinator.active) {
    coordinator = CoordinatorState{};
    Log(LogSeverity::kInfo, "coordinator_stopped", {{"zone", state_.self.zone}});
  }
  if (should_act && !Leads()) TakeLead();
}

void Coordinator::TakeLead() {
  const Duration patience = state_.settings.leader_patience;
  const bool leader_missing = now_ - state_.ledger.leader_seen >= patience;
  const bool settled = now_ - state_.coordinator.active_since >= patience;
  if (!leader_missing || !settled || state_.coordinator.swap_pending) return;
  if (now_ - state_.ledger.last_read >= state_.settings.ledger_read_interval) {
    state_.ledger.last_read = now_;
    effects_.push_back(ReadLedger{});
  }
  if (state_.ledger.ledger.revision == 0 && !state_.ledger.absent) return;
  Ledger proposed = state_.ledger.ledger;
  ++proposed.revision;
  ++proposed.epoch;
  proposed.leader = state_.self.name;
  Swap(proposed);
}

void Coordinator::Swap(const Ledger& proposed) {
  state_.coordinator.swap_pending = true;
  state_.coordinator.swap_sent = now_;
  effects_.push_back(SwapLedger{state_.ledger.ledger.revision, proposed});
}

void Coordinator::OnSwapFinished(const LedgerSwapFinished& finished) {
  state_.coordinator.swap_pending = false;
  if (finished.outcome != SwapOutcome::kCommitted) {
    // After a conflict or a lost response, read the service before retrying.
    state_.ledger.last_read = now_;
    effects_.push_back(ReadLedger{});
    return;
  }
  if (finished.proposed.revision <= state_.ledger.ledger.revision) return;
  const LedgerDelta delta = DiffLedgers(state_.ledger.ledger, finished.proposed);
  state_.ledger.ledger = finished.proposed;
  state_.ledger.absent = false;
  for (const DaemonName& member : state_.membership.alive)
    if (member != state_.self.name)
      effects_.push_back(SendMessage{member, LedgerDeltaMessage{delta}});
  Log(LogSeverity::kInfo, "ledger_committed",
      {{"revision", std::to_string(finished.proposed.revision)},
       {"epoch", std::to_string(finished.proposed.epoch)},
       {"changed", std::to_string(delta.changed.size())},
       {"removed", std::to_string(delta.removed.size())}});
  std::erase_if(state_.coordinator.releases, [&](const auto& entry) {
    const auto permit = finished.proposed.permits.find(entry.first);
    return permit == finished.proposed.permits.end() ||
           permit->second.phase != PermitPhase::kMoving;
  });
  state_.coordinator.placement_dirty = true;
}

void Coordinator::ReconcilePlacement() {
  CoordinatorState& coordinator = state_.coordinator;
  if (!coordinator.active || !Leads()) return;
  if (coordinator.swap_pending && now_ - coordinator.swap_sent < kSwapForgotten) return;
  const bool due = now_ - coordinator.last_reconcile >= kReconcileInterval;
  if (!coordinator.placement_dirty && !due) return;
  coordinator.placement_dirty = false;
  coordinator.last_reconcile = now_;
  const LedgerReconciler reconciler(state_.self.zone, state_.configuration.intent,
                                    state_.configuration.revision, state_.servers,
                                    coordinator.releases);
  const std::optional<Ledger> next = reconciler.Reconcile(state_.ledger.ledger);
  if (next) Swap(*next);
}

bool Coordinator::CanOrder(const Permit& permit) const {
  const auto found = state_.servers.find(permit.home);
  if (found == state_.servers.end() || !found->second.report) return false;
  const ServerView& server = found->second;
  return server.report_received >= state_.coordinator.active_since &&
         server.report->incarnation == permit.incarnation;
}

bool Coordinator::IsLoaded(const Permit& permit) const {
  const auto server = state_.servers.find(permit.home);
  if (server == state_.servers.end()) return false;
  const ReplicaReport* replica = server->second.FindReplica(permit.key.servable);
  return replica != nullptr && replica->state != ReplicaState::kReleasing;
}

bool Coordinator::HasPending(OrderKind kind, const Permit& permit) const {
  for (const auto& [id, pending] : state_.coordinator.pending)
    if (pending.order.kind == kind && pending.order.server == permit.home &&
        pending.order.servable == permit.key.servable)
      return true;
  return false;
}

void Coordinator::SendOrderFor(OrderKind kind, const Permit& permit, const AdapterName& adapter,
                               MebiBytes memory, std::vector<AdapterName> evicted) {
  Order order;
  order.kind = kind;
  order.server = permit.home;
  order.incarnation = permit.incarnation;
  order.fence = state_.ledger.ledger.revision;
  order.servable = permit.key.servable;
  order.adapter = adapter;
  order.memory = kind == OrderKind::kLoad ? permit.memory : memory;
  order.evicted_adapters = std::move(evicted);
  order.id = OrderId(order, permit.key);
  const auto pending = state_.coordinator.pending.find(order.id);
  if (pending != state_.coordinator.pending.end() &&
      now_ - pending->second.sent < state_.settings.order_retry)
    return;
  if (state_.coordinator.recovering) {
    state_.coordinator.recovering = false;
    Log(LogSeverity::kInfo, "coordinator_first_order",
        {{"after_ms", std::to_string((now_ - state_.coordinator.active_since).count() / 1000)}});
  }
  state_.coordinator.pending[order.id] = {order, now_};
  effects_.push_back(SendOrder{std::move(order)});
}

MebiBytes Coordinator::FreeMemory(const ServerView& server) const {
  MebiBytes used = server.report->memory_used;
  for (const auto& [id, pending] : state_.coordinator.pending) {
    const Order& order = pending.order;
    const bool reserves = order.kind == OrderKind::kLoad && order.server == server.machine.name &&
                          server.FindReplica(order.servable) == nullptr;
    if (reserves) used += order.memory;
  }
  return used >= server.report->memory_total ? 0 : server.report->memory_total - used;
}

bool Coordinator::MakeRoom(const ServerView& server, MebiBytes memory, Priority priority) {
  MebiBytes free = FreeMemory(server);
  if (free >= memory) return true;
  struct Victim {
    bool less_urgent;
    Timestamp last_used;
    Permit permit;
  };
  std::vector<Victim> victims;
  for (const auto& [key, permit] : state_.ledger.ledger.permits) {
    if (permit.home != server.machine.name) continue;
    if (HasPending(OrderKind::kRelease, permit)) {
      free += permit.memory;
      continue;
    }
    const ReplicaReport* replica = server.FindReplica(key.servable);
    const bool ready = replica != nullptr && replica->state == ReplicaState::kReady;
    if (!ready || !CanOrder(permit)) continue;
    const ModelDemand& demand = state_.demand.models[key.servable.model];
    if (!IsIdle(demand, *replica)) continue;
    const auto model = state_.configuration.intent.models.find(key.servable.model);
    const bool less_urgent =
        model == state_.configuration.intent.models.end() || model->second.priority > priority;
    victims.push_back({less_urgent, demand.history.last_arrival, permit});
  }
  std::sort(victims.begin(), victims.end(), [](const Victim& left, const Victim& right) {
    if (left.less_urgent != right.less_urgent) return left.less_urgent;
    return left.last_used < right.last_used;
  });
  for (const Victim& victim : victims) {
    if (free >= memory) break;
    SendOrderFor(OrderKind::kRelease, victim.permit);
    free += victim.permit.memory;
  }
  return false;  // The load starts once the releases are acknowledged.
}

bool Coordinator::LoadOne(const ModelIntent& model, const Permit& permit) {
  const auto retry = state_.coordinator.retry_after.find(permit.key);
  if (retry != state_.coordinator.retry_after.end() && now_ < retry->second) return false;
  const ServerView& server = state_.servers.at(permit.home);
  if (server.Leaving() || server.FindReplica(permit.key.servable) != nullptr) return false;
  if (!MakeRoom(server, permit.memory, model.priority)) return true;
  SendOrderFor(OrderKind::kLoad, permit);
  return true;
}

void Coordinator::LoadReplicas(const ModelIntent& model, std::uint32_t missing) {
  std::vector<std::pair<bool, Permit>> candidates;  // Permits that fit immediately come first.
  ForEachPermit(state_.ledger.ledger, {model.name, model.version}, [&](const Permit& permit) {
    if (permit.phase != PermitPhase::kHeld || !CanOrder(permit) || IsLoaded(permit)) return;
    if (HasPending(OrderKind::kLoad, permit)) return;
    const bool fits = FreeMemory(state_.servers.at(permit.home)) >= permit.memory;
    candidates.emplace_back(!fits, permit);
  });
  std::sort(candidates.begin(), candidates.end());
  for (const auto& [must_wait, permit] : candidates) {
    if (missing == 0) return;
    if (LoadOne(model, permit)) --missing;
  }
}

void Coordinator::ReleaseIdle(const ModelIntent& model, const ModelDemand& demand,
                              std::uint32_t loaded, std::uint32_t wanted) {
  std::vector<Permit> releasable;
  ForEachPermit(state_.ledger.ledger, {model.name, model.version}, [&](const Permit& permit) {
    const auto server = state_.servers.find(permit.home);
    if (server == state_.servers.end() || !CanOrder(permit)) return;
    const ReplicaReport* replica = server->second.FindReplica(permit.key.servable);
    const bool ready = replica != nullptr && replica->state == ReplicaState::kReady;
    if (ready && replica->running == 0 && replica->queued == 0) releasable.push_back(permit);
  });
  while (loaded > wanted && !releasable.empty()) {
    const std::uint32_t level = loaded - 1;
    const Timestamp needed =
        level < demand.last_needed.size() ? demand.last_needed[level] : state_.started;
    const Timestamp since = std::max(needed, state_.coordinator.active_since);
    if (now_ - since < state_.policy->KeepAlive(model, demand, level, now_)) return;
    SendOrderFor(OrderKind::kRelease, releasable.back());
    releasable.pop_back();
    --loaded;
  }
}

void Coordinator::LoadAdapters(const ModelIntent& model, const ModelDemand& demand) {
  for (const AdapterName& adapter : WaitingAdapters(demand)) {
    const AdapterIntent* declared = model.FindAdapter(adapter);
    if (declared == nullptr) continue;
    ForEachPermit(state_.ledger.ledger, {model.name, model.version}, [&](const Permit& permit) {
      if (permit.phase != PermitPhase::kHeld || !CanOrder(permit)) return;
      const ReplicaReport* replica =
          state_.servers.at(permit.home).FindReplica(permit.key.servable);
      if (replica == nullptr || replica->state != ReplicaState::kReady) return;
      const std::vector<AdapterName>& present = replica->adapters;
      if (std::find(present.begin(), present.end(), adapter) != present.end()) return;
      MebiBytes used = declared->memory;
      std::vector<AdapterName> evicted;
      for (const AdapterName& other : present)
        if (const AdapterIntent* intent = model.FindAdapter(other)) used += intent->memory;
      for (const AdapterName& other : present) {  // In order of last use, oldest first.
        if (used <= model.adapter_memory) break;
        const AdapterIntent* intent = model.FindAdapter(other);
        used -= intent == nullptr ? 0 : intent->memory;
        evicted.push_back(other);
      }
      SendOrderFor(OrderKind::kLoadAdapter, permit, adapter, declared->memory, evicted);
    });
  }
}

void Coordinator::PlanModel(const ModelIntent& model, ModelDemand& demand) {
  ExpireSamples(demand, now_, state_.settings.demand_expiry);
  std::uint32_t permits = 0;
  std::uint32_t loaded = 0;
  ForEachPermit(state_.ledger.ledger, {model.name, model.version}, [&](const Permit& permit) {
    ++permits;
    if (IsLoaded(permit) || HasPending(OrderKind::kLoad, permit)) ++loaded;
  });
  if (permits == 0) return;
  const std::uint32_t needed = std::min(permits, ReplicasNeeded(model, Concurrency(demand)));
  if (demand.last_needed.size() < needed) demand.last_needed.resize(needed);
  for (std::uint32_t level = 0; level < needed; ++level) demand.last_needed[level] = now_;
  const bool hold = needed == 0 && state_.policy->HoldAhead(model, demand, now_);
  const std::uint32_t wanted = std::max(needed, hold ? 1U : 0U);
  if (wanted > loaded) LoadReplicas(model, wanted - loaded);
  if (loaded > wanted) ReleaseIdle(model, demand, loaded, wanted);
  if (Waiting(demand) > 0) LoadAdapters(model, demand);
}

void Coordinator::ReleaseMovingPermits() {
  for (const auto& [key, permit] : state_.ledger.ledger.permits) {
    if (permit.phase != PermitPhase::kMoving || !CanOrder(permit)) continue;
    const auto proven = state_.coordinator.releases.find(key);
    if (proven != state_.coordinator.releases.end() && proven->second >= permit.since) continue;
    SendOrderFor(OrderKind::kRelease, permit);
  }
}

void Coordinator::PlanOrders() {
  CoordinatorState& coordinator = state_.coordinator;
  if (!coordinator.active || state_.ledger.ledger.revision == 0) return;
  std::erase_if(coordinator.pending,
                [&](const auto& entry) { return now_ - entry.second.sent >= kOrderForgotten; });
  if (Leads()) ReleaseMovingPermits();
  const std::set<ModelName> busy = BusyModels();
  for (const auto& [name, model] : state_.configuration.intent.models) {
    ModelDemand& demand = state_.demand.models[name];
    const bool quiet = demand.routers.empty() && !busy.contains(name);
    if (!quiet || state_.policy->HoldAhead(model, demand, now_)) PlanModel(model, demand);
  }
}

/// Models that are loaded or loading somewhere. Other models need no decision without demand.
std::set<ModelName> Coordinator::BusyModels() const {
  std::set<ModelName> busy;
  for (const auto& [name, server] : state_.servers)
    if (server.report)
      for (const ReplicaReport& replica : server.report->replicas)
        busy.insert(replica.servable.model);
  for (const auto& [id, pending] : state_.coordinator.pending)
    busy.insert(pending.order.servable.model);
  return busy;
}

void Coordinator::OnServerReported(const ServerName& server) {
  std::erase_if(state_.coordinator.pending, [&](const auto& entry) {
    const PendingOrder& pending = entry.second;
    return pending.unanswered && pending.order.server == server &&
           now_ - pending.sent >= state_.settings.order_retry;
  });
}

void Coordinator::OnOrderFinished(const OrderFinished& finished) {
  CoordinatorState& coordinator = state_.coordinator;
  const Order& order = finished.order;
  const auto pending = coordinator.pending.find(order.id);
  const Timestamp sent = pending == coordinator.pending.end() ? now_ : pending->second.sent;
  if (pending != coordinator.pending.end()) {
    if (finished.outcome == OrderOutcome::kUnknown)
      pending->second = {order, now_, true};
    else
      coordinator.pending.erase(pending);
  }
  Log(finished.outcome == OrderOutcome::kDone ? LogSeverity::kInfo : LogSeverity::kWarning,
      "order_finished",
      {{"order", order.id},
       {"server", order.server},
       {"outcome", ToString(finished.outcome)},
       {"after_ms", std::to_string((now_ - sent).count() / 1000)}});
  for (const auto& [key, permit] : state_.ledger.ledger.permits) {
    if (permit.home != order.server || key.servable != order.servable) continue;
    if (finished.outcome != OrderOutcome::kDone) {
      coordinator.retry_after[key] = now_ + state_.settings.order_retry;
      continue;
    }
    const bool proves = order.kind == OrderKind::kRelease && permit.phase == PermitPhase::kMoving &&
                        order.fence >= permit.since && order.incarnation == permit.incarnation;
    if (proves) coordinator.releases[key] = order.fence;
  }
  coordinator.placement_dirty = true;
  if (finished.outcome == OrderOutcome::kStaleFence) effects_.push_back(ReadLedger{});
  if (order.kind != OrderKind::kLoad || finished.outcome != OrderOutcome::kDone) return;
  constexpr double kNewestWeight = 0.3;
  Duration& average = state_.demand.models[order.servable.model].load_time;
  const double newest = ToSeconds(now_ - sent);
  average = average == Duration{0}
                ? FromSeconds(newest)
                : FromSeconds(ToSeconds(average) * (1 - kNewestWeight) + newest * kNewestWeight);
}

}  // namespace moorfold
