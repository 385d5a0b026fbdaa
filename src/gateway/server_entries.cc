#include "gateway/server_entries.h"

#include <algorithm>

#include "relay/change_answer.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kGrace{2'000};
/// Longer than a heartbeat, well below the bound within which no more may be sent to a lost server.
constexpr milliseconds kRemovalGrace{1'400};
/// Longer than three heartbeats, after which the store takes the entry of a silent server away.
constexpr milliseconds kDoubt{5'000};
/// Copies are some seconds old: what went longer ago stands in none.
constexpr std::chrono::seconds kDepartedKept{60};
/// More than leave within that time where 2,400 servers are replaced within the hour.
constexpr std::size_t kMostDeparted = 1'024;

}  // namespace

ServerEntries::ServerEntries(boost::asio::io_context& context, FleetView& view,
                             GatewayMetrics& metrics, EventLog& log, ChangeLog& changes)
    : view_(view), metrics_(metrics), log_(log), changes_(changes), timer_(context) {}

void ServerEntries::BeginGrace() { grace_began_ = BootClock::now(); }

void ServerEntries::Put(ServerRecord record, StoreRevision revision, bool listed_from_copy) {
  if (IsEarlierLife(record, revision)) return;
  if (listed_from_copy && Doubt(record, revision)) return;
  doubted_.erase(record.id);
  KeepLeaving(record, revision);
  const ServerPtr known = view_.servers.Find(record.id);
  const bool restarted = known != nullptr && IsLaterLife(record.life, known->record().life);
  if (known == nullptr || restarted || known->record().draining != record.draining)
    LogServer(record, revision);
  const bool back = removals_.erase(record.id) > 0;
  if (known == nullptr || back || !SameForRequests(known->record(), record))
    changes_.Note(record.id, revision, false);
  const std::string id = record.id;
  const Departed* departed = known == nullptr ? FindDeparted(record) : nullptr;
  view_.servers.Put(std::move(record), BootClock::now());
  if (departed != nullptr) view_.servers.Find(id)->Restore(departed->standing);
  if (!restarted) return;
  ++metrics_.servers_restarted;
  if (restarted_) restarted_(id);
}

bool ServerEntries::IsEarlierLife(const ServerRecord& record, StoreRevision revision) {
  const ServerPtr known = view_.servers.Find(record.id);
  if (known == nullptr || !IsLaterLife(known->record().life, record.life)) return false;
  ++metrics_.previous_run_entries_ignored;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kEarlierLife)
                                     .Field(LogField::kServer, record.id)
                                     .Field(LogField::kLife, record.life)
                                     .Field(LogField::kBefore, known->record().life)
                                     .Field(LogField::kRevision, ToString(revision)));
  return true;
}

const ServerEntries::Departed* ServerEntries::FindDeparted(const ServerRecord& record) const {
  const auto found = departed_.find(record.id);
  if (found == departed_.end() || IsLaterLife(record.life, found->second.life)) return nullptr;
  const bool kept = BootClock::now() - found->second.at < kDepartedKept;
  return kept ? &found->second : nullptr;
}

bool ServerEntries::Doubt(const ServerRecord& record, StoreRevision revision) {
  if (view_.servers.Find(record.id) != nullptr || FindDeparted(record) == nullptr) return false;
  doubted_[record.id] = {record, revision, BootClock::now() + kDoubt};
  ++metrics_.restored_entries_deferred;
  ActWhenDue();
  return true;
}

void ServerEntries::KeepLeaving(ServerRecord& record, StoreRevision revision) {
  if (record.draining) return;
  const ServerPtr known = view_.servers.Find(record.id);
  const Departed* departed = known == nullptr ? FindDeparted(record) : nullptr;
  const bool left_before = departed != nullptr && departed->leaving;
  const bool leaves =
      known != nullptr && known->SaysItLeaves() && !IsLaterLife(record.life, known->record().life);
  if (!leaves && !left_before) return;
  record.draining = true;
  ++metrics_.stale_ready_states_overridden;
  // Its entry may call it ready with each heartbeat until the store is back.
  if (known != nullptr && known->standing().leaving && known->record().draining) return;
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
                 .Field(LogField::kState, record.draining ? "draining" : "ready")
                 .Field(LogField::kLife, record.life)
                 .Field(LogField::kModels, record.models.size())
                 .Field(LogField::kRevision, ToString(revision)));
}

void ServerEntries::TakeRemoval(const std::string& id, StoreRevision revision) {
  changes_.Note(id, revision, true);
  if (BootClock::now() - grace_began_ < kGrace)
    RemoveLater(id);
  else
    Remove(id, revision);
}

void ServerEntries::TakeUnreadable(const std::string& id, StoreRevision revision) {
  changes_.Note(id, revision, true);
  Remove(id, revision);
}

void ServerEntries::RemoveMissing(const std::unordered_set<std::string>& listed,
                                  StoreRevision revision) {
  std::vector<std::string> missing;
  for (const auto& [id, server] : view_.servers.all())
    if (!listed.contains(id) && !removals_.contains(id)) missing.push_back(id);
  for (const std::string& id : missing) TakeRemoval(id, revision);
  std::erase_if(doubted_, [&](const auto& doubted) { return !listed.contains(doubted.first); });
}

void ServerEntries::Remove(const std::string& id, StoreRevision revision) {
  removals_.erase(id);
  doubted_.erase(id);
  const ServerPtr known = view_.servers.Find(id);
  if (known == nullptr) return;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kServerGone)
                                     .Field(LogField::kServer, id)
                                     .Field(LogField::kRevision, ToString(revision)));
  NoteDeparted(*known);
  view_.servers.Remove(id);
}

void ServerEntries::NoteDeparted(const Server& server) {
  const ServerRecord& record = server.record();
  const SteadyTime now = BootClock::now();
  std::erase_if(departed_,
                [&](const auto& departed) { return now - departed.second.at >= kDepartedKept; });
  if (departed_.size() >= kMostDeparted) departed_.erase(departed_.begin());
  departed_[record.id] = {record.life, server.SaysItLeaves(), server.standing(), now};
}

void ServerEntries::RemoveLater(const std::string& id) {
  if (removals_.try_emplace(id, BootClock::now() + kRemovalGrace).second) ActWhenDue();
}

void ServerEntries::ActWhenDue() {
  SteadyTime earliest = SteadyTime::max();
  for (const auto& [id, time] : removals_) earliest = std::min(earliest, time);
  for (const auto& [id, doubted] : doubted_) earliest = std::min(earliest, doubted.until);
  if (earliest == SteadyTime::max()) return;
  timer_.expires_at(earliest);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) ActOnDue();
  });
}

void ServerEntries::ActOnDue() {
  const SteadyTime now = BootClock::now();
  std::vector<std::string> gone;
  for (const auto& [id, time] : removals_)
    if (time <= now) gone.push_back(id);
  for (const std::string& id : gone) Remove(id, {});
  std::vector<Doubted> believed;
  for (const auto& [id, doubted] : doubted_)
    if (doubted.until <= now) believed.push_back(doubted);
  for (Doubted& doubted : believed) Put(std::move(doubted.record), doubted.revision);
  if (!believed.empty()) view_.changed.NotifyAll();
  ActWhenDue();
}

}  // namespace moorfold
