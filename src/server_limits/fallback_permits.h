#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "common/boot_clock.h"

namespace moorfold::limits {

/// A daemon's own part of servers' limits, for while nobody answers that shares them out: a moment
/// now and then, at times that no two daemons have in common, in which one request may go there.
/// What is not used is lost, so that daemons never spend saved turns all at once.
///
/// Pure but for the draw of its times; one thread.
class FallbackPermits {
 public:
  using Time = BootClock::time_point;

  explicit FallbackPermits(std::uint64_t seed) : random_(seed) {}

  /// Takes this moment's turn, if it is one.
  /// @param daemons that share the limit.
  bool TryAcquire(const std::string& server_id, double limit_per_second, std::uint32_t daemons,
                  Time now);

 private:
  struct Turns {
    double phase = 0;  ///< Of its moments, as a share of the time between two.
    Time used_at{};
    Time asked_at{};
  };
  std::mt19937_64 random_;
  std::map<std::string, Turns> turns_;
};

}  // namespace moorfold::limits
