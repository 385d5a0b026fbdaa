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
  /// @param write_failed_event the event of a write that failed.
  PublishedRecord(KeyValueStore& store, EventLog& log, std::string key, LogEvent write_failed_event)
      : store_(store), log_(log), key_(std::move(key)), write_failed_event_(write_failed_event) {}

  /// @return the key in the store.
  const std::string& key() const { return key_; }
  /// The store shows the entry so, or none.
  /// @throws std::runtime_error when the entry is no such record.
  void Seen(const std::optional<KeyValue>& entry, StoreRevision revision) {
    const bool later_era = revision.era > seen_era_;
    seen_era_ = std::max(seen_era_, revision.era);
    if (!later_era) return;
    // A copy: what this daemon wrote may be gone or older there.
    last_written_ = {};
    if (entry) last_written_ = DecodeMessage<Content>(entry->value);
  }
  /// Writes `wanted` where that is not what this daemon wrote last, or what a store that
  /// came back from a copy shows. @pre this daemon leads.
  void Write(const Content& content) {
    if (write_in_progress_ || content == last_written_ || BootClock::now() < next_write_at_) return;
    Transaction transaction;
    transaction.operations.emplace_back(PutOperation{key_, EncodeMessage(content), {}});
    write_in_progress_ = true;
    store_.Transact(
        std::move(transaction),
        [this, content](const Outcome<TransactionResult>& result) { EndWrite(content, result); });
  }

 private:
  /// Between two writes; also after one that failed.
  static constexpr std::chrono::milliseconds kMinWriteInterval{1'000};

  void EndWrite(const Content& content, const Outcome<TransactionResult>& result) {
    write_in_progress_ = false;
    next_write_at_ = BootClock::now() + kMinWriteInterval;
    if (result.ok()) {
      last_written_ = content;
      return;
    }
    log_.Write(LogRank::kDecision, EventLine(write_failed_event_)
                                       .Field(LogField::kKey, key_)
                                       .Field(LogField::kProblem, result.failure().message));
  }

  KeyValueStore& store_;
  EventLog& log_;
  std::string key_;
  LogEvent write_failed_event_;
  Content last_written_;
  std::int64_t seen_era_ = kEraUntold;  ///< Of the store when it last showed the entry.
  bool write_in_progress_ = false;
  BootClock::time_point next_write_at_{};
};

}  // namespace moorfold
