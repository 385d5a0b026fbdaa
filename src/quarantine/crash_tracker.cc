#include "quarantine/crash_tracker.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold::quarantine {

namespace {

/// Per case; more than the number of crashes that a decision needs.
constexpr std::size_t kMaxCrashesPerCase = 8;
constexpr std::size_t kMaxVersionsPerCase = 4;
/// Unconfirmed connections: 64 requests on each of 64 servers.
constexpr std::size_t kMaxUnconfirmedCloses = 4'096;
/// Server IDs, services and versions of legitimate daemons are shorter; longer ones are rejected.
constexpr std::size_t kMaxNameLength = 200;
/// With crashes on fewer servers, a request cannot be told apart from the others on the same
/// server.
constexpr std::size_t kMinCrashesToCompare = 2;

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::int64_t AgeMs(Time at, Time now) {
  return std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(now - at).count());
}

bool HasValidLength(const std::string& name) { return name.size() <= kMaxNameLength; }

}  // namespace

std::size_t CrashTracker::CrashCount(const Case& tracked, std::string_view version) {
  return static_cast<std::size_t>(
      std::count_if(tracked.crashes.begin(), tracked.crashes.end(),
                    [&](const Crash& crash) { return crash.version == version; }));
}

Effects CrashTracker::Reduce(const Event& event, Time now) {
  Effects effects;
  std::visit([&](const auto& each) { Handle(each, now, effects); }, event);
  return effects;
}

void CrashTracker::Handle(const ConnectionClosed& event, Time now, Effects& effects) {
  if (settings_.servers == 0 || unconfirmed_close_count_ >= kMaxUnconfirmedCloses) return;
  std::vector<UnconfirmedClose>& unconfirmed = unconfirmed_closes_[event.server_id];
  if (unconfirmed.empty()) effects.servers_to_probe.push_back(event.server_id);
  unconfirmed.push_back({event, now});
  ++unconfirmed_close_count_;
}

void CrashTracker::Handle(const ServerEnded& event, Time now, Effects& effects) {
  const auto unconfirmed = unconfirmed_closes_.find(event.server_id);
  if (unconfirmed == unconfirmed_closes_.end()) return;
  std::vector<Fingerprint> affected;
  const auto record = [&](const Fingerprint& fingerprint, const UnconfirmedClose& closed) {
    if (RecordCrash(fingerprint, closed, now, effects)) affected.push_back(fingerprint);
  };
  for (const UnconfirmedClose& closed : unconfirmed->second) {
    record(closed.connection.fingerprint, closed);
    for (const Fingerprint& part : closed.connection.parts) record(part, closed);
  }
  unconfirmed_close_count_ -= unconfirmed->second.size();
  unconfirmed_closes_.erase(unconfirmed);
  for (const Fingerprint& fingerprint : affected) {
    const auto existing = cases_.find(fingerprint);
    // The case may have been evicted to make room for another one of the same server.
    if (existing == cases_.end()) continue;
    Case& tracked = existing->second;
    effects.updated_cases.push_back(fingerprint);
    effects.changes.push_back(
        {CaseChangeKind::kSuspected, fingerprint, tracked.service, tracked.crashes.size()});
    EvaluateCase(fingerprint, tracked, now, effects);
  }
}

bool CrashTracker::SucceededRecently(const Fingerprint& fingerprint, std::string_view version,
                                     Time now) const {
  return IsPartFingerprint(fingerprint) ? recent_part_successes_.Contains(fingerprint, version, now)
                                        : recent_successes_.Contains(fingerprint, version, now);
}

bool CrashTracker::RecordCrash(const Fingerprint& fingerprint, const UnconfirmedClose& closed,
                               Time now, Effects& effects) {
  const ConnectionClosed& connection = closed.connection;
  if (SucceededRecently(fingerprint, connection.version, now)) return false;
  Case* tracked = FindOrCreateCase(fingerprint, connection.service);
  if (tracked == nullptr) {
    ++effects.dropped;
    return false;
  }
  return AddCrash(fingerprint, *tracked, {connection.server_id, connection.version, closed.at},
                  now);
}

void CrashTracker::Handle(const ServerResponded& event, Time, Effects&) {
  const auto unconfirmed = unconfirmed_closes_.find(event.server_id);
  if (unconfirmed == unconfirmed_closes_.end()) return;
  unconfirmed_close_count_ -=
      std::erase_if(unconfirmed->second,
                    [&](const UnconfirmedClose& closed) { return closed.at < event.sent_at; });
  if (unconfirmed->second.empty()) unconfirmed_closes_.erase(unconfirmed);
}

void CrashTracker::Handle(const RequestSucceeded& event, Time now, Effects& effects) {
  if (settings_.servers == 0) return;
  RecordSuccess(event.fingerprint, event.version, now, effects);
  for (const Fingerprint& part : event.parts) RecordSuccess(part, event.version, now, effects);
}

void CrashTracker::RecordSuccess(const Fingerprint& fingerprint, const std::string& version,
                                 Time now, Effects& effects) {
  RecentSuccesses& successes =
      IsPartFingerprint(fingerprint) ? recent_part_successes_ : recent_successes_;
  successes.Record(fingerprint, version, now);
  const auto existing = cases_.find(fingerprint);
  if (existing == cases_.end() || CrashCount(existing->second, version) == 0) return;
  Case& tracked = existing->second;
  const std::vector<std::string> explained = ServersExplainedBy(fingerprint, tracked);
  AddClearance(fingerprint, tracked, {version, now});
  UpdateDigest(fingerprint, tracked);
  effects.updated_cases.push_back(fingerprint);
  effects.changes.push_back({CaseChangeKind::kCleared, fingerprint, tracked.service, 0});
  EvaluatePartsOn(explained, now, effects);
}

void CrashTracker::Handle(const Released& event, Time now, Effects& effects) {
  const auto existing = cases_.find(event.fingerprint);
  if (existing == cases_.end()) return;
  Case& tracked = existing->second;
  const std::size_t servers = tracked.crashes.size();
  const std::vector<std::string> explained = ServersExplainedBy(event.fingerprint, tracked);
  AddClearance(event.fingerprint, tracked, {"", now});
  UpdateDigest(event.fingerprint, tracked);
  effects.updated_cases.push_back(event.fingerprint);
  effects.changes.push_back(
      {CaseChangeKind::kReleased, event.fingerprint, tracked.service, servers});
  EvaluatePartsOn(explained, now, effects);
}

void CrashTracker::Handle(const CasesReceived& event, Time now, Effects& effects) {
  if (settings_.servers == 0) return;
  for (const CaseUpdate& update : event.cases) {
    if (!IsValid(update)) {
      ++effects.dropped;
      continue;
    }
    const auto newest_age = [&] {
      std::int64_t age = settings_.retention.count();
      for (const CrashReport& crash : update.crashes) age = std::min(age, crash.age_ms);
      for (const ClearanceReport& clearance : update.clearances)
        age = std::min(age, clearance.age_ms);
      return age;
    };
    if (newest_age() >= settings_.retention.count()) continue;
    Case* tracked = FindOrCreateCase(update.fingerprint, update.service);
    if (tracked == nullptr) {
      ++effects.dropped;
      continue;
    }
    const std::vector<std::string> explained = ServersExplainedBy(update.fingerprint, *tracked);
    if (!MergeUpdate(*tracked, update, now)) {
      if (IsOutdated(update, *tracked)) effects.updated_cases.push_back(update.fingerprint);
      continue;
    }
    effects.updated_cases.push_back(update.fingerprint);
    // Other daemons may not have seen a success of the part.
    if (IsPartFingerprint(update.fingerprint))
      for (const CrashReport& crash : update.crashes)
        if (SucceededRecently(update.fingerprint, crash.version, now))
          AddClearance(update.fingerprint, *tracked, {crash.version, now});
    for (const std::string& version : update.quarantined_versions)
      if (CrashCount(*tracked, version) > 0)
        Quarantine(update.fingerprint, *tracked, version, effects);
    EvaluateCase(update.fingerprint, *tracked, now, effects);
    if (tracked->quarantined_versions.empty()) EvaluatePartsOn(explained, now, effects);
  }
}

void CrashTracker::Handle(const Tick&, Time now, Effects& effects) {
  for (auto unconfirmed = unconfirmed_closes_.begin(); unconfirmed != unconfirmed_closes_.end();) {
    unconfirmed_close_count_ -=
        std::erase_if(unconfirmed->second, [&](const UnconfirmedClose& closed) {
          return now - closed.at > settings_.confirmation_timeout;
        });
    unconfirmed = unconfirmed->second.empty() ? unconfirmed_closes_.erase(unconfirmed)
                                              : std::next(unconfirmed);
  }
  std::vector<Fingerprint> old;
  for (auto& [fingerprint, tracked] : cases_) {
    Time last{};
    for (const Crash& crash : tracked.crashes) last = std::max(last, crash.at);
    for (const Clearance& clearance : tracked.clearances) last = std::max(last, clearance.at);
    if (now - last >= settings_.retention)
      old.push_back(fingerprint);
    else
      EvaluateCase(fingerprint, tracked, now, effects);
  }
  for (const Fingerprint& fingerprint : old) RemoveCase(fingerprint, effects);
}

QuarantineState CrashTracker::StateFor(const Fingerprint& fingerprint, std::string_view version,
                                       Time now) const {
  const auto existing = cases_.find(fingerprint);
  if (existing == cases_.end()) return QuarantineState::kClear;
  const Case& tracked = existing->second;
  if (IsQuarantined(tracked, version)) return QuarantineState::kQuarantined;
  const std::size_t crashes = CrashCount(tracked, version);
  if (crashes == 0)
    return tracked.quarantined_versions.empty() ? QuarantineState::kClear
                                                : QuarantineState::kSuspect;
  const bool near_threshold = crashes >= kMinCrashesToCompare && crashes + 1 >= settings_.servers;
  if (near_threshold && now - tracked.last_crash_learned_at < settings_.propagation_time)
    return QuarantineState::kUndecided;
  return QuarantineState::kSuspect;
}

bool CrashTracker::IsQuarantined(const Case& tracked, std::string_view version) {
  return Contains(tracked.quarantined_versions, version);
}

bool CrashTracker::IsQuarantined(const Fingerprint& fingerprint, std::string_view version) const {
  const auto existing = cases_.find(fingerprint);
  return existing != cases_.end() && IsQuarantined(existing->second, version);
}

bool CrashTracker::IsQuarantined(const Fingerprint& fingerprint) const {
  const auto existing = cases_.find(fingerprint);
  return existing != cases_.end() && !existing->second.quarantined_versions.empty();
}

void CrashTracker::EvaluateCase(const Fingerprint& fingerprint, Case& tracked, Time now,
                                Effects& effects) {
  UpdateDigest(fingerprint, tracked);
  if (settings_.servers == 0) return;
  std::vector<std::string> versions;
  for (const Crash& crash : tracked.crashes)
    if (!Contains(versions, crash.version)) versions.push_back(crash.version);
  for (const std::string& version : versions) {
    if (IsQuarantined(tracked, version)) continue;
    const bool quarantined_for_other_version = !tracked.quarantined_versions.empty();
    const bool guilty = IsPartFingerprint(fingerprint)
                            ? IsGuiltyPart(fingerprint, tracked, version, now)
                            : IsGuiltyRequest(fingerprint, tracked, version, now);
    if (quarantined_for_other_version || guilty) Quarantine(fingerprint, tracked, version, effects);
  }
}

bool CrashTracker::IsGuiltyRequest(const Fingerprint& fingerprint, const Case& tracked,
                                   const std::string& version, Time now) const {
  const std::size_t crashes = CrashCount(tracked, version);
  if (crashes >= settings_.servers) return true;
  const bool evidence_propagated =
      now - tracked.last_crash_learned_at >= settings_.propagation_time;
  return crashes >= kMinCrashesToCompare && crashes + 1 >= settings_.servers &&
         evidence_propagated && HasMoreCrashesThanNeighbors(fingerprint, tracked, version);
}

void CrashTracker::Quarantine(const Fingerprint& fingerprint, Case& tracked,
                              const std::string& version, Effects& effects) {
  const bool full = tracked.quarantined_versions.size() >= kMaxVersionsPerCase;
  if (full || IsQuarantined(tracked, version)) return;
  if (tracked.quarantined_versions.empty()) ++quarantined_;
  tracked.quarantined_versions.push_back(version);
  UpdateDigest(fingerprint, tracked);
  if (effects.updated_cases.empty() || effects.updated_cases.back() != fingerprint)
    effects.updated_cases.push_back(fingerprint);
  effects.changes.push_back(
      {CaseChangeKind::kQuarantined, fingerprint, tracked.service, tracked.crashes.size()});
}

bool CrashTracker::HasMoreCrashesThanNeighbors(const Fingerprint& fingerprint, const Case& tracked,
                                               const std::string& version) const {
  const std::size_t own_crashes = CrashCount(tracked, version);
  for (const Crash& crash : tracked.crashes) {
    const auto neighbors = cases_by_server_.find(crash.server_id);
    if (crash.version != version || neighbors == cases_by_server_.end()) continue;
    for (const Fingerprint& other : neighbors->second) {
      const auto existing = cases_.find(other);
      const bool is_part = IsPartFingerprint(other);
      if (other == fingerprint || existing == cases_.end()) continue;
      // A neighbor that is quarantined explains the crash; a neighbor with as many crashes leaves
      // the cause undecided.
      const bool quarantined = IsQuarantined(existing->second, version);
      const bool as_many = !is_part && CrashCount(existing->second, version) >= own_crashes;
      if (quarantined || as_many) return false;
    }
  }
  return true;
}

Milliseconds CrashTracker::SuccessCoverage(const Fingerprint& fingerprint) const {
  return IsPartFingerprint(fingerprint) ? settings_.recent_part_success_window : Milliseconds(0);
}

bool CrashTracker::AddCrash(const Fingerprint& fingerprint, Case& tracked, Crash crash, Time now) {
  for (const Clearance& clearance : tracked.clearances)
    if ((clearance.version.empty() || clearance.version == crash.version) &&
        clearance.at + SuccessCoverage(fingerprint) >= crash.at)
      return false;
  for (Crash& existing : tracked.crashes) {
    if (existing.server_id != crash.server_id) continue;
    existing.at = std::min(existing.at, crash.at);
    return false;
  }
  if (!MakeRoomForCrash(fingerprint, tracked, crash)) return false;
  cases_by_server_[crash.server_id].push_back(fingerprint);
  tracked.crashes.push_back(std::move(crash));
  tracked.last_crash_learned_at = now;
  return true;
}

bool CrashTracker::MakeRoomForCrash(const Fingerprint& fingerprint, Case& tracked,
                                    const Crash& added) {
  if (tracked.crashes.size() < kMaxCrashesPerCase) return true;
  const auto same_moment = [](const Crash& left, const Crash& right) {
    const BootClock::duration apart = left.at - right.at;
    return left.version == right.version && apart < kSameMoment && -apart < kSameMoment;
  };
  // Only a new moment is worth the place of another crash; otherwise two crashes could displace
  // each other for ever.
  if (!IsPartFingerprint(fingerprint) ||
      std::any_of(tracked.crashes.begin(), tracked.crashes.end(),
                  [&](const Crash& crash) { return same_moment(crash, added); }))
    return false;
  const auto redundant =
      std::find_if(tracked.crashes.begin(), tracked.crashes.end(), [&](const Crash& crash) {
        return std::any_of(tracked.crashes.begin(), tracked.crashes.end(), [&](const Crash& other) {
          return &other != &crash && same_moment(other, crash);
        });
      });
  if (redundant == tracked.crashes.end()) return false;
  RemoveFromServerIndex(fingerprint, redundant->server_id);
  tracked.crashes.erase(redundant);
  return true;
}

bool CrashTracker::AddClearance(const Fingerprint& fingerprint, Case& tracked,
                                const Clearance& clearance) {
  const auto same_version = [&](const Clearance& existing) {
    return existing.version == clearance.version;
  };
  const auto existing =
      std::find_if(tracked.clearances.begin(), tracked.clearances.end(), same_version);
  // The transit time of a message makes the same clearance look newer.
  constexpr Milliseconds kTransitTolerance{1'000};
  const bool new_version = existing == tracked.clearances.end();
  const bool newer = new_version || clearance.at > existing->at + kTransitTolerance;
  if (!new_version)
    existing->at = std::max(existing->at, clearance.at);
  else if (tracked.clearances.size() < kMaxVersionsPerCase)
    tracked.clearances.push_back(clearance);
  const bool removed = RemoveClearedEvidence(fingerprint, tracked, clearance);
  return newer || removed;
}

bool CrashTracker::RemoveClearedEvidence(const Fingerprint& fingerprint, Case& tracked,
                                         const Clearance& clearance) {
  const auto covers = [&](const std::string& version) {
    return clearance.version.empty() || clearance.version == version;
  };
  const std::size_t removed = std::erase_if(tracked.crashes, [&](const Crash& crash) {
    const bool cleared =
        covers(crash.version) && crash.at <= clearance.at + SuccessCoverage(fingerprint);
    if (cleared) RemoveFromServerIndex(fingerprint, crash.server_id);
    return cleared;
  });
  const bool was_quarantined = !tracked.quarantined_versions.empty();
  std::erase_if(tracked.quarantined_versions, [&](const std::string& version) {
    return covers(version) && CrashCount(tracked, version) == 0;
  });
  if (was_quarantined && tracked.quarantined_versions.empty()) --quarantined_;
  return removed > 0;
}

bool CrashTracker::MergeUpdate(Case& tracked, const CaseUpdate& update, Time now) {
  bool changed = false;
  for (const ClearanceReport& report : update.clearances) {
    const Clearance clearance{report.version, now - Milliseconds(report.age_ms)};
    changed = AddClearance(update.fingerprint, tracked, clearance) || changed;
  }
  for (const CrashReport& report : update.crashes) {
    if (report.age_ms >= settings_.retention.count()) continue;
    const Crash crash{report.server_id, report.version, now - Milliseconds(report.age_ms)};
    changed = AddCrash(update.fingerprint, tracked, crash, now) || changed;
  }
  for (const std::string& version : update.quarantined_versions) {
    const bool counts = CrashCount(tracked, version) > 0;
    changed = changed || (counts && !IsQuarantined(tracked, version));
  }
  return changed;
}

bool CrashTracker::IsOutdated(const CaseUpdate& update, const Case& tracked) {
  return std::any_of(update.quarantined_versions.begin(), update.quarantined_versions.end(),
                     [&](const std::string& version) {
                       return !IsQuarantined(tracked, version) &&
                              LastClearance(tracked, version) != Time{};
                     });
}

bool CrashTracker::IsValid(const CaseUpdate& update) {
  if (update.service.empty() || !HasValidLength(update.service)) return false;
  if (update.crashes.size() > kMaxCrashesPerCase ||
      update.clearances.size() > kMaxVersionsPerCase ||
      update.quarantined_versions.size() > kMaxVersionsPerCase)
    return false;
  const auto valid_crash = [](const CrashReport& crash) {
    return !crash.server_id.empty() && HasValidLength(crash.server_id) &&
           HasValidLength(crash.version) && crash.age_ms >= 0;
  };
  const auto valid_clearance = [](const ClearanceReport& clearance) {
    return clearance.age_ms >= 0 && HasValidLength(clearance.version);
  };
  return std::all_of(update.crashes.begin(), update.crashes.end(), valid_crash) &&
         std::all_of(update.clearances.begin(), update.clearances.end(), valid_clearance) &&
         std::all_of(update.quarantined_versions.begin(), update.quarantined_versions.end(),
                     HasValidLength);
}

CrashTracker::Case* CrashTracker::FindOrCreateCase(const Fingerprint& fingerprint,
                                                   const std::string& service) {
  const auto existing = cases_.find(fingerprint);
  if (existing != cases_.end()) return &existing->second;
  if (cases_.size() >= settings_.max_cases && !EvictOldestCase()) return nullptr;
  Case& created = cases_[fingerprint];
  created.service = service;
  return &created;
}

/// Evicts, among a few candidates that are not quarantined, the oldest one of those with the fewest
/// crashes. Examining every case would let a client that sends many crashing requests exhaust the
/// CPU. @return whether a case was evicted.
bool CrashTracker::EvictOldestCase() {
  constexpr std::size_t kMaxExamined = 64;
  const CaseMap::value_type* evicted = nullptr;
  const auto rank = [](const Case& tracked) {
    return std::make_pair(tracked.crashes.size(), tracked.last_crash_learned_at);
  };
  std::size_t examined = 0;
  for (const auto& entry : cases_) {
    if (++examined > kMaxExamined) break;
    if (!entry.second.quarantined_versions.empty()) continue;
    if (evicted == nullptr || rank(entry.second) < rank(evicted->second)) evicted = &entry;
  }
  if (evicted == nullptr) return false;
  Effects ignored;
  RemoveCase(Fingerprint(evicted->first), ignored);
  return true;
}

void CrashTracker::RemoveCase(const Fingerprint& fingerprint, Effects& effects) {
  const auto existing = cases_.find(fingerprint);
  if (existing == cases_.end()) return;
  Case& tracked = existing->second;
  for (const Crash& crash : tracked.crashes) RemoveFromServerIndex(fingerprint, crash.server_id);
  if (!tracked.quarantined_versions.empty()) {
    --quarantined_;
    effects.changes.push_back(
        {CaseChangeKind::kForgotten, fingerprint, tracked.service, tracked.crashes.size()});
  }
  digest_ ^= tracked.digest_part;
  cases_.erase(existing);
}

void CrashTracker::RemoveFromServerIndex(const Fingerprint& fingerprint,
                                         const std::string& server_id) {
  const auto neighbors = cases_by_server_.find(server_id);
  if (neighbors == cases_by_server_.end()) return;
  std::erase(neighbors->second, fingerprint);
  if (neighbors->second.empty()) cases_by_server_.erase(neighbors);
}

void CrashTracker::UpdateDigest(const Fingerprint& fingerprint, Case& tracked) {
  digest_ ^= tracked.digest_part;
  tracked.digest_part = 0;
  // Suspected parts come and go with each crash.
  const bool suspected_request =
      !IsPartFingerprint(fingerprint) &&
      (tracked.crashes.size() >= kMinCrashesToCompare || !tracked.clearances.empty());
  if (tracked.quarantined_versions.empty() && !suspected_request) return;
  std::vector<std::string> parts;
  for (const Crash& crash : tracked.crashes) parts.push_back("c" + crash.server_id);
  for (const std::string& version : tracked.quarantined_versions) parts.push_back("q" + version);
  for (const Clearance& clearance : tracked.clearances) parts.push_back("l" + clearance.version);
  std::sort(parts.begin(), parts.end());
  std::string text(reinterpret_cast<const char*>(fingerprint.bytes.data()),
                   fingerprint.bytes.size());
  for (const std::string& part : parts) text += part + '\n';
  tracked.digest_part = XXH64(text.data(), text.size(), 0);
  digest_ ^= tracked.digest_part;
}

CaseUpdate CrashTracker::ExportCase(const Fingerprint& fingerprint, Time now) const {
  CaseUpdate update;
  update.fingerprint = fingerprint;
  const auto existing = cases_.find(fingerprint);
  if (existing == cases_.end()) return update;
  const Case& tracked = existing->second;
  update.service = tracked.service;
  for (const Crash& crash : tracked.crashes)
    update.crashes.push_back({crash.server_id, crash.version, AgeMs(crash.at, now)});
  for (const Clearance& clearance : tracked.clearances)
    update.clearances.push_back({clearance.version, AgeMs(clearance.at, now)});
  update.quarantined_versions = tracked.quarantined_versions;
  return update;
}

std::vector<ListedCase> CrashTracker::List(Time now) const {
  std::vector<ListedCase> listed;
  for (const auto& [fingerprint, tracked] : cases_) {
    if (tracked.quarantined_versions.empty()) continue;
    Time last{};
    for (const Crash& crash : tracked.crashes) last = std::max(last, crash.at);
    const auto time_left =
        std::chrono::duration_cast<Milliseconds>(last + settings_.retention - now);
    listed.push_back({fingerprint, tracked.service, tracked.crashes.size(),
                      tracked.quarantined_versions, std::max(Milliseconds(0), time_left)});
  }
  std::sort(listed.begin(), listed.end(), [](const ListedCase& a, const ListedCase& b) {
    return a.time_left != b.time_left ? a.time_left > b.time_left : a.fingerprint < b.fingerprint;
  });
  return listed;
}

std::vector<Fingerprint> CrashTracker::NextCasesToSync(std::size_t max_count,
                                                       std::size_t& cursor) const {
  std::vector<Fingerprint> all;
  for (const auto& [fingerprint, tracked] : cases_)
    if (tracked.digest_part != 0) all.push_back(fingerprint);
  std::sort(all.begin(), all.end());
  std::vector<Fingerprint> selected;
  for (std::size_t taken = 0; taken < std::min(max_count, all.size()); ++taken)
    selected.push_back(all[cursor++ % all.size()]);
  return selected;
}

}  // namespace moorfold::quarantine
