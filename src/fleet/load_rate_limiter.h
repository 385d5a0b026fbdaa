#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// Limits how many loads from the weight store begin within a sliding time window. A load without
/// an answer may begin later and therefore counts for longer. Single-threaded.
class LoadRateLimiter {
 public:
  using Time = BootClock::time_point;

  explicit LoadRateLimiter(std::chrono::milliseconds window) : window_(window) {}

  void RecordLoad(Time now) { counted_until_.push_back(now + window_); }
  /// Records a load whose order may still be executed up to kMaxExecutionDelay later.
  void RecordUnansweredLoad(Time now) {
    counted_until_.push_back(now + window_ + kMaxExecutionDelay);
  }
  /// Records loads that a previous leader is assumed to have begun now.
  void RecordAssumedLoads(double loads, Time now) {
    for (double load = 0; load < loads; load += 1) RecordLoad(now);
  }
  /// Records a load of a previous leader, which counts until `end`.
  void RecordLoadUntil(Time end) { counted_until_.push_back(end); }
  /// @return for each load that counts now, how long it still counts.
  std::vector<std::chrono::milliseconds> Remaining(Time now) const {
    std::vector<std::chrono::milliseconds> remaining;
    for (const Time end : counted_until_)
      if (end > now) remaining.push_back(std::chrono::ceil<std::chrono::milliseconds>(end - now));
    return remaining;
  }
  /// @return the number of loads that may begin now.
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
