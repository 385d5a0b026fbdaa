#pragma once

#include <algorithm>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/fleet_messages.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// The store's entry of something that the leader tells all daemons: one that starts while nobody
/// leads knows it by this. The leader writes it when it changes, and no more than once a second.
/// One thread.
template <typename Content>
class PublishedRecord {
 public:
  /// @param not_stored the event of a write that failed.
  PublishedRecord(KeyValueStore& store, EventLog& log, std::string key, LogEvent not_stored)
      : store_(store), log_(log), key_(std::move(key)), not_stored_(not_stored) {}

  /// @return the key in the store.
  const std::string& key() const { return key_; }
  /// The store shows the entry so, or none.
  /// @throws std::runtime_error when the entry is no such record.
  void Seen(const std::optional<KeyValue>& entry, StoreRevision revision) {
    const bool later_era = revision.era > seen_era_;
    seen_era_ = std::max(seen_era_, revision.era);
    if (!later_era) return;
    // A copy: what this daemon wrote may be gone or older there.
    written_ = {};
    if (entry) written_ = DecodeMessage<Content>(entry->value);
  }
  /// Writes `wanted` where that is not what this daemon wrote last, or what a store that
  /// came back from a copy shows. @pre this daemon leads.
  void Write(const Content& wanted) {
    if (calling_ || wanted == written_ || BootClock::now() < not_before_) return;
    Transaction transaction;
    transaction.operations.emplace_back(PutOperation{key_, EncodeMessage(wanted), {}});
    calling_ = true;
    store_.Transact(
        std::move(transaction),
        [this, wanted](const Outcome<TransactionResult>& result) { EndWrite(wanted, result); });
  }

 private:
  /// Between two writes; also after one that failed.
  static constexpr std::chrono::milliseconds kBetweenWrites{1'000};

  void EndWrite(const Content& wanted, const Outcome<TransactionResult>& result) {
    calling_ = false;
    not_before_ = BootClock::now() + kBetweenWrites;
    if (result.ok()) {
      written_ = wanted;
      return;
    }
    log_.Write(LogRank::kDecision, EventLine(not_stored_)
                                       .Field(LogField::kKey, key_)
                                       .Field(LogField::kProblem, result.failure().message));
  }

  KeyValueStore& store_;
  EventLog& log_;
  std::string key_;
  LogEvent not_stored_;
  Content written_;
  std::int64_t seen_era_ = kEraUntold;  ///< Of the store when it last showed the entry.
  bool calling_ = false;
  BootClock::time_point not_before_{};
};

}  // namespace moorfold
