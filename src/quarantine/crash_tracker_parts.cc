// The decisions of CrashTracker on parts of prompts.

#include <algorithm>
#include <iterator>
#include <set>

#include "quarantine/crash_tracker.h"

namespace moorfold::quarantine {

namespace {

/// A part of prompts is on more crashed servers by chance than a request is.
constexpr std::size_t kMinCrashesOfPart = 3;
/// Parts that always come together cannot be told apart, so after that many crashes all of them are
/// quarantined.
constexpr std::size_t kMaxCrashesOfPart = 5;
/// The most parts that one request shares with others. If more are equally likely, most of them
/// belong to sound requests on the crashed servers, and only the first of them is quarantined.
constexpr std::size_t kMaxEquallyLikelyParts = 8;
/// Crashes of trial requests after which the part that they have is proven guilty: a single one may
/// have another cause.
constexpr std::size_t kMinCrashesInTrials = 2;

}  // namespace

std::size_t CrashTracker::MomentCount(std::vector<Time> times) {
  std::sort(times.begin(), times.end());
  std::size_t moments = 0;
  Time counted{};
  for (const Time time : times) {
    if (moments > 0 && time - counted < kSameMoment) continue;
    counted = time;
    ++moments;
  }
  return moments;
}

std::size_t CrashTracker::CrashMoments(const Case& tracked, std::string_view version) {
  std::vector<Time> times;
  for (const Crash& crash : tracked.crashes)
    if (crash.version == version) times.push_back(crash.at);
  return MomentCount(std::move(times));
}

Time CrashTracker::LastClearance(const Case& tracked, std::string_view version) {
  Time last{};
  for (const Clearance& clearance : tracked.clearances)
    if (clearance.version.empty() || clearance.version == version)
      last = std::max(last, clearance.at);
  return last;
}

CrashTracker::OtherSuspects CrashTracker::CompareParts(const Fingerprint& fingerprint,
                                                       const Case& tracked,
                                                       const std::string& server_id,
                                                       std::string_view version) const {
  OtherSuspects suspects;
  const std::size_t own_moments = CrashMoments(tracked, version);
  const Time own_clearance = LastClearance(tracked, version);
  const auto on_server = cases_by_server_.find(server_id);
  if (on_server == cases_by_server_.end()) return suspects;
  std::size_t as_likely = 0;
  bool quarantined_before = false;
  for (const Fingerprint& other : on_server->second) {
    const auto existing = cases_.find(other);
    if (other == fingerprint || !IsPartFingerprint(other) || existing == cases_.end()) continue;
    const bool quarantined = IsQuarantined(existing->second, version);
    const std::size_t moments = CrashMoments(existing->second, version);
    const Time clearance = LastClearance(existing->second, version);
    const bool cleared_earlier = clearance < own_clearance;
    quarantined_before = quarantined_before || quarantined;
    if (quarantined && (moments > own_moments || cleared_earlier)) suspects.explain_crash = true;
    if (moments < own_moments) continue;
    if (cleared_earlier && !quarantined) suspects.one_is_likelier = true;
    if (clearance == own_clearance) ++as_likely;
  }
  suspects.one_is_as_likely = as_likely > 0;
  if (quarantined_before && as_likely >= kMaxEquallyLikelyParts) suspects.explain_crash = true;
  return suspects;
}

bool CrashTracker::IsGuiltyPart(const Fingerprint& fingerprint, const Case& tracked,
                                const std::string& version, Time now) const {
  if (CrashMoments(tracked, version) < kMinCrashesOfPart) return false;
  std::vector<Time> unexplained;
  bool other_as_likely = false;
  for (const Crash& crash : tracked.crashes) {
    if (crash.version != version) continue;
    const OtherSuspects suspects = CompareParts(fingerprint, tracked, crash.server_id, version);
    if (suspects.one_is_likelier) return false;
    other_as_likely = other_as_likely || suspects.one_is_as_likely;
    if (!suspects.explain_crash) unexplained.push_back(crash.at);
  }
  const std::size_t unexplained_moments = MomentCount(std::move(unexplained));
  if (unexplained_moments >= kMaxCrashesOfPart) return true;
  return unexplained_moments >= kMinCrashesOfPart && !other_as_likely &&
         now - tracked.last_crash_learned_at >= settings_.propagation_time;
}

QuarantineState CrashTracker::StateOfParts(const std::vector<Fingerprint>& parts,
                                           std::string_view version) const {
  QuarantineState state = QuarantineState::kClear;
  for (const Fingerprint& part : parts) {
    if (!IsQuarantined(part, version)) continue;
    if (IsProvenGuilty(cases_.at(part), parts, version)) return QuarantineState::kQuarantined;
    state = QuarantineState::kUnproven;
  }
  return state;
}

bool CrashTracker::IsProvenGuilty(const Case& part,
                                  const std::vector<Fingerprint>& parts_of_request,
                                  std::string_view version) const {
  std::vector<Time> unexplained;
  Time last_explained{};
  for (const Crash& crash : part.crashes) {
    if (crash.version != version) continue;
    if (IsExplainedByOtherPart(part, crash.server_id, parts_of_request, version))
      last_explained = std::max(last_explained, crash.at);
    else
      unexplained.push_back(crash.at);
  }
  if (last_explained == Time{} || MomentCount(unexplained) >= kMinCrashesOfPart) return true;
  std::erase_if(unexplained, [&](Time at) { return at <= last_explained; });
  return MomentCount(std::move(unexplained)) >= kMinCrashesInTrials;
}

bool CrashTracker::IsExplainedByOtherPart(const Case& part, const std::string& server_id,
                                          const std::vector<Fingerprint>& parts_of_request,
                                          std::string_view version) const {
  const auto on_server = cases_by_server_.find(server_id);
  if (on_server == cases_by_server_.end()) return false;
  const auto explains_crash = [&](const Fingerprint& other) {
    const auto existing = cases_.find(other);
    if (!IsPartFingerprint(other) || existing == cases_.end()) return false;
    const Case& tracked = existing->second;
    const bool enough_crashes =
        IsQuarantined(tracked, version) || (CrashCount(tracked, version) >= kMinCrashesOfPart &&
                                            CrashMoments(tracked, version) >= kMinCrashesOfPart);
    return enough_crashes && LastClearance(tracked, version) <= LastClearance(part, version);
  };
  return std::any_of(
      on_server->second.begin(), on_server->second.end(), [&](const Fingerprint& other) {
        const bool in_request = std::find(parts_of_request.begin(), parts_of_request.end(),
                                          other) != parts_of_request.end();
        return !in_request && explains_crash(other);
      });
}

std::vector<std::string> CrashTracker::ServersExplainedBy(const Fingerprint& fingerprint,
                                                          const Case& tracked) {
  std::vector<std::string> servers;
  if (!IsPartFingerprint(fingerprint) || tracked.quarantined_versions.empty()) return servers;
  for (const Crash& crash : tracked.crashes) servers.push_back(crash.server_id);
  return servers;
}

void CrashTracker::EvaluatePartsOn(const std::vector<std::string>& server_ids, Time now,
                                   Effects& effects) {
  std::set<Fingerprint> parts;
  for (const std::string& server_id : server_ids) {
    const auto on_server = cases_by_server_.find(server_id);
    if (on_server == cases_by_server_.end()) continue;
    std::copy_if(on_server->second.begin(), on_server->second.end(),
                 std::inserter(parts, parts.end()), IsPartFingerprint);
  }
  for (const Fingerprint& part : parts) {
    const auto existing = cases_.find(part);
    if (existing != cases_.end()) EvaluateCase(part, existing->second, now, effects);
  }
}

}  // namespace moorfold::quarantine
