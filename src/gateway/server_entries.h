#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "relay/change_log.h"

namespace moorfold {

/// What of the servers' entries in the store is believed: a server is used from its entry on, and
/// until the entry says that it leaves or is gone.
///
/// - A server that has said that it leaves is not used again in that life, whatever its entry says
///   later: a store that comes back from an older copy shows what was.
/// - Entries lapse while the store is away, and a copy lacks the newest: what is missing then is
///   given a moment to be written again.
/// - An entry that had gone and stands in a copy again proves no living server. It is used once it
///   has outlasted the silence after which the store takes entries away.
///
/// Keeps the directory of a FleetView and notes changes for relaying. One thread.
class ServerEntries {
 public:
  /// Hears of a server whose process has started again under its id.
  using RestartHandler = std::function<void(const std::string& id)>;

  ServerEntries(boost::asio::io_context& context, FleetView& view, GatewayMetrics& metrics,
                EventLog& log, ChangeLog& changes);

  void OnRestart(RestartHandler handler) { restart_handler_ = std::move(handler); }

  /// The store has this entry.
  /// @param from_restored_store it stands in the first listing of a store that came back from a
  /// copy.
  void Put(ServerRecord record, StoreRevision revision, bool from_restored_store = false);
  /// The entry is gone.
  void ApplyRemoval(const std::string& id, StoreRevision revision);
  /// The entry names no server that could be used.
  void ApplyUnreadable(const std::string& id, StoreRevision revision);
  /// A listing as of `revision` holds these entries and no others.
  void RemoveMissing(const std::unordered_set<std::string>& listed, StoreRevision revision);
  /// From now on, and for a moment, entries may be missing of servers that live.
  void BeginGracePeriod();

 private:
  struct RemovedServer {
    std::int64_t life = 0;
    bool leaving = false;  ///< It had said so.
    ServerStanding standing;
    SteadyTime at{};
  };
  /// An entry of a copy that is not believed yet.
  struct DeferredEntry {
    ServerRecord record;
    StoreRevision revision;
    SteadyTime until{};
  };

  bool IsEarlierLife(const ServerRecord& record, StoreRevision revision);
  /// Takes what was known of the same life before into account.
  void PreserveLeaving(ServerRecord& record, StoreRevision revision);
  bool DeferIfRestored(const ServerRecord& record, StoreRevision revision);
  const RemovedServer* FindRemoved(const ServerRecord& record) const;
  void Remove(const std::string& id, StoreRevision revision);
  void ScheduleRemoval(const std::string& id);
  void RecordRemoved(const Server& server);
  void ScheduleTimer();
  void OnTimer();
  void LogServer(const ServerRecord& record, StoreRevision revision);

  FleetView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  ChangeLog& changes_;
  RestartHandler restart_handler_;
  SteadyTime grace_began_{};
  /// Servers whose entries were missing in a time of grace, with the time of their removal.
  std::map<std::string, SteadyTime> pending_removals_;
  std::map<std::string, DeferredEntry> deferred_;
  std::map<std::string, RemovedServer> removed_servers_;
  BootTimer timer_;
};

}  // namespace moorfold
