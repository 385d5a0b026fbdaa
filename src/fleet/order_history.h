#pragma once

#include <algorithm>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "fleet/load_rate_limiter.h"

namespace moorfold {

/// An entry of a released leader record: the last order of `holder` to the server ended `age_ms`
/// before the record was written.
struct RecentServerOrder {
  std::string server_id;
  std::string holder;
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server_id, holder, age_ms);
  }
};

/// The order history that a leader writes into its record when it releases leadership, for the next
/// leader. Times are relative to the moment of writing, since machines share no clock.
struct OrderHistoryRecord {
  /// Time during which no server may receive any order, because the leader's own initial wait was
  /// not over.
  std::int64_t quiet_ms = 0;
  std::vector<RecentServerOrder> servers;
  /// For each recent load from the weight store, how long it still counts against the limit on
  /// loads.
  std::vector<std::int64_t> load_remaining_ms;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(quiet_ms, servers, load_remaining_ms);
  }
};

/// Tracks which servers recently received orders and from which machine, so that a leader that
/// inherits this history has to avoid only those servers. Pure; single-threaded; times are of this
/// machine's steady clock.
class OrderHistory {
 public:
  using Time = BootClock::time_point;
  using Milliseconds = std::chrono::milliseconds;

  /// @param holder Name of this machine, as its orders carry it.
  /// @param order_separation Minimum time between orders of two machines to one server.
  /// @param load_window Length of the window of the limit on loads from the weight store.
  OrderHistory(std::string holder, Milliseconds order_separation, Milliseconds load_window);

  /// Begins a term without inherited orders. The caller waits for every earlier order instead.
  void Reset();
  /// Begins a term with the history that the previous leader wrote.
  /// @param record_seen_at When this machine first saw the record, which was written no later than
  /// that.
  void Inherit(const OrderHistoryRecord& record, Time record_seen_at);

  /// Records that an order to the server was answered or abandoned.
  void NoteOrder(const std::string& server_id, Time now) {
    Time& last = last_order_at_[server_id];
    last = std::max(last, now);
  }
  /// @return the earliest time at which an order to the server is far enough from inherited orders.
  Time SafeToOrderFrom(const std::string& server_id) const;
  /// @return whether no inherited order restricts new orders any more.
  bool InheritedOrdersExpired(Time now) const;
  /// @param order_from When this leader may start to send orders, or could have started.
  OrderHistoryRecord ToRecord(Time now, Time order_from) const;

  LoadRateLimiter& loads() { return loads_; }

 private:
  struct InheritedOrder {
    std::string holder;
    Time ordered_at;
  };
  Time SafeAfter(const InheritedOrder& entry) const;

  std::string holder_;
  Milliseconds order_separation_;
  Milliseconds load_window_;
  LoadRateLimiter loads_;
  std::map<std::string, Time> last_order_at_;
  std::map<std::string, std::vector<InheritedOrder>> inherited_orders_;
};

}  // namespace moorfold
