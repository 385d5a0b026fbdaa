#include "modelled/key_value_table.h"

#include <algorithm>

namespace moorfold {
namespace {
/// Older changes are compacted away, as the real service does.
constexpr std::size_t kHistoryLength = 10'000;
}  // namespace

RangeResult KeyValueTable::Range(const KeyRange& range) const {
  RangeResult result{revision(), {}};
  for (auto it = entries_.lower_bound(range.key); it != entries_.end() && range.Contains(it->first);
       ++it)
    result.entries.push_back(it->second);
  return result;
}

bool KeyValueTable::Holds(const Comparison& comparison) const {
  const auto found = entries_.find(comparison.key);
  const std::int64_t current = found == entries_.end() ? 0 : found->second.mod_revision.number;
  return current == comparison.mod_revision.number;
}

void KeyValueTable::Record(const WatchEvent& event) {
  if (history_.empty() || history_.back().revision != revision())
    history_.push_back({revision(), {}});
  history_.back().events.push_back(event);
  if (history_.size() > 2 * kHistoryLength)
    history_.erase(history_.begin(), history_.begin() + kHistoryLength);
}

void KeyValueTable::Apply(const Operation& operation) {
  if (const auto* put = std::get_if<PutOperation>(&operation)) {
    KeyValue& entry = entries_[put->key];
    const LeaseId lease = put->lease.exists() ? LeaseId{era_, put->lease.number} : LeaseId{};
    entry = {put->key, put->value, revision(), lease};
    Record({false, entry});
    return;
  }
  const std::string& key = std::get<DeleteOperation>(operation).key;
  if (entries_.erase(key) > 0) Record({true, {key, "", revision(), {}}});
}

TransactionResult KeyValueTable::Transact(const Transaction& transaction) {
  const bool holds = std::all_of(transaction.comparisons.begin(), transaction.comparisons.end(),
                                 [this](const Comparison& each) { return Holds(each); });
  if (!holds) return {false, revision()};
  ++revision_;
  for (const Operation& operation : transaction.operations) Apply(operation);
  return {true, revision()};
}

LeaseId KeyValueTable::GrantLease(Duration time_to_live, Timestamp now) {
  const std::int64_t lease = next_lease_++;
  leases_[lease] = {time_to_live, now + time_to_live};
  return {era_, lease};
}

std::optional<Duration> KeyValueTable::KeepLeaseAlive(LeaseId lease, Timestamp now) {
  ExpireLeases(now);
  const auto found = leases_.find(lease.number);
  if (found == leases_.end()) return std::nullopt;
  found->second.expires = now + found->second.time_to_live;
  return found->second.time_to_live;
}

bool KeyValueTable::HasLease(LeaseId lease, Timestamp now) {
  ExpireLeases(now);
  return leases_.contains(lease.number);
}

void KeyValueTable::DeleteKeysOf(std::int64_t lease) {
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_)
    if (entry.lease.number == lease) keys.push_back(key);
  if (keys.empty()) return;
  ++revision_;
  for (const std::string& key : keys) Apply(DeleteOperation{key});
}

bool KeyValueTable::RevokeLease(LeaseId lease) { return EndLease(lease.number); }

bool KeyValueTable::EndLease(std::int64_t lease) {
  if (leases_.erase(lease) == 0) return false;
  DeleteKeysOf(lease);
  return true;
}

void KeyValueTable::ExpireLeases(Timestamp now) {
  std::vector<std::int64_t> lapsed;
  for (const auto& [lease, state] : leases_)
    if (state.expires <= now) lapsed.push_back(lease);
  for (const std::int64_t lease : lapsed) EndLease(lease);
}

void KeyValueTable::RestoreFrom(const KeyValueTable& copy) {
  const std::int64_t next_era = era_ + 1;
  *this = copy;
  era_ = next_era;
  StampEra();
}

void KeyValueTable::StampEra() {
  const auto stamp = [this](KeyValue& entry) {
    entry.mod_revision.era = era_;
    if (entry.lease.exists()) entry.lease.era = era_;
  };
  for (auto& [key, entry] : entries_) stamp(entry);
  for (WatchBatch& batch : history_) {
    batch.revision.era = era_;
    for (WatchEvent& event : batch.events) stamp(event.entry);
  }
}

std::vector<WatchBatch> KeyValueTable::EventsSince(const KeyRange& range,
                                                   StoreRevision start) const {
  std::vector<WatchBatch> batches;
  const auto first = std::lower_bound(
      history_.begin(), history_.end(), start.number,
      [](const WatchBatch& batch, std::int64_t number) { return batch.revision.number < number; });
  for (auto batch = first; batch != history_.end(); ++batch) {
    WatchBatch matching{batch->revision, {}};
    for (const WatchEvent& event : batch->events)
      if (range.Contains(event.entry.key)) matching.events.push_back(event);
    if (!matching.events.empty()) batches.push_back(std::move(matching));
  }
  return batches;
}

}  // namespace moorfold
