#pragma once

#include <chrono>
#include <cstdint>

namespace moorfold {

/// The clock that every decision is made against. Its readings arrive inside events, so the core
/// never asks for the time. Unit: microseconds since the Unix epoch (UTC); the daemon advances it
/// by its monotonic clock, the simulator by its virtual one.
struct CoreClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<CoreClock>;
  static constexpr bool is_steady = true;  // NOLINT: the standard names it.
};

using Timestamp = CoreClock::time_point;
using Duration = CoreClock::duration;

/// @return seconds as a floating number, for reports and cost arithmetic.
inline double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

/// @param seconds may be fractional.
inline Duration FromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace moorfold
