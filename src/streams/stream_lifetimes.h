#pragma once

#include <chrono>

namespace moorfold::streams {

/// How long facts about streams hold.
struct StreamLifetimes {
  /// Longest time from a stream's first event to the last attempt that resumes it.
  std::chrono::milliseconds stream{60'000};
  /// Age up to which a daemon acts on an implied version that it has read.
  std::chrono::milliseconds record{180'000};
};

}  // namespace moorfold::streams
