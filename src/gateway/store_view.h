#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/internal_keys.h"
#include "gateway/server_entries.h"
#include "ports/fleet_protocol.h"
#include "ports/key_value_store.h"
#include "relay/change_log.h"
#include "relay/configuration_reader.h"
#include "relay/follow_state.h"
#include "relay/relay_messages.h"
#include "relay/snapshot_reader.h"

namespace moorfold {

/// Keeps a FleetView up to date from listings of the store, from short reads of recent changes, and
/// from changes that the leader or a relay forwards (relay/follow_state.h decides which source is
/// used when).
/// While the store is unreachable, the view keeps everything that it knows. A configuration is
/// applied only with a higher version and a key only with a higher revision, so the view never goes
/// back; a revision of a later era is higher than any of an earlier one (see
/// ports/store_revision.h). Not thread-safe.
class StoreView {
 public:
  using ConfigurationHandler = std::function<void(const RoutingConfiguration&)>;

  StoreView(boost::asio::io_context& context, KeyValueStore& store, const FleetProtocol& protocol,
            FleetView& view, GatewayMetrics& metrics, EventLog& log, follow::Settings settings);

  /// Subscribes to a first internal key and begins to read the store.
  /// @param internal_key the key of moorfold itself whose changes are passed to
  /// `internal_key_changed`.
  void Start(std::string internal_key, InternalKeys::Handler internal_key_changed,
             ConfigurationHandler configured);

  /// Subscribes to a further internal key. @pre Start was not called yet.
  void Subscribe(std::string internal_key, InternalKeys::Handler changed) {
    internal_keys_.Subscribe(std::move(internal_key), std::move(changed));
  }

  /// Sets the handler for restarted servers. @pre Start was not called yet.
  void OnRestart(ServerEntries::RestartHandler handler) { servers_.OnRestart(std::move(handler)); }

  /// Sets whether other daemons follow this one, which then reads the store more often.
  void SetWatching(bool watches);
  /// @return the question for the watching daemon; nothing before the store was listed.
  std::optional<ChangeRequest> MakeChangeQuestion() const;
  /// @return the answer to the question of a follower.
  /// @param daemons number of daemons in the fleet, as far as known. @pre this daemon watches the
  /// store.
  /// @param parts whether the asking daemon accepts a part of the changes.
  ChangeAnswer MakeChangeAnswer(const ChangeRequest& question, std::uint32_t daemons,
                                bool parts) const;
  /// Records an era of the store that another store call or another daemon reported.
  void ObserveEra(std::int64_t era);
  /// Applies the answer of a watching daemon.
  void TakeAnswer(const ChangeAnswer& answer);

  /// Sets whether other daemons send their questions to this one although it does not watch the
  /// store itself.
  void SetServing(bool serves) { serves_ = serves; }
  /// Sets whether there are relays that this daemon can ask; unknown before the first call.
  void SetRelays(bool named);
  /// @return whether the store holds more servers than fit on one page and none of them is known
  /// yet.
  bool AwaitsServers() const { return state_.first_page_applied && !state_.listed; }
  /// @return the question to send to a relay now, if all servers are to be fetched from one.
  std::optional<ServersRequest> NextServersQuestion();
  /// @return whether the last read of the store succeeded; true before the first one.
  bool StoreReachable() const { return failed_reads_ == 0; }
  /// @return the question for a part of the configuration, if it is to be fetched from a relay.
  std::optional<ConfigurationPartRequest> NextConfigurationQuestion();
  /// @return the requested part; nothing if this daemon does not hold that configuration.
  std::optional<ConfigurationPart> MakeConfigurationPart(
      const ConfigurationPartRequest& question) const;
  /// Applies a part of the configuration that a relay sent.
  void ApplyConfigurationPart(const ConfigurationPart& part);
  /// @return whether the configuration is being fetched from a relay.
  bool FetchesConfiguration() const { return configuration_reader_.running(); }
  /// @return whether the servers are being fetched from a relay.
  bool FetchesServers() const { return snapshot_.running(); }
  /// @return the requested page of the servers that this daemon knows.
  ServersPage MakeServersPage(const ServersRequest& question) const;
  /// Applies a page of servers that a relay sent.
  /// @param from "IP:PORT" of the relay.
  /// @return whether the page was requested, and whether it was the last.
  SnapshotReader::PageResult ApplyServersPage(const ServersPage& page, const std::string& from);

 private:
  using Milliseconds = std::chrono::milliseconds;

  /// @return whether the view is complete enough to answer other daemons.
  bool CanServe() const {
    const bool whole =
        state_.listed && !state_.partially_updated && state_.ConfigurationIsCurrent();
    return whole && (state_.watches || serves_);
  }
  /// Advances the follow state by one event.
  /// @return whether relayed changes are to be applied.
  bool ApplyEvent(const follow::Event& event);
  void ScheduleRead();
  void Read();
  /// @return the callback for a read of a range; it passes a valid result to `apply_result`.
  KeyValueStore::Callback<RangeResult> MakeReadCallback(
      void (StoreView::*apply_result)(const RangeResult&), ReadConsistency consistency);
  /// Reads the entries in `range` and passes them to `apply_result`.
  void ReadRange(KeyRange range, void (StoreView::*apply_result)(const RangeResult&),
                 ReadConsistency consistency = ReadConsistency::kLinearizable);
  /// Reads only the first page of the first listing: in a large fleet the remaining servers are
  /// fetched from a relay.
  void ReadFirstPage();
  void ApplyFirstPage(const RangeResult& page);
  /// @return whether only entries of servers can follow the page.
  bool OnlyServersFollow(const RangeResult& page) const;
  void ApplyListing(const RangeResult& listing);
  void ApplyServers(const RangeResult& listing);
  /// Applies the configuration and the internal keys of a listing.
  void ApplyOtherEntries(const RangeResult& listing);
  /// Applies the servers of a listing: changed entries and missing servers.
  void ApplyServerEntries(const RangeResult& listing);
  void ApplyConfigurationRead(const RangeResult& listing);
  /// @return the version of the configuration in use; -1 without one.
  std::int64_t Version() const;
  void ReadChanges();
  void ApplyWatchBatch(const WatchBatch& batch);
  /// @return an estimate of the bytes that the changes since the known revision would have taken;
  /// nothing if it cannot be estimated.
  std::optional<double> EstimateChangeBytes(const RangeResult& listing) const;
  void ApplyServerChange(const ServerChange& change);
  /// Completes a snapshot after its last page.
  void FinishSnapshot();
  void LogSourceChange(bool relayed);
  /// Updates the metrics of the store's era and revision; logs a store that went back to an older
  /// state.
  void CheckRevisionRead(StoreRevision revision);
  /// @return whether a response is of an earlier era than the known one; it is then recorded as a
  /// failed read.
  bool RejectEarlierEra(StoreRevision revision);
  /// Records that the store's configuration entry is missing, unreadable or older than the
  /// configuration in use.
  void MarkConfigurationUncertain();
  void NotifyChanged();
  void ApplyEntry(const KeyValue& entry);
  /// @throws std::exception if the entry cannot be parsed.
  void ApplyReadable(const KeyValue& entry);
  /// Handles an entry that cannot be parsed: it identifies no server and leaves the configuration
  /// in use unconfirmed.
  void ApplyUnreadable(const KeyValue& entry, const std::string& problem);
  void PublishAges();
  void ApplyRemoval(const std::string& key, StoreRevision revision);
  void ApplyConfiguration(const KeyValue& entry);
  void ApplyServer(const KeyValue& entry);
  /// Records that the store was reached.
  /// @param current_at the time as of which the view is now known to be complete.
  void RecordContact(SteadyTime current_at);
  void RecordReadFailure(const PlatformFailure& failure);
  /// Records the duration of the read in progress when it succeeded or failed, and logs it if slow.
  void RecordReadTime();

  KeyValueStore& store_;
  const FleetProtocol& protocol_;
  FleetView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  InternalKeys internal_keys_;
  ChangeLog changes_;
  ServerEntries servers_;
  ConfigurationHandler configuration_handler_;
  /// Set while the store's configuration entry is missing, unreadable or older than the
  /// configuration in use: the time as of which that configuration was last known to be the newest.
  std::optional<SteadyTime> configuration_uncertain_since_;
  follow::Settings settings_;
  follow::State state_;
  SnapshotReader snapshot_;
  ConfigurationReader configuration_reader_;
  std::string configuration_bytes_;  ///< The configuration in use, encoded as in the store.
  bool serves_ = false;
  std::unique_ptr<WatchHandle> watch_;
  struct ActiveRead {};
  /// Valid while the result of the read in progress is wanted.
  std::shared_ptr<ActiveRead> active_read_;
  std::int64_t announced_version_ = -1;  ///< Newest version that another daemon announced.
  std::int64_t expected_version_ = -1;   ///< `announced_version_` when the read in progress began.
  StoreRevision revision_before_read_;   ///< The known revision when the read in progress began.
  StoreRevision configuration_entry_revision_;  ///< Of the configuration entry that was read last.
  BootTimer read_timer_;
  Milliseconds retry_delay_;
  std::optional<bool> last_update_relayed_;  ///< Relayed by a daemon, not read from the store.
  bool store_connected_ = false;
  bool ever_connected_ = false;     ///< Since this process started.
  std::uint32_t failed_reads_ = 0;  ///< Since the store was last reached.
  std::string last_error_;          ///< Error of the last failed read since then.
  SteadyTime last_contact_{};       ///< When the store was last known to be reachable.
  bool listing_new_era_ = false;    ///< True while the first listing of a later era is applied.
};

}  // namespace moorfold
