#include "fleet/order_history.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// For an order that was given up and is still on its way.
constexpr milliseconds kMargin{300};
/// An old token must not follow a new one, also from one machine.
constexpr milliseconds kAfterOwn{400};

}  // namespace

OrderHistory::OrderHistory(std::string holder, Milliseconds orders_apart, Milliseconds load_window)
    : holder_(std::move(holder)),
      orders_apart_(orders_apart),
      load_window_(load_window),
      loads_(load_window) {}

void OrderHistory::Begin() {
  ordered_.clear();
  inherited_.clear();
  loads_ = LoadRateLimiter(load_window_);
}

void OrderHistory::Inherit(const OrderHistoryRecord& record, Time seen_at) {
  Begin();
  for (const RecentServerOrder& server : record.servers)
    inherited_[server.server_id].push_back({server.holder, seen_at - Milliseconds(server.age_ms)});
  for (const std::int64_t left : record.load_remaining_ms)
    loads_.RecordLoadUntil(seen_at + Milliseconds(left) + kMargin);
}

OrderHistory::Time OrderHistory::FreeAfter(const Inherited& entry) const {
  return entry.ordered_at + (entry.holder == holder_ ? kAfterOwn : orders_apart_ + kMargin);
}

OrderHistory::Time OrderHistory::SafeToOrderFrom(const std::string& server_id) const {
  Time free{};
  const auto found = inherited_.find(server_id);
  if (found == inherited_.end()) return free;
  for (const Inherited& entry : found->second) free = std::max(free, FreeAfter(entry));
  return free;
}

bool OrderHistory::Clear(Time now) const {
  return std::all_of(inherited_.begin(), inherited_.end(),
                     [&](const auto& entry) { return now >= SafeToOrderFrom(entry.first); });
}

OrderHistoryRecord OrderHistory::Write(Time now, Time order_from) const {
  const auto age = [&](Time at) { return duration_cast<milliseconds>(now - at).count(); };
  const auto longest = std::max(orders_apart_ + kMargin, kAfterOwn);
  OrderHistoryRecord record;
  record.quiet_ms =
      std::max<std::int64_t>(0, std::chrono::ceil<milliseconds>(order_from - now).count());
  for (const auto& [server_id, entries] : inherited_)
    for (const Inherited& entry : entries)
      if (now < entry.ordered_at + longest)
        record.servers.push_back({server_id, entry.holder, age(entry.ordered_at)});
  for (const auto& [server_id, at] : ordered_)
    if (now < at + longest) record.servers.push_back({server_id, holder_, age(at)});
  for (const Milliseconds left : loads_.Remaining(now))
    record.load_remaining_ms.push_back(left.count());
  return record;
}

}  // namespace moorfold
