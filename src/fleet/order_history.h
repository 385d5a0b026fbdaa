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

/// In a released leader record: `holder`'s last order to a server ended `age_ms` before the
/// writing.
struct RecentServerOrder {
  std::string server_id;
  std::string holder;
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server_id, holder, age_ms);
  }
};

/// What a leader that gives leadership up leaves to the next one. Times are relative to the
/// writing, since machines share no clock.
struct OrderHistoryRecord {
  /// For how long no server may be ordered at all: the leader was itself still waiting.
  std::int64_t quiet_ms = 0;
  std::vector<RecentServerOrder> servers;
  /// For how long each load from the weight store still counts against the bound on loads.
  std::vector<std::int64_t> load_remaining_ms;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(quiet_ms, servers, load_remaining_ms);
  }
};

/// Which servers got orders lately and from whom, so that a leader that takes over knowingly keeps
/// away only from those. Pure; one thread; times are of this machine's steady clock.
class OrderHistory {
 public:
  using Time = BootClock::time_point;
  using Milliseconds = std::chrono::milliseconds;

  /// @param holder this machine's name in orders.
  /// @param order_separation how long orders of two machines to one server must lie apart.
  /// @param load_window of the bound on loads from the weight store.
  OrderHistory(std::string holder, Milliseconds order_separation, Milliseconds load_window);

  /// A term begins after a wait that covers every order before it.
  void Reset();
  /// A term begins on what the leader before has left.
  /// @param record_seen_at when this machine first saw the record; it was written no later.
  void Inherit(const OrderHistoryRecord& record, Time record_seen_at);

  /// An order to the server has been answered or given up.
  void NoteOrder(const std::string& server_id, Time now) {
    Time& last = last_order_at_[server_id];
    last = std::max(last, now);
  }
  /// @return when orders of others can no longer lie too close to one that is sent then.
  Time SafeToOrderFrom(const std::string& server_id) const;
  /// @return whether nothing that was inherited matters any more.
  bool InheritedOrdersExpired(Time now) const;
  /// @param order_from when this leader may, or might have, begun to order at all.
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
