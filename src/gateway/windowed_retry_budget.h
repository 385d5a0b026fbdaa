#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "common/boot_clock.h"

namespace moorfold {

/// This daemon's share of the fleet's retry budget: in any window, no more repeats than a share of
/// its own first sends in that window, and a few. Each daemon keeps to its share, so the sum holds
/// over the fleet without messages. One per service; one thread.
class WindowedRetryBudget {
 public:
  using Time = BootClock::time_point;

  /// @param window length of the sliding window.
  /// @param ratio repeats for each first send; below the fleet's, to leave room at its edges.
  /// @param free_repeats repeats that need no first sends.
  WindowedRetryBudget(std::chrono::milliseconds window, double ratio, double free_repeats)
      : slice_(window / kSlices), ratio_(ratio), free_repeats_(free_repeats) {}

  void set_free_repeats(double free_repeats) { free_repeats_ = free_repeats; }
  void RecordFirstAttempt(Time now) { ++At(now).firsts; }
  /// @return whether one more repeat may be sent now; counts it if so.
  bool TryAcquireRetry(Time now) {
    if (Left(now) < 1) return false;
    ++At(now).repeats;
    return true;
  }
  /// @return repeats that may still be sent now.
  double Left(Time now) {
    At(now);
    double firsts = 0;
    double repeats = 0;
    for (const Slice& counted : slices_) {
      firsts += counted.firsts;
      repeats += counted.repeats;
    }
    return firsts * ratio_ + free_repeats_ - repeats;
  }

 private:
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t firsts = 0;
    std::uint32_t repeats = 0;
  };
  static constexpr int kSlices = 10;

  /// The slice of `now`; slices that have left the window are emptied.
  Slice& At(Time now) {
    const std::int64_t number = now.time_since_epoch() / slice_;
    for (Slice& slice : slices_)
      if (slice.number <= number - kSlices) slice = Slice{};
    Slice& current = slices_[static_cast<std::size_t>(number % kSlices)];
    current.number = number;
    return current;
  }

  BootClock::duration slice_;
  double ratio_;
  double free_repeats_;
  std::array<Slice, kSlices> slices_{};
};

}  // namespace moorfold
