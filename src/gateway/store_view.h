#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "common/event_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "ports/fleet_protocol.h"
#include "ports/key_value_store.h"
#include "relay/change_log.h"
#include "relay/follow_state.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// Keeps a FleetView up to date: from one listing of the store, then from short reads of what has
/// changed, and from changes that the leader relays (see relay/follow_state.h for when which).
/// While the store is out of reach, everything known stays known. A configuration is taken only
/// with a higher version, and a key only with a higher revision, so nothing goes back. Entries may
/// lapse while the store is down though their servers live: what is missing just after an outage is
/// given a moment to come back. One thread.
class StoreView {
 public:
  /// Hears of one of moorfold's own keys: its newest state, or that it is gone.
  using OwnKeyHandler =
      std::function<void(const std::optional<KeyValue>& entry, std::int64_t revision)>;
  using ConfigurationHandler = std::function<void(const RoutingConfiguration&)>;

  StoreView(boost::asio::io_context& context, KeyValueStore& store, const FleetProtocol& protocol,
            FleetView& view, GatewayMetrics& metrics, EventLog& log, follow::Settings settings);

  /// @param own_key the key of moorfold's own that `own_key_changed` hears of.
  void Start(std::string own_key, OwnKeyHandler own_key_changed, ConfigurationHandler configured);

  /// Whether other daemons follow this one: it reads the store more often then.
  void SetWatching(bool watches);
  /// Something else says that the store has news: it is read soon.
  void HearNews();
  /// @return what to ask the watcher, once the store was listed.
  std::optional<ChangeQuestion> Question() const;
  /// @param daemons in the fleet, as far as known. @pre this daemon watches.
  ChangeAnswer Answer(const ChangeQuestion& question, std::uint32_t daemons) const;
  /// Takes over what a watcher has answered.
  void TakeAnswer(const ChangeAnswer& answer);

 private:
  using Milliseconds = std::chrono::milliseconds;

  /// @return whether relayed changes are to be taken over.
  bool Decide(const follow::Event& event);
  void ReadWhenDue();
  void Read();
  void List();
  void TakeListing(const RangeResult& listing);
  void ReadChanges();
  void TakeBatch(const WatchBatch& batch);
  void TakeChange(const ServerChange& change);
  void NoteSource(bool relayed);
  void NoteChanged();
  void TakeEntry(const KeyValue& entry);
  void TakeRemoval(const std::string& key, std::int64_t revision);
  void RemoveServer(const std::string& id, std::int64_t revision);
  void RemoveLater(const std::string& id);
  void RemoveDue();
  void TakeConfiguration(const KeyValue& entry);
  void TakeServer(const KeyValue& entry);
  void TakeOwnKey(const KeyValue& entry);
  void PutServer(ServerRecord record, std::int64_t revision);
  /// @param current_at when the store had nothing newer than what is known now.
  void NoteContact(SteadyTime current_at);
  void NoteFailure(const PlatformFailure& failure, bool list);

  KeyValueStore& store_;
  const FleetProtocol& protocol_;
  FleetView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  std::string own_key_;
  OwnKeyHandler own_key_changed_;
  ConfigurationHandler configured_;
  std::int64_t own_key_revision_ = 0;
  follow::Settings settings_;
  follow::State state_;
  ChangeLog changes_;
  bool list_next_ = true;
  std::unique_ptr<WatchHandle> watch_;
  boost::asio::steady_timer read_timer_;
  Milliseconds retry_pause_;
  std::optional<bool> relayed_;  ///< Whether the last news came from a watcher.
  bool in_touch_ = false;
  bool contacted_ = false;  ///< At least once in this life.
  bool failed_ = false;     ///< A read, since the last contact.
  SteadyTime outage_ended_{};
  /// Servers whose entries were missing just after an outage, with the time of their removal.
  std::map<std::string, SteadyTime> removals_;
  boost::asio::steady_timer removal_timer_;
};

}  // namespace moorfold
