#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// Bounds how many loads from the weight store begin in any window of time. A load that got no
/// answer may begin later, so it counts for longer. One thread.
class LoadRateLimiter {
 public:
  using Time = BootClock::time_point;

  explicit LoadRateLimiter(std::chrono::milliseconds window) : window_(window) {}

  void RecordLoad(Time now) { counted_until_.push_back(now + window_); }
  /// A load whose order may be carried out up to kMaxExecutionDelay later.
  void RecordUnansweredLoad(Time now) {
    counted_until_.push_back(now + window_ + kMaxExecutionDelay);
  }
  /// Leaves room for loads that an older leader may have begun.
  void RecordAssumedLoads(double loads, Time now) {
    for (double load = 0; load < loads; load += 1) RecordLoad(now);
  }
  /// A load of an older leader, which counts until `end`.
  void RecordLoadUntil(Time end) { counted_until_.push_back(end); }
  /// @return for how long each load that counts now still does.
  std::vector<std::chrono::milliseconds> Remaining(Time now) const {
    std::vector<std::chrono::milliseconds> remaining;
    for (const Time end : counted_until_)
      if (end > now) remaining.push_back(std::chrono::ceil<std::chrono::milliseconds>(end - now));
    return remaining;
  }
  /// @return loads that may begin now.
  double AvailableLoads(double per_second, Time now) {
    std::erase_if(counted_until_, [&](Time end) { return end <= now; });
    const double max_loads = per_second * std::chrono::duration<double>(window_).count();
    return std::max(0.0, max_loads - static_cast<double>(counted_until_.size()));
  }

 private:
  static constexpr std::chrono::seconds kMaxExecutionDelay{13};
  std::chrono::milliseconds window_;
  std::deque<Time> counted_until_;
};

}  // namespace moorfold
