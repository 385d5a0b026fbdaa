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

/// Decides how the servers' entries in the store affect the server directory. A server is used from
/// the time its entry appears until the entry states that it is leaving or is removed.
///
/// - A server that has stated that it is leaving is not used again in the same incarnation,
///   whatever its entry states later: a store restored from an older copy shows outdated entries.
/// - Entries expire during an outage of the store, and a restored copy lacks the newest ones.
///   Servers whose entries are missing then stay in use for a short time so that they can write
///   them again.
/// - An entry that had been removed and reappears in a restored copy does not prove that its server
///   is running. The server is used once the entry has outlasted the time after which the store
///   removes the entries of silent servers.
///
/// Updates the ServerDirectory of a FleetView and records changes for relaying. Not thread-safe.
class ServerEntries {
 public:
  /// Called for a server whose process has restarted under the same id.
  using RestartHandler = std::function<void(const std::string& id)>;

  ServerEntries(boost::asio::io_context& context, FleetView& view, GatewayMetrics& metrics,
                EventLog& log, ChangeLog& changes);

  void OnRestart(RestartHandler handler) { restart_handler_ = std::move(handler); }

  /// Applies an entry of the store.
  /// @param from_restored_store whether the entry comes from the first listing of a store that was
  /// restored from a copy.
  void Put(ServerRecord record, StoreRevision revision, bool from_restored_store = false);
  /// Applies the removal of an entry.
  void ApplyRemoval(const std::string& id, StoreRevision revision);
  /// Applies an entry that cannot be parsed; its server is removed.
  void ApplyUnreadable(const std::string& id, StoreRevision revision);
  /// Removes the servers that are missing from a complete listing as of `revision`.
  void RemoveMissing(const std::unordered_set<std::string>& listed, StoreRevision revision);
  /// Begins a grace period in which the entries of running servers may be missing from the store.
  void BeginGracePeriod();

 private:
  struct RemovedServer {
    std::int64_t incarnation = 0;
    bool leaving = false;  ///< The server had stated that it was leaving.
    ServerAdvisoryState advisory_state;
    SteadyTime at{};
  };
  /// An entry of a restored copy that is not applied yet.
  struct DeferredEntry {
    ServerRecord record;
    StoreRevision revision;
    SteadyTime until{};
  };

  /// @return whether the record is of an earlier incarnation; it is then counted and logged.
  bool IsEarlierIncarnation(const ServerRecord& record, StoreRevision revision);
  /// Marks the record as leaving where the same incarnation was leaving before.
  void PreserveLeaving(ServerRecord& record, StoreRevision revision);
  /// Defers an entry of a restored copy whose server was removed before.
  /// @return whether it was deferred.
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
  /// Servers whose entries went missing during a grace period, with the time of their removal.
  std::map<std::string, SteadyTime> pending_removals_;
  std::map<std::string, DeferredEntry> deferred_;
  std::map<std::string, RemovedServer> removed_servers_;
  BootTimer timer_;
};

}  // namespace moorfold
