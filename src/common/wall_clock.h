#pragma once

#include <chrono>

#include "common/boot_clock.h"
#include "core/time.h"

namespace moorfold {

/// Microseconds since the Unix epoch that never go back: the system's time at the start of the
/// process, advanced by the monotonic clock.
class WallClock {
 public:
  WallClock()
      : start_(std::chrono::duration_cast<Duration>(
            std::chrono::system_clock::now().time_since_epoch())),
        steady_start_(BootClock::now()) {}

  Timestamp Now() const {
    const auto elapsed = BootClock::now() - steady_start_;
    return Timestamp(start_ + std::chrono::duration_cast<Duration>(elapsed));
  }

 private:
  Duration start_;
  BootClock::time_point steady_start_;
};

}  // namespace moorfold
