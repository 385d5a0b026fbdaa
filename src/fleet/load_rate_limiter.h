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

  void RecordLoad(Time now) { ends_.push_back(now + window_); }
  /// A load whose order may be carried out up to kLatest later.
  void RecordUnansweredLoad(Time now) { ends_.push_back(now + window_ + kLatest); }
  /// Leaves room for loads that an older leader may have begun.
  void RecordAssumedLoads(double loads, Time now) {
    for (double load = 0; load < loads; load += 1) RecordLoad(now);
  }
  /// A load of an older leader, which counts until `end`.
  void RecordLoadUntil(Time end) { ends_.push_back(end); }
  /// @return for how long each load that counts now still does.
  std::vector<std::chrono::milliseconds> Remaining(Time now) const {
    std::vector<std::chrono::milliseconds> remaining;
    for (const Time end : ends_)
      if (end > now) remaining.push_back(std::chrono::ceil<std::chrono::milliseconds>(end - now));
    return remaining;
  }
  /// @return loads that may begin now.
  double AvailableLoads(double per_second, Time now) {
    std::erase_if(ends_, [&](Time end) { return end <= now; });
    const double most = per_second * std::chrono::duration<double>(window_).count();
    return std::max(0.0, most - static_cast<double>(ends_.size()));
  }

 private:
  static constexpr std::chrono::seconds kLatest{13};
  std::chrono::milliseconds window_;
  std::deque<Time> ends_;
};

}  // namespace moorfold
