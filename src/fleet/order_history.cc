#include "fleet/order_history.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

/// For what the times of two machines and the way of an order may differ.
constexpr milliseconds kMargin{300};

}  // namespace

OrderHistory::OrderHistory(std::string holder, Milliseconds orders_apart, Milliseconds load_window)
    : holder_(std::move(holder)),
      orders_apart_(orders_apart),
      load_window_(load_window),
      loads_(load_window) {}

void OrderHistory::TakeOver(const OrderHistoryRecord& record, Time seen_at) {
  wanted_.clear();
  being_written_.clear();
  announced_.clear();
  inherited_.clear();
  none_before_ = Time{};
  for (const AnnouncedServer& server : record.servers)
    inherited_[server.server_id].push_back({server.holder, seen_at - Milliseconds(server.age_ms)});
  loads_ = LoadWindow(load_window_);
  for (const std::int64_t left : record.loads_count_for_ms)
    loads_.CountUntil(seen_at + Milliseconds(left) + kAnnouncementLife + kLongestOrder);
}

void OrderHistory::TakeOverUnknown(Time now) {
  TakeOver({}, now);
  none_before_ =
      now + kAnnouncementLife + kLongestOrder + std::max(orders_apart_ + kMargin, load_window_);
}

OrderHistory::Time OrderHistory::FreeAfter(const Inherited& entry) const {
  const Time last_arrival = entry.announced_at + kAnnouncementLife + kLongestOrder;
  return entry.holder == holder_ ? last_arrival : last_arrival + orders_apart_ + kMargin;
}

OrderHistory::Time OrderHistory::FreeAt(const std::string& server_id) const {
  Time free = none_before_;
  const auto found = inherited_.find(server_id);
  if (found == inherited_.end()) return free;
  for (const Inherited& entry : found->second) free = std::max(free, FreeAfter(entry));
  return free;
}

/// Entries that can hold nobody up any more are left out of the next record.
void OrderHistory::Forget(Time now) {
  const auto ours_until = kAnnouncementLife + kLongestOrder + orders_apart_ + kMargin;
  std::erase_if(announced_, [&](const auto& entry) { return now > entry.second + ours_until; });
  for (auto& [server_id, entries] : inherited_)
    std::erase_if(entries,
                  [&](const Inherited& entry) { return now > entry.announced_at + ours_until; });
  std::erase_if(inherited_, [](const auto& entry) { return entry.second.empty(); });
}

OrderHistoryRecord OrderHistory::BeginWrite(Time now) {
  Forget(now);
  being_written_.clear();
  for (const std::string& server_id : wanted_) being_written_[server_id] = now;
  wanted_.clear();
  OrderHistoryRecord record;
  const auto add = [&](const std::string& server_id, const std::string& holder, Time announced) {
    record.servers.push_back(
        {server_id, holder, duration_cast<milliseconds>(now - announced).count()});
  };
  for (const auto& [server_id, entries] : inherited_)
    for (const Inherited& entry : entries) add(server_id, entry.holder, entry.announced_at);
  for (const auto& [server_id, announced] : announced_)
    if (!being_written_.contains(server_id)) add(server_id, holder_, announced);
  for (const auto& [server_id, announced] : being_written_) add(server_id, holder_, announced);
  for (const Milliseconds left : loads_.Remaining(now))
    record.loads_count_for_ms.push_back(left.count());
  return record;
}

void OrderHistory::ConfirmWrite() {
  for (const auto& [server_id, announced] : being_written_) announced_[server_id] = announced;
  being_written_.clear();
}

bool OrderHistory::MaySend(const std::string& server_id, Time now) const {
  if (now < FreeAt(server_id)) return false;
  const auto found = announced_.find(server_id);
  return found != announced_.end() && now < found->second + kAnnouncementLife;
}

}  // namespace moorfold
