#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "ports/key_value_store.h"
#include "quarantine/quarantine_messages.h"

namespace moorfold {

/// The store's entry of what is quarantined: what must outlast all daemons at once. Only the leader
/// writes it, when a verdict has come or gone, and no more than once a second: a crash costs the
/// store no call, whatever the number of daemons. Daemons read it with the listing of their start.
/// One thread.
class QuarantineRecord {
 public:
  QuarantineRecord(KeyValueStore& store, EventLog& log, std::string key)
      : store_(store), log_(log), key_(std::move(key)) {}

  /// The store shows the entry so. @param value empty: there is none.
  void Seen(const std::string& value, std::int64_t revision);
  /// Writes `wanted` if the store does not hold those verdicts. @pre this daemon leads.
  void Write(const QuarantineNotice& wanted);
  /// @return the key in the store.
  const std::string& key() const { return key_; }

 private:
  /// What a write would change: fingerprints and versions, not ages.
  static std::string Summary(const QuarantineNotice& notice);
  void EndWrite(const Outcome<TransactionResult>& result, const std::string& summary);

  KeyValueStore& store_;
  EventLog& log_;
  std::string key_;
  std::int64_t revision_ = 0;
  std::string held_;  ///< Summary of what the store holds.
  bool writing_ = false;
  BootClock::time_point not_before_{};
};

}  // namespace moorfold
