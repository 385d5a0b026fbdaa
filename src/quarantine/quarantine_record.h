#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "ports/key_value_store.h"
#include "quarantine/quarantine_messages.h"

namespace moorfold {

/// Maintains the store entry that lists the quarantined requests, so that quarantine survives a
/// restart of all daemons. Only the leader writes it, when the set of quarantined requests changes
/// and at most once a second, so a crash by itself causes no store call, whatever the number of
/// daemons. Daemons read the entry with the listing at their start. Not thread-safe.
class QuarantineRecord {
 public:
  using ReadHandler = std::function<void(const QuarantineNotice&)>;

  /// @param on_read receives the stored cases after this object has had to read the entry.
  QuarantineRecord(KeyValueStore& store, EventLog& log, std::string key, ReadHandler on_read)
      : store_(store), log_(log), key_(std::move(key)), on_read_(std::move(on_read)) {}

  /// Takes the entry as a read of the store returned it. @param value empty if there is no entry.
  void Seen(const std::string& value, StoreRevision revision);
  /// Writes `desired` if the store holds other quarantined requests or versions. @pre this daemon
  /// leads.
  void Write(const QuarantineNotice& desired);
  /// @return the key of the store entry.
  const std::string& key() const { return key_; }

 private:
  /// Summarizes the fingerprints and versions, without ages, to detect whether a write is needed.
  static std::string Summary(const QuarantineNotice& notice);
  /// Reads the key when the known revision is out of date or the outcome of a write is unknown. A
  /// new leader that previously received its state from another daemon has not seen each change of
  /// the key.
  void Read();
  void FinishRead(const Outcome<RangeResult>& result);
  void LogProblem(const std::string& problem);
  void FinishWrite(const Outcome<TransactionResult>& result, const std::string& summary);

  KeyValueStore& store_;
  EventLog& log_;
  std::string key_;
  StoreRevision revision_;  ///< Revision of the entry; number 0 if there is no entry in that era.
  std::string stored_summary_;  ///< Summary of the stored value.
  ReadHandler on_read_;
  bool call_in_flight_ = false;
  bool needs_read_ = false;
  BootClock::time_point next_call_at_{};
};

}  // namespace moorfold
