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

/// Whether this daemon grants permits.
enum class AllocatorRole : std::uint8_t {
  kNone,    ///< Another daemon is the leader.
  kDeputy,  ///< The last known leader: its lease has expired, and it knows of no successor.
  kLeader
};

/// Grants permits for rate-limited servers to all daemons: evenly spaced and first come, first
/// served. Only one daemon allocates for a server, so the total stays within the limit however many
/// daemons ask. A new leader starts without saved permits.
///
/// Rejected alternatives: with equal shares per daemon, a server that only a few daemons use stays
/// idle, and a share of one permit per quarter of an hour is of no use. With credit that each
/// daemon accrues and pools, as for tenant quotas, every daemon would need to know every limited
/// server.
///
/// Deterministic: time is passed in. Not thread-safe.
class PermitAllocator {
 public:
  PermitResponse Allocate(const PermitRequest& request, AllocatorRole role, Time now);
  /// @return number of servers that have an entry.
  std::size_t size() const { return entries_.size(); }

 private:
  using Key = std::pair<std::string, std::int64_t>;  ///< Server ID and incarnation.
  struct Entry {
    std::optional<double> limit_per_second;
    Time stated_at{};
    Time next_permit_at{};
    /// Requests denied since permits were last available; reduced by each grant.
    double denied_requests = 0;
    Time requested_at{};
  };

  Entry& FindOrCreate(const PermitRequest& request, AllocatorRole role, Time now);
  static BootClock::duration PermitInterval(const Entry& entry, AllocatorRole role);
  void RemoveStaleEntries(Time now);

  std::map<Key, Entry> entries_;
  Time next_cleanup_{};
};

}  // namespace moorfold::limits
