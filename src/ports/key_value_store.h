#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/time.h"
#include "ports/store_revision.h"

namespace moorfold {

/// Why a platform call did not answer. Callbacks cannot throw across threads and time, so ports
/// hand this over as a value; adapters throw it nowhere.
enum class PlatformFault : std::uint8_t {
  kUnavailable,  ///< Not reached: the call was not carried out.
  kRateLimited,  ///< Refused: the call was not carried out; try again later.
  kNoAnswer,     ///< It may have been carried out: read before trying again.
  kRejected,     ///< The service understood and refused; trying again is useless.
};

/// @return a word for metrics and logs.
inline const char* ToString(PlatformFault fault) {
  switch (fault) {
    case PlatformFault::kUnavailable:
      return "unavailable";
    case PlatformFault::kRateLimited:
      return "rate_limited";
    case PlatformFault::kNoAnswer:
      return "no_answer";
    case PlatformFault::kRejected:
      return "rejected";
  }
  return "unknown";
}

struct PlatformFailure {
  PlatformFault fault = PlatformFault::kUnavailable;
  std::string message;
};

/// A value or the reason why there is none.
template <typename T>
class Outcome {
 public:
  Outcome(T value) : content_(std::move(value)) {}                    // NOLINT: converts on purpose
  Outcome(PlatformFailure failure) : content_(std::move(failure)) {}  // NOLINT
  bool ok() const { return std::holds_alternative<T>(content_); }
  const T& value() const { return std::get<T>(content_); }
  const PlatformFailure& failure() const { return std::get<PlatformFailure>(content_); }

 private:
  std::variant<T, PlatformFailure> content_;
};

/// Keys from `key` up to but not including `end`; an empty `end` means just `key`.
struct KeyRange {
  std::string key;
  std::string end;

  bool Contains(const std::string& candidate) const {
    return end.empty() ? candidate == key : candidate >= key && candidate < end;
  }
};

/// @return the range of all keys that begin with `prefix`.
inline KeyRange PrefixRange(std::string prefix) {
  std::string end = prefix;
  end.back() = static_cast<char>(end.back() + 1);
  return {std::move(prefix), std::move(end)};
}

struct KeyValue {
  std::string key;
  std::string value;
  StoreRevision mod_revision;
  LeaseId lease;
  /// Whether its value could be read: another writer may have left something else there.
  bool readable = true;
};
struct RangeResult {
  StoreRevision revision;
  std::vector<KeyValue> entries;  ///< In the order of their keys.
  bool more = false;              ///< Of a page: there are keys after its last one.
};

/// Holds when the key's last change has this revision; number 0: the key does not exist. It never
/// holds in another era than its own.
struct Comparison {
  std::string key;
  StoreRevision mod_revision;
};
struct PutOperation {
  std::string key;
  std::string value;
  LeaseId lease;
};
struct DeleteOperation {
  std::string key;
};
using Operation = std::variant<PutOperation, DeleteOperation>;

/// All operations take effect at once if all comparisons hold; else nothing does.
struct Transaction {
  std::vector<Comparison> comparisons;
  std::vector<Operation> operations;
};
struct TransactionResult {
  bool succeeded = false;
  StoreRevision revision;
};

struct WatchEvent {
  bool deleted = false;
  KeyValue entry;
};
struct WatchBatch {
  StoreRevision revision;
  std::vector<WatchEvent> events;
};

/// From which state of the service a read may be answered.
enum class ReadConsistency : std::uint8_t {
  kLinearizable,  ///< No older than any answer given before.
  kPossiblyStale  ///< Possibly seconds old, where the service offers such reads at less cost.
};

/// A running watch; destroying it ends the watch without a further callback.
class WatchHandle {
 public:
  virtual ~WatchHandle() = default;
};

/// The platform's key-value service (etcd v3 semantics). Every call answers its callback exactly
/// once, on the thread that runs the implementation; never from within the call itself.
/// Some services come back from an older copy of themselves, which begins an era (see
/// StoreRevision). What names a revision or a lease of an earlier era has no effect in a later one:
/// - a transaction that compares with it, or writes under it, does not succeed; where it may have
///   been carried out before the era was known, it fails with kNoAnswer;
/// - a renewal and a watch end with kRejected;
/// - answers of an earlier era than one that was answered before are handed over as kNoAnswer.
class KeyValueStore {
 public:
  template <typename T>
  using Callback = std::function<void(Outcome<T>)>;
  using WatchCallback = std::function<void(const WatchBatch&)>;
  using WatchEndCallback = std::function<void(PlatformFailure)>;

  virtual ~KeyValueStore() = default;
  virtual void Range(KeyRange range, Callback<RangeResult> done) = 0;
  /// The same with a choice. A service that offers no stale reads answers with a linearizable one.
  virtual void Range(KeyRange range, ReadConsistency consistency, Callback<RangeResult> done) {
    static_cast<void>(consistency);
    Range(std::move(range), std::move(done));
  }
  /// As many of the first keys as one answer of the service holds, and whether there are more. A
  /// service that has no pages answers with all.
  virtual void RangePage(KeyRange range, Callback<RangeResult> done) {
    Range(std::move(range), std::move(done));
  }
  /// A read that may be given up: of one that takes several answers no more are asked for once
  /// `wanted` does not hold; it then fails with kNoAnswer.
  virtual void RangeWhile(std::function<bool()> wanted, KeyRange range, ReadConsistency consistency,
                          Callback<RangeResult> done) {
    static_cast<void>(wanted);
    Range(std::move(range), consistency, std::move(done));
  }
  virtual void Transact(Transaction transaction, Callback<TransactionResult> done) = 0;
  /// @param time_to_live whole seconds, at least one.
  virtual void GrantLease(Duration time_to_live, Callback<LeaseId> done) = 0;
  /// Answers kRejected when the lease has lapsed.
  virtual void KeepLeaseAlive(LeaseId lease, Callback<Duration> done) = 0;
  virtual void RevokeLease(LeaseId lease, Callback<bool> done) = 0;
  /// Delivers changes from revision `start` on, in order, without gaps, until `ended` is called
  /// (once) or the handle is destroyed.
  [[nodiscard]] virtual std::unique_ptr<WatchHandle> Watch(KeyRange range, StoreRevision start,
                                                           WatchCallback changed,
                                                           WatchEndCallback ended) = 0;
  /// @return reads that were sent once more since their answers were late, over all its life.
  virtual std::uint64_t repeated_reads() const { return 0; }
  /// @return the newest era that any answer has told; 0 before any, and where none is told.
  virtual std::int64_t era() const { return 0; }
};

}  // namespace moorfold
