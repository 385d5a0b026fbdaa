#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "ports/key_value_store.h"

namespace moorfold {

/// The data of a small key-value service: revisions, compare-and-swap, leases, and the history
/// that watches start from. Pure: time is an argument. The stand-in and the simulator share it.
/// It says of which era its answers are, but cannot tell of which era a call is: numbers alone are
/// compared, as such services do.
class KeyValueTable {
 public:
  RangeResult Range(const KeyRange& range) const;
  TransactionResult Transact(const Transaction& transaction);
  LeaseId GrantLease(Duration time_to_live, Timestamp now);
  /// @return the time to live granted anew, or nothing when the lease has lapsed.
  std::optional<Duration> KeepLeaseAlive(LeaseId lease, Timestamp now);
  /// @return whether the lease has not lapsed.
  bool HasLease(LeaseId lease, Timestamp now);
  bool RevokeLease(LeaseId lease);
  /// Deletes the keys of lapsed leases.
  void ExpireLeases(Timestamp now);
  /// @return the changes in `range` from revision `start` on, grouped by revision.
  std::vector<WatchBatch> EventsSince(const KeyRange& range, StoreRevision start) const;
  StoreRevision revision() const { return {era_, revision_}; }
  /// @return whether a watch may begin there: false for a revision that was not given out yet.
  bool CanWatchFrom(StoreRevision start) const { return start.number <= revision_ + 1; }
  /// Comes back as `copy`, an earlier state of this table: what was written since is gone, and its
  /// revisions and leases are given out again. How often that happened is told by `era`.
  void RestoreFrom(const KeyValueTable& copy);
  std::int64_t era() const { return era_; }

 private:
  struct Lease {
    Duration time_to_live{0};
    Timestamp expires{};
  };
  bool Holds(const Comparison& comparison) const;
  void Apply(const Operation& operation);
  bool EndLease(std::int64_t lease);
  void StampEra();
  void DeleteKeysOf(std::int64_t lease);
  void Record(const WatchEvent& event);

  std::map<std::string, KeyValue> entries_;
  std::map<std::int64_t, Lease> leases_;  ///< By number.
  std::vector<WatchBatch> history_;
  std::int64_t revision_ = 1;
  std::int64_t era_ = 0;
  std::int64_t next_lease_ = 1;
};

}  // namespace moorfold
