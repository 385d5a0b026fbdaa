#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "common/boot_clock.h"

namespace moorfold::limits {

/// Grants permits from the fallback share of a server's limit while no permit allocator responds.
/// Each daemon may send one request in a short time slot that recurs at regular intervals. The
/// phase of the slots is random, so the slots of the daemons are spread over time. An unused slot
/// is lost, so daemons cannot send a burst of saved permits.
///
/// Deterministic apart from the random phase. Not thread-safe.
class FallbackPermits {
 public:
  using Time = BootClock::time_point;

  explicit FallbackPermits(std::uint64_t seed) : random_(seed) {}

  /// Takes the permit of the current slot.
  /// @param daemons number of daemons that share the limit; 0 if unknown.
  /// @return whether there is a slot now whose permit has not been taken.
  bool TryAcquire(const std::string& server_id, double limit_per_second, std::uint32_t daemons,
                  Time now);

 private:
  struct Schedule {
    double phase = 0;  ///< Offset of the slots, as a fraction of the interval.
    Time used_at{};
    Time requested_at{};
  };
  std::mt19937_64 random_;
  std::map<std::string, Schedule> schedules_;
};

}  // namespace moorfold::limits
