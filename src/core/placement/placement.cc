#include "core/placement/placement.h"

#include <algorithm>
#include <tuple>

namespace moorfold {

const ReplicaReport* ServerView::FindReplica(const ModelVersion& servable) const {
  if (!report) return nullptr;
  for (const ReplicaReport& replica : report->replicas)
    if (replica.servable == servable) return &replica;
  return nullptr;
}

bool IncarnationGone(const Permit& permit, const ServerViews& servers) {
  const auto found = servers.find(permit.home);
  if (found == servers.end() || !found->second.listed) return true;
  const ServerView& server = found->second;
  return server.report && server.report->incarnation > permit.incarnation;
}

std::uint32_t LedgerReconciler::Quota(const ModelVersion& servable) const {
  const auto model = intent_.models.find(servable.model);
  if (model == intent_.models.end() || model->second.version != servable.version) return 0;
  const auto quota = model->second.replicas.find(zone_);
  return quota == model->second.replicas.end() ? 0 : quota->second;
}

/// An old version keeps its permits while it is loaded and the new one is not ready, so that a
/// version change causes no cold starts.
bool LedgerReconciler::OldVersionStillServes(const Permit& permit) const {
  const auto model = intent_.models.find(permit.key.servable.model);
  if (model == intent_.models.end()) return false;
  if (model->second.version == permit.key.servable.version) return false;
  if (!model->second.replicas.contains(zone_)) return false;
  const auto home = servers_.find(permit.home);
  if (home == servers_.end() || IncarnationGone(permit, servers_) || home->second.Leaving())
    return false;
  const ReplicaReport* old_replica = home->second.FindReplica(permit.key.servable);
  if (old_replica == nullptr || old_replica->state != ReplicaState::kReady) return false;
  const ModelVersion successor{permit.key.servable.model, model->second.version};
  const auto is_ready = [&](const auto& entry) {
    const ReplicaReport* replica = entry.second.FindReplica(successor);
    return replica != nullptr && replica->state == ReplicaState::kReady;
  };
  return std::none_of(servers_.begin(), servers_.end(), is_ready);
}

std::optional<ServerName> LedgerReconciler::ChooseHome(const Ledger& ledger, const PermitKey& key,
                                                       MebiBytes memory) const {
  std::map<ServerName, MebiBytes> homed;
  std::set<ServerName> taken;  // A server holds at most one permit per model version.
  for (const auto& [other_key, permit] : ledger.permits) {
    homed[permit.home] += permit.memory;
    if (other_key.servable == key.servable) taken.insert(permit.home);
  }
  using Rank = std::tuple<double, bool, ServerName>;
  std::optional<Rank> best;
  for (const auto& [name, server] : servers_) {
    const bool usable = server.listed && server.report && !server.Leaving() &&
                        server.report->memory_total >= memory && !taken.contains(name);
    if (!usable) continue;
    const std::vector<ModelName>& cached = server.report->cached_on_disk;
    const bool on_disk =
        std::find(cached.begin(), cached.end(), key.servable.model) != cached.end();
    const double pressure = static_cast<double>(homed[name] + memory) /
                            static_cast<double>(server.report->memory_total);
    // A cached checkpoint outweighs a third of a server's memory in use.
    constexpr double kCacheWorth = 0.33;
    const Rank rank{pressure - (on_disk ? kCacheWorth : 0.0), !on_disk, name};
    if (!best || rank < *best) best = rank;
  }
  if (!best) return std::nullopt;
  return std::get<ServerName>(*best);
}

bool LedgerReconciler::AssignHome(const Ledger& ledger, Permit& permit) const {
  const std::optional<ServerName> home = ChooseHome(ledger, permit.key, permit.memory);
  if (!home) return false;
  permit.home = *home;
  permit.incarnation = servers_.at(*home).report->incarnation;
  permit.phase = PermitPhase::kHeld;
  permit.since = ledger.revision;
  return true;
}

void LedgerReconciler::FinishMove(Ledger& next, const Permit& moving) const {
  const auto release = releases_.find(moving.key);
  const bool released = release != releases_.end() && release->second >= moving.since;
  if (!released && !IncarnationGone(moving, servers_)) return;
  Permit permit = moving;
  next.permits.erase(moving.key);  // Its previous server may be chosen again.
  if (permit.key.index >= Quota(permit.key.servable)) return;
  // If no server has room now, the permit is dropped; AddMissing retries at the next change.
  if (AssignHome(next, permit)) next.permits[permit.key] = permit;
}

void LedgerReconciler::UpdateHeld(Ledger& next, Permit& permit) const {
  const bool surplus = permit.key.index >= Quota(permit.key.servable);
  const auto home = servers_.find(permit.home);
  const bool home_usable = home != servers_.end() && home->second.listed && !home->second.Leaving();
  if (surplus ? !OldVersionStillServes(permit) : !home_usable) {
    permit.phase = PermitPhase::kMoving;
    permit.since = next.revision;
    return;
  }
  if (!home_usable || !home->second.report) return;
  const Incarnation now_running = home->second.report->incarnation;
  if (now_running <= permit.incarnation) return;
  permit.incarnation =
      now_running;  // The previous incarnation lost its memory, so admit the new one.
  permit.since = next.revision;
}

void LedgerReconciler::AddMissing(Ledger& next) const {
  for (const auto& [name, model] : intent_.models) {
    const ModelVersion servable{name, model.version};
    const std::uint32_t quota = Quota(servable);
    for (std::uint32_t index = 0; index < quota; ++index) {
      Permit permit;
      permit.key = {servable, index};
      permit.memory = model.ReplicaMemory();
      if (next.permits.contains(permit.key)) continue;
      if (AssignHome(next, permit)) next.permits[permit.key] = permit;
    }
  }
}

std::optional<Ledger> LedgerReconciler::Reconcile(const Ledger& current) const {
  if (configuration_revision_ == 0) return std::nullopt;
  if (current.configuration_revision > configuration_revision_) return std::nullopt;
  Ledger next = current;
  next.revision = current.revision + 1;
  next.configuration_revision = configuration_revision_;
  for (const auto& [key, permit] : current.permits) {
    if (permit.phase == PermitPhase::kMoving)
      FinishMove(next, permit);
    else
      UpdateHeld(next, next.permits.at(key));
  }
  AddMissing(next);
  const bool same = next.permits == current.permits &&
                    next.configuration_revision == current.configuration_revision;
  if (same) return std::nullopt;
  return next;
}

}  // namespace moorfold
