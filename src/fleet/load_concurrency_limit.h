#pragma once

#include <algorithm>
#include <chrono>

#include "common/boot_clock.h"

namespace moorfold {

/// How many loads from the weight store are worth having under way at once. The store shares its
/// speed among them: beyond some number each takes longer and none is gained, but the urgent ones
/// wait behind the others. That number is nowhere stated, so it is learned from how long loads
/// take, or are taking, against what the operator states for one alone. One thread.
class LoadConcurrencyLimit {
 public:
  using Time = BootClock::time_point;

  /// A load has ended.
  /// @param stated how long it takes alone.
  /// @param taken how long it took, as far as seen: up to a poll's pause too long.
  /// @param together loads that were under way when it began, itself included.
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
  /// A load is still under way: where it is late already, that shows long before its end.
  void RecordLoadInProgress(std::chrono::milliseconds expected,
                            std::chrono::milliseconds elapsed_so_far, std::size_t concurrent_loads,
                            Time now) {
    if (expected.count() > 0 && concurrent_loads > 0 && IsSlowed(expected, elapsed_so_far))
      LowerLimit(expected, elapsed_so_far, concurrent_loads, now);
  }
  /// @param stated how long the load that is to begin takes alone.
  /// @return loads that may begin beside those under way.
  double AvailableLoads(std::size_t under_way, std::chrono::milliseconds expected) {
    const double limit = initialized_ ? limit_ : InitialLimit(expected);
    return std::max(0.0, limit - static_cast<double>(under_way));
  }
  double limit() const { return limit_; }

 private:
  /// Ratio of times from which on a load counts as slowed: above the error of reports and polls.
  static constexpr double kSlowdownThreshold = 1.25;
  /// The end of a load is seen so much later: a report tells of some hundred ms before, and is
  /// asked for each 150 ms. Without it loads of 1.3 s count as slowed that are not.
  static constexpr std::chrono::milliseconds kObservationDelay{500};
  static constexpr double kMinLimit = 1;
  static constexpr double kMaxLimit = 1'000;
  /// Before any load has been timed: so many at once, or fewer where each takes long. Four loads of
  /// 13 s at a store that gives one its full speed all take 53 s, and the most urgent comes no
  /// sooner than the least.
  static constexpr double kMaxInitialLimit = 4;
  static constexpr std::chrono::milliseconds kInitialTotalLoadTime{
      12'000};  ///< Sum of their times.
  /// How long a slowed load keeps the limit from being tried again.
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
