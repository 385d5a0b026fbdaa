#include "quarantine/part_trials.h"

#include <algorithm>

namespace moorfold::quarantine {

namespace {

constexpr std::size_t kMaxPossibleCrashes = 2;

std::vector<Fingerprint> Sorted(std::vector<Fingerprint> parts) {
  std::sort(parts.begin(), parts.end());
  return parts;
}

}  // namespace

bool PartTrials::MayBegin(const std::vector<Fingerprint>& parts) const {
  if (failed_combinations_.contains(Sorted(parts))) return false;
  return std::all_of(parts.begin(), parts.end(), [this](const Fingerprint& part) {
    const auto existing = trials_.find(part);
    return existing == trials_.end() ||
           (!existing->second.in_flight && existing->second.possible_crashes < kMaxPossibleCrashes);
  });
}

void PartTrials::Begin(const std::vector<Fingerprint>& parts) {
  for (const Fingerprint& part : parts) trials_[part].in_flight = true;
}

void PartTrials::End(const std::vector<Fingerprint>& parts, bool crash_possible) {
  for (const Fingerprint& part : parts) {
    Trials& trials = trials_[part];
    trials.in_flight = false;
    if (crash_possible) ++trials.possible_crashes;
  }
  if (crash_possible && !parts.empty()) failed_combinations_.insert(Sorted(parts));
}

void PartTrials::Prune(const std::function<bool(const Fingerprint&)>& is_quarantined) {
  std::erase_if(trials_, [&](const auto& entry) {
    return !entry.second.in_flight && !is_quarantined(entry.first);
  });
  std::erase_if(failed_combinations_, [&](const std::vector<Fingerprint>& parts) {
    return std::none_of(parts.begin(), parts.end(), is_quarantined);
  });
}

}  // namespace moorfold::quarantine
