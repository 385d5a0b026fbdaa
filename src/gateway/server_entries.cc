#include "gateway/server_entries.h"

#include <algorithm>

#include "relay/change_answer.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGracePeriod{2'000};
/// Longer than a heartbeat, and well below the bound after which a lost server must not receive any
/// more requests.
constexpr milliseconds kRemovalDelay{1'400};
/// Longer than three heartbeats, after which the store removes the entry of a silent server.
constexpr milliseconds kRestoredEntryDelay{5'000};
/// Copies of the store are a few seconds old, so none contains a server that was removed longer ago
/// than this.
constexpr std::chrono::seconds kRemovedServerRetention{60};
/// More than the number of servers that leave within kRemovedServerRetention when 2,400 servers are
/// replaced within an hour.
constexpr std::size_t kMaxRemovedServers = 1'024;

}  // namespace

ServerEntries::ServerEntries(boost::asio::io_context& context, FleetView& view,
                             GatewayMetrics& metrics, EventLog& log, ChangeLog& changes)
    : view_(view), metrics_(metrics), log_(log), changes_(changes), timer_(context) {}

void ServerEntries::BeginGracePeriod() { grace_began_ = BootClock::now(); }

void ServerEntries::Put(ServerRecord record, StoreRevision revision, bool from_restored_store) {
  if (IsEarlierIncarnation(record, revision)) return;
  if (from_restored_store && DeferIfRestored(record, revision)) return;
  deferred_.erase(record.id);
  PreserveLeaving(record, revision);
  const ServerPtr known = view_.servers.Find(record.id);
  const bool restarted =
      known != nullptr && IsLaterIncarnation(record.incarnation, known->record().incarnation);
  const bool changed_in_place =
      known != nullptr && (known->record().service != record.service ||
                           known->record().software_version != record.software_version);
  if (known == nullptr || restarted || changed_in_place ||
      known->record().draining != record.draining)
    LogServer(record, revision);
  const bool reappeared = pending_removals_.erase(record.id) > 0;
  if (known == nullptr || reappeared || !EqualForRouting(known->record(), record))
    changes_.Note(record.id, revision, false);
  const std::string id = record.id;
  const RemovedServer* removed = known == nullptr ? FindRemoved(record) : nullptr;
  view_.servers.Put(std::move(record), BootClock::now());
  if (removed != nullptr) view_.servers.Find(id)->Restore(removed->advisory_state);
  if (!restarted) return;
  ++metrics_.servers_restarted;
  if (restart_handler_) restart_handler_(id);
}

bool ServerEntries::IsEarlierIncarnation(const ServerRecord& record, StoreRevision revision) {
  const ServerPtr known = view_.servers.Find(record.id);
  if (known == nullptr || !IsLaterIncarnation(known->record().incarnation, record.incarnation))
    return false;
  ++metrics_.previous_run_entries_ignored;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kEarlierLife)
                                     .Field(LogField::kServer, record.id)
                                     .Field(LogField::kLife, record.incarnation)
                                     .Field(LogField::kBefore, known->record().incarnation)
                                     .Field(LogField::kRevision, ToString(revision)));
  return true;
}

const ServerEntries::RemovedServer* ServerEntries::FindRemoved(const ServerRecord& record) const {
  const auto found = removed_servers_.find(record.id);
  if (found == removed_servers_.end() ||
      IsLaterIncarnation(record.incarnation, found->second.incarnation))
    return nullptr;
  const bool is_retained = BootClock::now() - found->second.at < kRemovedServerRetention;
  return is_retained ? &found->second : nullptr;
}

bool ServerEntries::DeferIfRestored(const ServerRecord& record, StoreRevision revision) {
  if (view_.servers.Find(record.id) != nullptr || FindRemoved(record) == nullptr) return false;
  deferred_[record.id] = {record, revision, BootClock::now() + kRestoredEntryDelay};
  ++metrics_.restored_entries_deferred;
  ScheduleTimer();
  return true;
}

void ServerEntries::PreserveLeaving(ServerRecord& record, StoreRevision revision) {
  if (record.draining) return;
  const ServerPtr known = view_.servers.Find(record.id);
  const RemovedServer* removed = known == nullptr ? FindRemoved(record) : nullptr;
  const bool left_before_removal = removed != nullptr && removed->leaving;
  const bool leaves = known != nullptr && known->ReportsLeaving() &&
                      !IsLaterIncarnation(record.incarnation, known->record().incarnation);
  if (!leaves && !left_before_removal) return;
  record.draining = true;
  ++metrics_.stale_ready_states_overridden;
  // Logged once: the entry may state "ready" with each heartbeat until the store is reachable
  // again.
  if (known != nullptr && known->advisory_state().leaving && known->record().draining) return;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kServerStillLeaves)
                                     .Field(LogField::kServer, record.id)
                                     .Field(LogField::kRevision, ToString(revision)));
}

void ServerEntries::LogServer(const ServerRecord& record, StoreRevision revision) {
  log_.Write(LogRank::kDecision,
             EventLine(LogEvent::kServer)
                 .Field(LogField::kServer, record.id)
                 .Field(LogField::kService, record.service)
                 .Field(LogField::kAddress, ToString(record.endpoint))
                 .Field(LogField::kSoftwareVersion, record.software_version)
                 .Field(LogField::kState, record.draining ? "draining" : "ready")
                 .Field(LogField::kLife, record.incarnation)
                 .Field(LogField::kModels, record.models.size())
                 .Field(LogField::kRevision, ToString(revision)));
}

void ServerEntries::ApplyRemoval(const std::string& id, StoreRevision revision) {
  changes_.Note(id, revision, true);
  if (BootClock::now() - grace_began_ < kGracePeriod)
    ScheduleRemoval(id);
  else
    Remove(id, revision);
}

void ServerEntries::ApplyUnreadable(const std::string& id, StoreRevision revision) {
  changes_.Note(id, revision, true);
  Remove(id, revision);
}

void ServerEntries::RemoveMissing(const std::unordered_set<std::string>& listed,
                                  StoreRevision revision) {
  std::vector<std::string> missing;
  for (const auto& [id, server] : view_.servers.all())
    if (!listed.contains(id) && !pending_removals_.contains(id)) missing.push_back(id);
  for (const std::string& id : missing) ApplyRemoval(id, revision);
  std::erase_if(deferred_, [&](const auto& deferred) { return !listed.contains(deferred.first); });
}

void ServerEntries::Remove(const std::string& id, StoreRevision revision) {
  pending_removals_.erase(id);
  deferred_.erase(id);
  const ServerPtr known = view_.servers.Find(id);
  if (known == nullptr) return;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kServerGone)
                                     .Field(LogField::kServer, id)
                                     .Field(LogField::kRevision, ToString(revision)));
  RecordRemoved(*known);
  view_.servers.Remove(id);
}

void ServerEntries::RecordRemoved(const Server& server) {
  const ServerRecord& record = server.record();
  const SteadyTime now = BootClock::now();
  std::erase_if(removed_servers_, [&](const auto& removed) {
    return now - removed.second.at >= kRemovedServerRetention;
  });
  if (removed_servers_.size() >= kMaxRemovedServers)
    removed_servers_.erase(removed_servers_.begin());
  removed_servers_[record.id] = {record.incarnation, server.ReportsLeaving(),
                                 server.advisory_state(), now};
}

void ServerEntries::ScheduleRemoval(const std::string& id) {
  if (pending_removals_.try_emplace(id, BootClock::now() + kRemovalDelay).second) ScheduleTimer();
}

void ServerEntries::ScheduleTimer() {
  SteadyTime earliest = SteadyTime::max();
  for (const auto& [id, time] : pending_removals_) earliest = std::min(earliest, time);
  for (const auto& [id, deferred] : deferred_) earliest = std::min(earliest, deferred.until);
  if (earliest == SteadyTime::max()) return;
  timer_.expires_at(earliest);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) OnTimer();
  });
}

void ServerEntries::OnTimer() {
  const SteadyTime now = BootClock::now();
  std::vector<std::string> gone;
  for (const auto& [id, time] : pending_removals_)
    if (time <= now) gone.push_back(id);
  for (const std::string& id : gone) Remove(id, {});
  std::vector<DeferredEntry> due;
  for (const auto& [id, deferred] : deferred_)
    if (deferred.until <= now) due.push_back(deferred);
  for (DeferredEntry& deferred : due) Put(std::move(deferred.record), deferred.revision);
  if (!due.empty()) view_.changed.NotifyAll();
  ScheduleTimer();
}

}  // namespace moorfold
