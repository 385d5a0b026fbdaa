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
#include "gateway/own_keys.h"
#include "gateway/server_entries.h"
#include "ports/fleet_protocol.h"
#include "ports/key_value_store.h"
#include "relay/change_log.h"
#include "relay/configuration_reader.h"
#include "relay/follow_state.h"
#include "relay/relay_messages.h"
#include "relay/snapshot_reader.h"

namespace moorfold {

/// Keeps a FleetView up to date: from listings of the store and short reads of what has changed in
/// it, and from changes that the leader relays (see relay/follow_state.h for when which).
/// While the store is out of reach, everything known stays known. A configuration is taken only
/// with a higher version, and a key only with a higher revision, so nothing goes back; a revision
/// of a later era is higher than any before (see ports/store_revision.h). One thread.
class StoreView {
 public:
  using ConfigurationHandler = std::function<void(const RoutingConfiguration&)>;

  StoreView(boost::asio::io_context& context, KeyValueStore& store, const FleetProtocol& protocol,
            FleetView& view, GatewayMetrics& metrics, EventLog& log, follow::Settings settings);

  /// @param own_key the key of moorfold's own that `own_key_changed` hears of.
  void Start(std::string own_key, OwnKeys::Handler own_key_changed,
             ConfigurationHandler configured);

  /// One more of moorfold's own keys. Before Start.
  void Follow(std::string own_key, OwnKeys::Handler changed) {
    own_keys_.Follow(std::move(own_key), std::move(changed));
  }

  /// Before Start.
  void OnRestart(ServerEntries::RestartHandler handler) { servers_.OnRestart(std::move(handler)); }

  /// Whether other daemons follow this one: it reads the store more often then.
  void SetWatching(bool watches);
  /// @return what to ask the watcher, once the store was listed.
  std::optional<ChangeRequest> Question() const;
  /// @param daemons in the fleet, as far as known. @pre this daemon watches.
  /// @param parts whether the asker takes parts of what has changed.
  ChangeAnswer Answer(const ChangeRequest& question, std::uint32_t daemons, bool parts) const;
  /// Some other call of the store, or another daemon, has told of this era.
  void NoteEra(std::int64_t era);
  /// Takes over what a watcher has answered.
  void TakeAnswer(const ChangeAnswer& answer);

  /// Whether other daemons ask this one though it does not watch the store itself.
  void SetServing(bool serves) { serves_ = serves; }
  /// Whether there are relays for this daemon to ask; nothing is known of that before.
  void SetRelays(bool named);
  /// @return whether the store holds more servers than one page, and none are known of yet.
  bool WaitsForServers() const { return state_.first_page_applied && !state_.listed; }
  /// @return the question to a relay that is to be sent now, where all servers are to be taken from
  /// one.
  std::optional<ServersRequest> ServersQuestionDue();
  /// @return whether the last read of the store was answered, or none has been.
  bool StoreInTouch() const { return failed_reads_ == 0; }
  /// @return the question to a relay for a part of the configuration, where it is to be taken from
  /// one.
  std::optional<ConfigurationRequest> ConfigurationQuestionDue();
  /// @return that part; nothing where this daemon holds no such configuration.
  std::optional<ConfigurationPart> Part(const ConfigurationRequest& question) const;
  /// Takes over what a relay has answered.
  void TakePart(const ConfigurationPart& part);
  /// @return whether parts of a configuration are asked for.
  bool PullsConfiguration() const { return configuration_reader_.running(); }
  /// @return whether pages of a relay are asked for.
  bool PullsServers() const { return snapshot_.running(); }
  /// @return the page asked for, of what this daemon knows.
  ServersPage Page(const ServersRequest& question) const;
  /// Takes over what a relay has answered.
  /// @param from "IP:PORT" of the relay.
  /// @return whether it was a page that was asked for.
  SnapshotReader::PageResult TakePage(const ServersPage& page, const std::string& from);

 private:
  using Milliseconds = std::chrono::milliseconds;

  /// @return whether others may rely on what is known here.
  bool Serves() const {
    const bool whole =
        state_.listed && !state_.partially_updated && state_.ConfigurationIsCurrent();
    return whole && (state_.watches || serves_);
  }
  /// @return whether relayed changes are to be taken over.
  bool Decide(const follow::Event& event);
  void ReadWhenDue();
  void Read();
  /// @return what to do with the answer to a read of a range.
  KeyValueStore::Callback<RangeResult> WhenRead(void (StoreView::*take)(const RangeResult&),
                                                ReadConsistency consistency);
  /// Reads what is now under `range`, and hands it to `take`.
  void ReadRange(KeyRange range, void (StoreView::*take)(const RangeResult&),
                 ReadConsistency consistency = ReadConsistency::kLinearizable);
  /// Reads the first page of a first listing: in a large fleet the rest comes from a relay.
  void ReadFirstPage();
  void TakeFirstPage(const RangeResult& page);
  /// @return whether nothing but servers can stand after the page.
  bool HoldsAllButServers(const RangeResult& page) const;
  void TakeListing(const RangeResult& listing);
  void TakeServers(const RangeResult& listing);
  /// Takes the configuration and moorfold's own keys of a listing over.
  void TakeOtherEntries(const RangeResult& listing);
  /// Takes the servers of a listing over: what has changed, and who is missing.
  void TakeServerEntries(const RangeResult& listing);
  void TakeConfigurationRead(const RangeResult& listing);
  /// @return of the configuration held; -1 without one.
  std::int64_t Version() const;
  void ReadChanges();
  void TakeBatch(const WatchBatch& batch);
  /// @return about how many bytes the changes since the revision known would have been.
  std::optional<double> ChangesReplacedBy(const RangeResult& listing) const;
  void TakeChange(const ServerChange& change);
  /// All pages of a relay were taken over.
  void EndSnapshot();
  void NoteSource(bool relayed);
  /// Tells that the store's revision is lower than what this daemon holds for known.
  void NoteRevisionRead(StoreRevision revision);
  /// @return whether an answer is older than what is known; it then counts as a failed read.
  bool IsOfEarlierEra(StoreRevision revision);
  /// What the store shows in place of the configuration held is none, or an older one.
  void NoteConfigurationUnsure();
  void NoteChanged();
  void TakeEntry(const KeyValue& entry);
  /// @throws std::exception where the entry cannot be read.
  void TakeReadable(const KeyValue& entry);
  /// What cannot be read names no server, and says nothing of the configuration.
  void TakeUnreadable(const KeyValue& entry, const std::string& problem);
  void DescribeAges();
  void TakeRemoval(const std::string& key, StoreRevision revision);
  void TakeConfiguration(const KeyValue& entry);
  void TakeServer(const KeyValue& entry);
  /// @param current_at when the store had nothing newer than what is known now.
  void NoteContact(SteadyTime current_at);
  void NoteFailure(const PlatformFailure& failure);
  /// Tells how long the read under way has taken until now, when it was answered or failed.
  void NoteReadTime();

  KeyValueStore& store_;
  const FleetProtocol& protocol_;
  FleetView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  OwnKeys own_keys_;
  ChangeLog changes_;
  ServerEntries servers_;
  ConfigurationHandler configured_;
  /// The store shows nothing readable in the place of the configuration held, or an older one: none
  /// newer than the one held existed at that time.
  std::optional<SteadyTime> configuration_unsure_since_;
  follow::Settings settings_;
  follow::State state_;
  SnapshotReader snapshot_;
  ConfigurationReader configuration_reader_;
  std::string configuration_text_;  ///< Of the configuration held, as the store has it.
  bool serves_ = false;
  std::unique_ptr<WatchHandle> watch_;
  struct ReadWanted {};
  /// Lives as long as the range under way is wanted.
  std::shared_ptr<ReadWanted> read_wanted_;
  std::int64_t told_version_ = -1;     ///< Of the newest configuration that a watcher told of.
  std::int64_t reading_version_ = -1;  ///< The same when the read under way began.
  StoreRevision known_before_read_;    ///< All changes up to it, when the read under way began.
  StoreRevision configuration_entry_revision_;  ///< Of the entry that was read last.
  BootTimer read_timer_;
  Milliseconds retry_pause_;
  std::optional<bool> relayed_;  ///< Whether the last news came from a watcher.
  bool in_touch_ = false;
  bool contacted_ = false;          ///< At least once in this life.
  std::uint32_t failed_reads_ = 0;  ///< Since the last contact.
  std::string last_problem_;        ///< Of the last failed read since then.
  SteadyTime last_contact_{};       ///< The store was in touch then.
  bool listing_new_era_ = false;    ///< While the first listing of a later era is taken over.
};

}  // namespace moorfold
