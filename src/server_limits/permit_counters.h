#pragma once

#include <cstdint>

namespace moorfold {

/// Counters of one daemon, exported as metrics.
struct PermitCounters {
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;  ///< Permit requests answered, from other daemons and from this one.
  /// Requests of this daemon that were granted a permit for a limited server.
  std::uint64_t granted = 0;
  std::uint64_t denied = 0;
  /// Requests sent on a fallback permit because no allocator responded.
  std::uint64_t fallback_permits = 0;
  std::uint64_t unanswered = 0;
  /// Responses that match no pending permit request or are not from the leader.
  std::uint64_t dropped = 0;
};

}  // namespace moorfold
