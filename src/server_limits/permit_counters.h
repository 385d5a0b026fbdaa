#pragma once

#include <cstdint>

namespace moorfold {

/// Counts of one daemon, for its figures.
struct PermitCounters {
  std::uint64_t asked = 0;
  std::uint64_t answered = 0;  ///< Questions of other daemons and of this one.
  std::uint64_t granted = 0;   ///< Requests here that may be sent to a limited server.
  std::uint64_t denied = 0;
  std::uint64_t fallback_permits = 0;  ///< Sent while nobody answered.
  std::uint64_t unanswered = 0;
  std::uint64_t dropped = 0;  ///< Answers to no question.
};

}  // namespace moorfold
