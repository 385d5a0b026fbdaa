#pragma once

#include <algorithm>
#include <chrono>

#include "common/boot_clock.h"

namespace moorfold {

/// Adapts the number of concurrent loads from the weight store. The store divides its bandwidth
/// among the loads: beyond some number each load takes longer, total throughput does not rise, and
/// urgent loads are delayed by the others. That number is not configured. It is estimated by
/// comparing the duration of finished and running loads with the duration that the operator states
/// for a single load. Single-threaded.
class LoadConcurrencyLimit {
 public:
  using Time = BootClock::time_point;

  /// Updates the limit with a finished load.
  /// @param expected Duration of the load when it runs alone.
  /// @param elapsed Observed duration, too long by up to one polling interval.
  /// @param concurrent_loads Number of loads in progress when it began, including itself.
  void RecordCompletedLoad(std::chrono::milliseconds expected, std::chrono::milliseconds elapsed,
                           std::size_t concurrent_loads, Time now) {
    if (expected.count() <= 0 || elapsed.count() <= 0 || concurrent_loads == 0) return;
    if (IsSlowed(expected, elapsed)) {
      LowerLimit(expected, elapsed, concurrent_loads, now);
      return;
    }
    InitializeLimit(expected);
    const bool full = static_cast<double>(concurrent_loads) >= limit_ - 1;
    if (full && now - last_slowdown_at_ > kRaiseHoldoff) limit_ = std::min(kMaxLimit, limit_ + 1);
  }
  /// Updates the limit with a running load. A load that is already late shows the slowdown long
  /// before it ends.
  void RecordLoadInProgress(std::chrono::milliseconds expected,
                            std::chrono::milliseconds elapsed_so_far, std::size_t concurrent_loads,
                            Time now) {
    if (expected.count() > 0 && concurrent_loads > 0 && IsSlowed(expected, elapsed_so_far))
      LowerLimit(expected, elapsed_so_far, concurrent_loads, now);
  }
  /// @param expected Duration of the next load when it runs alone.
  /// @return the number of loads that may begin in addition to those in progress.
  double AvailableLoads(std::size_t under_way, std::chrono::milliseconds expected) {
    const double limit = initialized_ ? limit_ : InitialLimit(expected);
    return std::max(0.0, limit - static_cast<double>(under_way));
  }
  double limit() const { return limit_; }

 private:
  /// Ratio of elapsed to expected time above which a load counts as slowed; greater than the error
  /// of reports and polls.
  static constexpr double kSlowdownThreshold = 1.25;
  /// How late the end of a load is observed: a report describes the state some hundred ms earlier,
  /// and reports are polled every 150 ms. Without this correction, loads of 1.3 s are wrongly
  /// counted as slowed.
  static constexpr std::chrono::milliseconds kObservationDelay{500};
  static constexpr double kMinLimit = 1;
  static constexpr double kMaxLimit = 1'000;
  /// Limit before any load has been timed; lower where each load takes long. With a store that
  /// gives one load its full bandwidth, four loads of 13 s all take 53 s, and the most urgent one
  /// finishes no sooner than the least urgent.
  static constexpr double kMaxInitialLimit = 4;
  /// Total duration of the loads that begin before any load has been timed.
  static constexpr std::chrono::milliseconds kInitialTotalLoadTime{12'000};
  /// How long after a slowed load the limit is not raised.
  static constexpr std::chrono::seconds kRaiseHoldoff{60};

  static bool IsSlowed(std::chrono::milliseconds expected, std::chrono::milliseconds elapsed) {
    const auto observed = elapsed - kObservationDelay;
    return static_cast<double>(observed.count()) >
           kSlowdownThreshold * static_cast<double>(expected.count());
  }
  static double InitialLimit(std::chrono::milliseconds expected) {
    const auto one = std::max(std::chrono::milliseconds(1), expected);
    const double fitting_loads =
        static_cast<double>(kInitialTotalLoadTime.count()) / static_cast<double>(one.count());
    return std::clamp(fitting_loads, kMinLimit, kMaxInitialLimit);
  }
  void InitializeLimit(std::chrono::milliseconds expected) {
    if (!initialized_) limit_ = InitialLimit(expected);
    initialized_ = true;
  }
  void LowerLimit(std::chrono::milliseconds expected, std::chrono::milliseconds elapsed,
                  std::size_t concurrent_loads, Time now) {
    InitializeLimit(expected);
    const double slowdown =
        static_cast<double>(elapsed.count()) / static_cast<double>(expected.count());
    limit_ = std::clamp(std::min(limit_, static_cast<double>(concurrent_loads) / slowdown),
                        kMinLimit, kMaxLimit);
    last_slowdown_at_ = now;
  }

  double limit_ = kMaxInitialLimit;
  bool initialized_ = false;
  Time last_slowdown_at_ = Time{} - kRaiseHoldoff;
};

}  // namespace moorfold
