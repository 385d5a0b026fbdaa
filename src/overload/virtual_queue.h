#pragma once

#include <algorithm>
#include <chrono>

#include "common/boot_clock.h"

namespace moorfold::overload {

/// The bytes that wait in a queue of known speed, computed from what was put into it. Run slower
/// than the link that it stands for, such a queue fills before the link's own does (Kunniyur and
/// Srikant, SIGCOMM 2001). Pure; single-threaded.
class VirtualQueue {
 public:
  using Time = BootClock::time_point;

  /// @param bytes_per_second 0: unknown, the queue then stays empty.
  explicit VirtualQueue(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

  /// @param bytes less than 0: so many that were added before do not come.
  void Add(double bytes, Time now) {
    if (bytes_per_second_ <= 0) return;
    const std::chrono::duration<double> taken(bytes / bytes_per_second_);
    empty_at_ = std::max(empty_at_, now) + std::chrono::duration_cast<BootClock::duration>(taken);
  }
  /// @return the time until all that was added has passed.
  BootClock::duration Delay(Time now) const {
    return std::max(BootClock::duration{}, empty_at_ - now);
  }
  double bytes_per_second() const { return bytes_per_second_; }
  /// Changes the speed for bytes that are added from now on.
  void SetBytesPerSecond(double bytes) { bytes_per_second_ = bytes; }

 private:
  double bytes_per_second_;
  Time empty_at_{};
};

}  // namespace moorfold::overload
