#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

#include "quarantine/fingerprint.h"

namespace moorfold::quarantine {

/// Trial requests that decide whether a quarantined part of prompts is sound, like those of a
/// half-open circuit breaker. At most one is in flight for each part. After a trial that may have
/// crashed its server, requests with the same quarantined parts are not tried again, since one of
/// these parts is probably guilty; after two such trials of a part, none with it is. Not
/// thread-safe.
class PartTrials {
 public:
  /// @param parts the quarantined parts of a request. @return whether it may be sent as a trial.
  bool MayBegin(const std::vector<Fingerprint>& parts) const;
  void Begin(const std::vector<Fingerprint>& parts);
  /// @param crash_possible false if the server completed the request or did not run it.
  void End(const std::vector<Fingerprint>& parts, bool crash_possible);
  /// Forgets the trials of parts that are no longer quarantined, apart from those in flight.
  void Prune(const std::function<bool(const Fingerprint&)>& is_quarantined);
  std::size_t size() const { return trials_.size(); }

 private:
  struct Trials {
    bool in_flight = false;
    std::size_t possible_crashes = 0;
  };
  std::unordered_map<Fingerprint, Trials, FingerprintHash> trials_;
  /// Parts that were together in a trial that may have crashed its server.
  std::set<std::vector<Fingerprint>> failed_combinations_;
};

}  // namespace moorfold::quarantine
