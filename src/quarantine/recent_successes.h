#pragma once

#include <chrono>
#include <deque>
#include <string_view>
#include <unordered_map>

#include "common/boot_clock.h"
#include "quarantine/fingerprint.h"

namespace moorfold::quarantine {

using Time = BootClock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Remembers which fingerprints servers of which version lately completed responses to. Keeps a
/// bounded number of them. Not thread-safe.
class RecentSuccesses {
 public:
  explicit RecentSuccesses(Milliseconds window) : window_(window) {}

  void Record(const Fingerprint& fingerprint, std::string_view version, Time now);
  bool Contains(const Fingerprint& fingerprint, std::string_view version, Time now) const;

 private:
  /// @return a key that differs between versions.
  static Fingerprint KeyOf(const Fingerprint& fingerprint, std::string_view version);

  Milliseconds window_;
  std::unordered_map<Fingerprint, Time, FingerprintHash> at_;
  std::deque<Fingerprint> order_;  ///< Of first entry.
};

}  // namespace moorfold::quarantine
