#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "common/boot_clock.h"
#include "server_limits/permit_messages.h"

namespace moorfold::limits {

using Time = BootClock::time_point;

/// Whether this daemon gives turns out.
enum class AllocatorRole : std::uint8_t {
  kNone,    ///< Another leads.
  kDeputy,  ///< It led last, as far as it knows: its lease has run out, and it knows of no other.
  kLeader
};

/// Shares the limits of servers out among all daemons: one turn after the other, evenly spaced,
/// each to the daemon that asks first. One daemon has it, so the sum keeps to the limit however
/// many daemons ask; whoever takes over begins without turns saved up.
///
/// Ways that were weighed: equal shares for each daemon leave a server idle that few of them use,
/// and a share of one turn in a quarter of an hour helps nobody; credit that each daemon makes and
/// pools, as tenants' quotas have it, needs every daemon to know of every limited server.
///
/// Pure; one thread.
class PermitAllocator {
 public:
  PermitResponse Answer(const PermitRequest& question, AllocatorRole role, Time now);
  /// @return servers of which a limit is known.
  std::size_t size() const { return entries_.size(); }

 private:
  using Key = std::pair<std::string, std::int64_t>;  ///< Server and life.
  struct Entry {
    std::optional<double> limit_per_second;
    Time stated_at{};
    Time next_turn{};
    /// Denied since turns were last to be had.
    double denied = 0;
    Time asked_at{};
  };

  Entry& Find(const PermitRequest& question, AllocatorRole role, Time now);
  static BootClock::duration Between(const Entry& entry, AllocatorRole role);
  void Forget(Time now);

  std::map<Key, Entry> entries_;
  Time forget_due_{};
};

}  // namespace moorfold::limits
