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

namespace moorfold {

/// Keeps a FleetView up to date from the store by one listing and one watch over all keys.
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
            FleetView& view, GatewayMetrics& metrics, EventLog& log);

  /// @param own_key the key of moorfold's own that `own_key_changed` hears of.
  void Start(std::string own_key, OwnKeyHandler own_key_changed, ConfigurationHandler configured);

 private:
  void List();
  void TakeListing(const RangeResult& listing);
  void StartWatch(std::int64_t from);
  void TakeBatch(const WatchBatch& batch);
  void TakeEntry(const KeyValue& entry);
  void TakeRemoval(const std::string& key, std::int64_t revision);
  void RemoveServer(const std::string& id, std::int64_t revision);
  void RemoveLater(const std::string& id);
  void RemoveDue();
  void TakeConfiguration(const KeyValue& entry);
  void TakeServer(const KeyValue& entry);
  void TakeOwnKey(const KeyValue& entry);
  void NoteContact();
  void NoteFailure(const PlatformFailure& failure);
  void ListLater();

  KeyValueStore& store_;
  const FleetProtocol& protocol_;
  FleetView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  std::string own_key_;
  OwnKeyHandler own_key_changed_;
  ConfigurationHandler configured_;
  std::int64_t own_key_revision_ = 0;
  std::unique_ptr<WatchHandle> watch_;
  boost::asio::steady_timer retry_;
  std::chrono::milliseconds retry_pause_;
  bool in_touch_ = false;
  bool contacted_ = false;  ///< At least once in this life.
  SteadyTime outage_ended_{};
  /// Servers whose entries were missing just after an outage, with the time of their removal.
  std::map<std::string, SteadyTime> removals_;
  boost::asio::steady_timer removal_timer_;
};

}  // namespace moorfold
