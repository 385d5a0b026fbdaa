#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "common/boot_clock.h"

namespace moorfold {

/// This daemon's share of the fleet's retry budget. In any sliding window, retries are limited to a
/// ratio of the daemon's own first attempts in that window plus a fixed minimum. Each daemon
/// respects its share, so the budget holds over the fleet without messages. One object per service;
/// not thread-safe.
class WindowedRetryBudget {
 public:
  using Time = BootClock::time_point;

  /// @param window length of the sliding window.
  /// @param ratio retries per first attempt; below the fleet's, as a margin for the window's edges.
  /// @param min_retries retries per window that are allowed without first attempts.
  WindowedRetryBudget(std::chrono::milliseconds window, double ratio, double min_retries)
      : slice_(window / kSlices), ratio_(ratio), min_retries_(min_retries) {}

  void set_min_retries(double min_retries) { min_retries_ = min_retries; }
  void RecordFirstAttempt(Time now) { ++At(now).first_attempts; }
  /// @return whether one more retry may be sent now; counts it if so.
  bool TryAcquireRetry(Time now) {
    if (Remaining(now) < 1) return false;
    ++At(now).retries;
    return true;
  }
  /// @return the number of retries that may still be sent now.
  double Remaining(Time now) {
    At(now);
    double first_attempts = 0;
    double retries = 0;
    for (const Slice& counted : slices_) {
      first_attempts += counted.first_attempts;
      retries += counted.retries;
    }
    return first_attempts * ratio_ + min_retries_ - retries;
  }

 private:
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t first_attempts = 0;
    std::uint32_t retries = 0;
  };
  static constexpr int kSlices = 10;

  /// @return the slice of `now`, after clearing the slices that have left the window.
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
  double min_retries_;
  std::array<Slice, kSlices> slices_{};
};

}  // namespace moorfold
