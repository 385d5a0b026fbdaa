#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "common/boot_clock.h"

namespace moorfold {

/// Bounds on what the connections of a process hold for requests.
struct RequestMemoryLimits {
  std::size_t bytes = 0;  ///< Of all connections together; 0: unlimited.
  /// Accounts above this size leave the reserved share of `bytes` to smaller ones.
  std::size_t small_account_bytes = 256 * 1024;
  double reserved_share = 0.25;
  /// A connection that owes bytes of a request and has sent none for so long is stalled.
  std::chrono::milliseconds stalled_after{1'000};
};

/// Why a connection had to give its memory or its place to others.
enum class EvictionReason : std::uint8_t { kStalled, kLargest, kIdle };
/// @return the name used in logs and metrics.
const char* Name(EvictionReason reason);

/// Counts the bytes that connections hold for requests: heads, bodies while they are read and while
/// they are kept for retries, read buffers, and receive buffers of the kernel. Bytes are charged
/// before memory is taken. When they do not fit, the connection that deserves its memory least is
/// evicted: stalled ones first, then those that hold more than the connection in need, the largest
/// first. Not thread-safe.
class RequestMemory {
 public:
  using Time = BootClock::time_point;

  /// What a connection does; requests that have been read are never evicted.
  enum class Phase : std::uint8_t {
    kNew,      ///< Has sent nothing yet.
    kReading,  ///< Has sent a part of a request.
    kServing,  ///< Its request has been read.
    kIdle      ///< Rests between requests.
  };

  /// Owner of an account.
  class Holder {
   public:
    virtual ~Holder() = default;
    /// Gives back at once what can be given back, and ends the connection.
    virtual void Evict(EvictionReason reason) = 0;
  };

  /// The bytes of one connection. Given back when the account ends.
  class Account {
   public:
    /// @param group identifies the server that the connection belongs to.
    Account(std::shared_ptr<RequestMemory> memory, Holder& holder, const void* group);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    /// Changes what the account holds.
    /// @return false if the bytes cannot be had; the account then holds what it held before.
    bool Resize(std::size_t bytes);
    void SetPhase(Phase phase);
    /// Records that bytes have arrived.
    void RecordProgress() { progress_at_ = BootClock::now(); }
    std::size_t bytes() const { return bytes_; }

   private:
    friend class RequestMemory;

    std::shared_ptr<RequestMemory> memory_;
    Holder& holder_;
    const void* group_;
    std::size_t bytes_ = 0;
    Phase phase_ = Phase::kNew;
    bool evicted_ = false;
    Time progress_at_ = BootClock::now();
  };

  using EvictionHandler = std::function<void(EvictionReason reason, std::size_t bytes)>;

  explicit RequestMemory(RequestMemoryLimits limits) : limits_(limits) {}
  RequestMemory(const RequestMemory&) = delete;
  RequestMemory& operator=(const RequestMemory&) = delete;

  /// Calls `handler` after each eviction.
  void OnEviction(EvictionHandler handler) { on_eviction_ = std::move(handler); }
  /// Evicts up to `count` connections of a group that are stalled or have rested long, to make room
  /// for new ones.
  /// @return number of connections evicted.
  std::size_t EvictInactive(const void* group, std::size_t count);
  const RequestMemoryLimits& limits() const { return limits_; }
  std::size_t bytes() const { return bytes_; }
  std::size_t peak_bytes() const { return peak_bytes_; }
  /// @return number of charges that did not fit.
  std::uint64_t charges_denied() const { return charges_denied_; }

 private:
  /// @return whether an account of that size may add so many bytes now.
  bool Fits(std::size_t account_bytes, std::size_t added) const;
  bool MakeRoom(const Account& needy, std::size_t needy_bytes, std::size_t added);
  bool IsStalled(const Account& account, Time now) const;
  /// @return the account to evict for one that would hold `needy_bytes`; null: none.
  Account* LeastDeserving(const Account& needy, std::size_t needy_bytes, Time now) const;
  /// @return the account of the group that has been inactive for the longest time; null: none has
  /// been for long enough.
  Account* LongestInactive(const void* group, Time now) const;
  void Evict(Account& account, EvictionReason reason);

  RequestMemoryLimits limits_;
  EvictionHandler on_eviction_;
  std::set<Account*> accounts_;
  std::size_t bytes_ = 0;
  std::size_t peak_bytes_ = 0;
  std::uint64_t charges_denied_ = 0;
};

}  // namespace moorfold
