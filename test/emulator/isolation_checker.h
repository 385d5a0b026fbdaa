#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// Judges whether callers of gateways that are cut off from all servers are served like those of
/// the others. Gateways that are disturbed otherwise are left out by the caller.
class IsolationChecker {
 public:
  using Time = BootClock::time_point;

  /// A cut of some gateways begins; the one before is judged.
  void CutBegan(std::set<int> gateways, Time at);
  void CutEnded();
  /// Records the end of a request that was sent once.
  /// @param sent_at when it was sent.
  void Ended(int gateway, bool served, Time sent_at);

  int cuts() const { return cuts_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Count {
    int sent = 0;
    int served = 0;
  };

  std::set<int> isolated_;
  Time judged_from_{};
  Count at_isolated_;
  Count at_others_;
  int cuts_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace moorfold
