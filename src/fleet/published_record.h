#pragma once

#include <algorithm>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/fleet_messages.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// A store entry that publishes to all daemons what the leader decided. A daemon that starts while
/// there is no leader learns it from this entry. The leader writes the entry when the content
/// changes, at most once a second. Single-threaded.
template <typename Content>
class PublishedRecord {
 public:
  /// @param write_failed_event Event that is logged when a write fails.
  PublishedRecord(KeyValueStore& store, EventLog& log, std::string key, LogEvent write_failed_event)
      : store_(store), log_(log), key_(std::move(key)), write_failed_event_(write_failed_event) {}

  const std::string& key() const { return key_; }
  /// Handles a state of the entry as the store reports it; nothing if the entry does not exist.
  /// @throws std::runtime_error if the entry cannot be decoded.
  void Seen(const std::optional<KeyValue>& entry, StoreRevision revision) {
    const bool later_era = revision.era > seen_era_;
    seen_era_ = std::max(seen_era_, revision.era);
    if (!later_era) return;
    // The store was restored from an older copy, which may lack this daemon's last write.
    last_written_ = {};
    if (entry) last_written_ = DecodeMessage<Content>(entry->value);
  }
  /// Writes `content` unless it equals this daemon's last write, or the entry found in the store
  /// after a restore from an older copy.
  /// @pre This daemon is the leader.
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
  /// Minimum time between two writes, also after a failed write.
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
  std::int64_t seen_era_ = kEraUntold;  ///< Store era in which the entry was last reported.
  bool write_in_progress_ = false;
  BootClock::time_point next_write_at_{};
};

}  // namespace moorfold
