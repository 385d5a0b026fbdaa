#include "fleet/order_history.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// Allowance for an abandoned order that is still in flight.
constexpr milliseconds kLateOrderMargin{300};
/// Wait after this machine's own earlier orders: an order with an older token must not arrive after
/// one with a newer token, even from the same machine.
constexpr milliseconds kOwnOrderWait{400};

}  // namespace

OrderHistory::OrderHistory(std::string holder, Milliseconds order_separation,
                           Milliseconds load_window)
    : holder_(std::move(holder)),
      order_separation_(order_separation),
      load_window_(load_window),
      loads_(load_window) {}

void OrderHistory::Reset() {
  last_order_at_.clear();
  inherited_orders_.clear();
  loads_ = LoadRateLimiter(load_window_);
}

void OrderHistory::Inherit(const OrderHistoryRecord& record, Time record_seen_at) {
  Reset();
  for (const RecentServerOrder& server : record.servers)
    inherited_orders_[server.server_id].push_back(
        {server.holder, record_seen_at - Milliseconds(server.age_ms)});
  for (const std::int64_t remaining : record.load_remaining_ms)
    loads_.RecordLoadUntil(record_seen_at + Milliseconds(remaining) + kLateOrderMargin);
}

OrderHistory::Time OrderHistory::SafeAfter(const InheritedOrder& entry) const {
  return entry.ordered_at +
         (entry.holder == holder_ ? kOwnOrderWait : order_separation_ + kLateOrderMargin);
}

OrderHistory::Time OrderHistory::SafeToOrderFrom(const std::string& server_id) const {
  Time safe_from{};
  const auto found = inherited_orders_.find(server_id);
  if (found == inherited_orders_.end()) return safe_from;
  for (const InheritedOrder& entry : found->second)
    safe_from = std::max(safe_from, SafeAfter(entry));
  return safe_from;
}

bool OrderHistory::InheritedOrdersExpired(Time now) const {
  return std::all_of(inherited_orders_.begin(), inherited_orders_.end(),
                     [&](const auto& entry) { return now >= SafeToOrderFrom(entry.first); });
}

OrderHistoryRecord OrderHistory::ToRecord(Time now, Time order_from) const {
  const auto age = [&](Time at) { return duration_cast<milliseconds>(now - at).count(); };
  const auto longest_wait = std::max(order_separation_ + kLateOrderMargin, kOwnOrderWait);
  OrderHistoryRecord record;
  record.quiet_ms =
      std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(order_from - now).count());
  for (const auto& [server_id, entries] : inherited_orders_)
    for (const InheritedOrder& entry : entries)
      if (now < entry.ordered_at + longest_wait)
        record.servers.push_back({server_id, entry.holder, age(entry.ordered_at)});
  for (const auto& [server_id, at] : last_order_at_)
    if (now < at + longest_wait) record.servers.push_back({server_id, holder_, age(at)});
  for (const Milliseconds remaining : loads_.Remaining(now))
    record.load_remaining_ms.push_back(remaining.count());
  return record;
}

}  // namespace moorfold
