#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

#include "common/boot_clock.h"

namespace moorfold::retry {

using Time = BootClock::time_point;

/// Retries that one daemon has earned with the requests that it took for one service. Each request
/// earns a fraction of a retry, and a whole one expires after an eighth of the budget's window. So
/// the fleet's retries of any window are bounded by the requests of little more than one window,
/// whichever daemons took them and however often daemons restart: a new process has earned nothing.
/// Deterministic: time is passed in. Not thread-safe.
class EarnedRetries {
 public:
  /// @param window length of the budget's sliding window.
  /// @param ratio retries per request that the whole fleet may send.
  EarnedRetries(std::chrono::milliseconds window, double ratio);

  /// @param arrived when the client's request arrived.
  void RecordRequest(Time arrived);
  /// @return number of retries that may be sent now.
  std::size_t Available(Time now);
  /// @return whether a retry may be sent now; counts it if so.
  bool TryTake(Time now);

 private:
  BootClock::duration lifetime_;
  double retries_per_request_;
  double fraction_ = 0;         ///< Of the next retry.
  std::deque<Time> earned_at_;  ///< Of each unused retry, oldest first.
};

}  // namespace moorfold::retry
