#pragma once

#include <algorithm>
#include <cstddef>

#include "common/boot_clock.h"

namespace moorfold::overload {

/// Finds out from the times that connections need to come up whether packets queue in this daemon's
/// own link. A slow server delays the connections to it alone; what delays all of them is on the
/// way. As in CoDel (Nichols and Jacobson, ACM Queue 2012) the smallest delay of an interval
/// counts, which a short burst does not raise. Pure; single-threaded.
class ConnectDelay {
 public:
  using Time = BootClock::time_point;

  /// @param delay beyond the least that a connection to that server has taken.
  /// @return whether an interval with enough samples has ended.
  bool Add(BootClock::duration delay, Time now) {
    if (samples_ == 0) began_ = now;
    smallest_ = samples_ == 0 ? delay : std::min(smallest_, delay);
    ++samples_;
    if (samples_ < kMinSamples || now - began_ < kInterval) return false;
    standing_ = smallest_ > kMaxDelay;
    decided_at_ = now;
    samples_ = 0;
    return true;
  }
  /// @return whether connections queue now; not if there were too few lately to tell.
  bool standing(Time now) const { return standing_ && now - decided_at_ < kLifetime; }

 private:
  static constexpr std::size_t kMinSamples = 4;
  static constexpr std::chrono::milliseconds kInterval{100};
  static constexpr std::chrono::milliseconds kMaxDelay{50};
  static constexpr std::chrono::milliseconds kLifetime{300};

  std::size_t samples_ = 0;
  BootClock::duration smallest_{};
  Time began_{};
  bool standing_ = false;
  Time decided_at_{};
};

}  // namespace moorfold::overload
