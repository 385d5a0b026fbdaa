#include "quarantine/crash_tracker.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold::quarantine {

namespace {

/// Of one case; more than can count.
constexpr std::size_t kMostCrashes = 8;
constexpr std::size_t kMostVersions = 4;
/// Links that wait for a sign of their servers' end: 64 requests on each of 64 servers.
constexpr std::size_t kMostEndedLinks = 4'096;
constexpr std::size_t kMostServed = 2'048;
/// Longer names come from nobody who runs this.
constexpr std::size_t kLongestName = 200;
/// With fewer servers no request stands out from its neighbours.
constexpr std::size_t kLeastToCompare = 2;

bool Contains(const std::vector<std::string>& names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::int64_t AgeMs(Time at, Time now) {
  return std::max<std::int64_t>(0, std::chrono::duration_cast<Milliseconds>(now - at).count());
}

bool ShortName(const std::string& name) { return name.size() <= kLongestName; }

}  // namespace

std::size_t CrashTracker::CrashesOf(const Case& found, std::string_view version) {
  return static_cast<std::size_t>(
      std::count_if(found.crashes.begin(), found.crashes.end(),
                    [&](const Crash& crash) { return crash.version == version; }));
}

Effects CrashTracker::Reduce(const Event& event, Time now) {
  Effects effects;
  std::visit([&](const auto& each) { Take(each, now, effects); }, event);
  return effects;
}

void CrashTracker::Take(const LinkEnded& event, Time now, Effects& effects) {
  if (settings_.servers == 0 || ended_link_count_ >= kMostEndedLinks) return;
  std::vector<EndedLink>& waiting = ended_links_[event.server_id];
  if (waiting.empty()) effects.servers_to_probe.push_back(event.server_id);
  waiting.push_back({event, now});
  ++ended_link_count_;
}

void CrashTracker::Take(const ServerEnded& event, Time now, Effects& effects) {
  const auto waiting = ended_links_.find(event.server_id);
  if (waiting == ended_links_.end()) return;
  std::vector<Fingerprint> blamed;
  for (const EndedLink& ended : waiting->second) {
    const Fingerprint& fingerprint = ended.link.fingerprint;
    if (ServedLately(fingerprint, now)) continue;
    Case* found = FindOrMake(fingerprint, ended.link.service);
    if (found == nullptr) {
      ++effects.dropped;
      continue;
    }
    if (AddCrash(fingerprint, *found, {event.server_id, ended.link.version, ended.at}, now))
      blamed.push_back(fingerprint);
  }
  ended_link_count_ -= waiting->second.size();
  ended_links_.erase(waiting);
  for (const Fingerprint& fingerprint : blamed) {
    const auto known = cases_.find(fingerprint);
    if (known == cases_.end()) continue;  // It made room for another of the same server.
    Case& found = known->second;
    effects.news.push_back(fingerprint);
    effects.changes.push_back(
        {CaseChangeKind::kSuspected, fingerprint, found.service, found.crashes.size()});
    Judge(fingerprint, found, now, effects);
  }
}

void CrashTracker::Take(const ServerAnswered& event, Time, Effects&) {
  const auto waiting = ended_links_.find(event.server_id);
  if (waiting == ended_links_.end()) return;
  ended_link_count_ -= std::erase_if(
      waiting->second, [&](const EndedLink& ended) { return ended.at < event.sent_at; });
  if (waiting->second.empty()) ended_links_.erase(waiting);
}

void CrashTracker::Take(const Served& event, Time now, Effects& effects) {
  if (settings_.servers == 0) return;
  RememberServed(event.fingerprint, now);
  const auto known = cases_.find(event.fingerprint);
  if (known == cases_.end() || CrashesOf(known->second, event.version) == 0) return;
  Case& found = known->second;
  AddClearance(event.fingerprint, found, {event.version, now});
  UpdateDigest(event.fingerprint, found);
  effects.news.push_back(event.fingerprint);
  effects.changes.push_back({CaseChangeKind::kCleared, event.fingerprint, found.service, 0});
}

void CrashTracker::Take(const Released& event, Time now, Effects& effects) {
  const auto known = cases_.find(event.fingerprint);
  if (known == cases_.end()) return;
  Case& found = known->second;
  const std::size_t servers = found.crashes.size();
  AddClearance(event.fingerprint, found, {"", now});
  UpdateDigest(event.fingerprint, found);
  effects.news.push_back(event.fingerprint);
  effects.changes.push_back({CaseChangeKind::kReleased, event.fingerprint, found.service, servers});
}

void CrashTracker::Take(const CasesReceived& event, Time now, Effects& effects) {
  if (settings_.servers == 0) return;
  for (const CaseUpdate& news : event.cases) {
    if (!Plausible(news)) {
      ++effects.dropped;
      continue;
    }
    const auto last_age = [&] {
      std::int64_t age = settings_.retention.count();
      for (const CrashReport& crash : news.crashes) age = std::min(age, crash.age_ms);
      for (const ClearanceReport& clearance : news.clearances)
        age = std::min(age, clearance.age_ms);
      return age;
    };
    if (last_age() >= settings_.retention.count()) continue;
    Case* found = FindOrMake(news.fingerprint, news.service);
    if (found == nullptr) {
      ++effects.dropped;
      continue;
    }
    if (!Merge(*found, news, now)) continue;
    effects.news.push_back(news.fingerprint);
    for (const std::string& version : news.quarantined_versions)
      if (CrashesOf(*found, version) > 0) Quarantine(news.fingerprint, *found, version, effects);
    Judge(news.fingerprint, *found, now, effects);
  }
}

void CrashTracker::Take(const Tick&, Time now, Effects& effects) {
  for (auto waiting = ended_links_.begin(); waiting != ended_links_.end();) {
    ended_link_count_ -= std::erase_if(waiting->second, [&](const EndedLink& ended) {
      return now - ended.at > settings_.confirmation_timeout;
    });
    waiting = waiting->second.empty() ? ended_links_.erase(waiting) : std::next(waiting);
  }
  std::vector<Fingerprint> old;
  for (auto& [fingerprint, found] : cases_) {
    Time last{};
    for (const Crash& crash : found.crashes) last = std::max(last, crash.at);
    for (const Clearance& clearance : found.clearances) last = std::max(last, clearance.at);
    if (now - last >= settings_.retention)
      old.push_back(fingerprint);
    else
      Judge(fingerprint, found, now, effects);
  }
  for (const Fingerprint& fingerprint : old) Forget(fingerprint, effects);
}

QuarantineState CrashTracker::StateFor(const Fingerprint& fingerprint, std::string_view version,
                                       Time now) const {
  const auto known = cases_.find(fingerprint);
  if (known == cases_.end()) return QuarantineState::kClear;
  const Case& found = known->second;
  if (Contains(found.quarantined_versions, version)) return QuarantineState::kQuarantined;
  const std::size_t crashes = CrashesOf(found, version);
  if (crashes == 0)
    return found.quarantined_versions.empty() ? QuarantineState::kClear : QuarantineState::kSuspect;
  const bool may_be_judged = crashes >= kLeastToCompare && crashes + 1 >= settings_.servers;
  if (may_be_judged && now - found.heard_at < settings_.propagation_time)
    return QuarantineState::kUndecided;
  return QuarantineState::kSuspect;
}

void CrashTracker::Judge(const Fingerprint& fingerprint, Case& found, Time now, Effects& effects) {
  UpdateDigest(fingerprint, found);
  if (settings_.servers == 0) return;
  std::vector<std::string> versions;
  for (const Crash& crash : found.crashes)
    if (!Contains(versions, crash.version)) versions.push_back(crash.version);
  for (const std::string& version : versions) {
    if (Contains(found.quarantined_versions, version)) continue;
    const std::size_t crashes = CrashesOf(found, version);
    const bool known_elsewhere = !found.quarantined_versions.empty();
    const bool settled = now - found.heard_at >= settings_.propagation_time;
    const bool stands_out = crashes >= kLeastToCompare && crashes + 1 >= settings_.servers &&
                            settled && AloneAtTop(fingerprint, found, version);
    if (known_elsewhere || crashes >= settings_.servers || stands_out)
      Quarantine(fingerprint, found, version, effects);
  }
}

void CrashTracker::Quarantine(const Fingerprint& fingerprint, Case& found,
                              const std::string& version, Effects& effects) {
  const bool full = found.quarantined_versions.size() >= kMostVersions;
  if (full || Contains(found.quarantined_versions, version)) return;
  if (found.quarantined_versions.empty()) ++quarantined_;
  found.quarantined_versions.push_back(version);
  UpdateDigest(fingerprint, found);
  if (effects.news.empty() || effects.news.back() != fingerprint)
    effects.news.push_back(fingerprint);
  effects.changes.push_back(
      {CaseChangeKind::kQuarantined, fingerprint, found.service, found.crashes.size()});
}

bool CrashTracker::AloneAtTop(const Fingerprint& fingerprint, const Case& found,
                              const std::string& version) const {
  const std::size_t own = CrashesOf(found, version);
  for (const Crash& crash : found.crashes) {
    const auto beside = by_server_.find(crash.server_id);
    if (crash.version != version || beside == by_server_.end()) continue;
    for (const Fingerprint& other : beside->second) {
      const auto known = cases_.find(other);
      if (other == fingerprint || known == cases_.end()) continue;
      // Another's guilt explains the crash; a doubt is left while it has as many on its account.
      const bool quarantined = Contains(known->second.quarantined_versions, version);
      if (quarantined || CrashesOf(known->second, version) >= own) return false;
    }
  }
  return true;
}

bool CrashTracker::AddCrash(const Fingerprint& fingerprint, Case& found, Crash crash, Time now) {
  for (const Clearance& clearance : found.clearances)
    if ((clearance.version.empty() || clearance.version == crash.version) &&
        clearance.at >= crash.at)
      return false;
  for (Crash& known : found.crashes) {
    if (known.server_id != crash.server_id) continue;
    known.at = std::min(known.at, crash.at);
    return false;
  }
  if (found.crashes.size() >= kMostCrashes) return false;
  by_server_[crash.server_id].push_back(fingerprint);
  found.crashes.push_back(std::move(crash));
  found.heard_at = now;
  return true;
}

bool CrashTracker::AddClearance(const Fingerprint& fingerprint, Case& found,
                                const Clearance& clearance) {
  const auto same = [&](const Clearance& known) { return known.version == clearance.version; };
  const auto known = std::find_if(found.clearances.begin(), found.clearances.end(), same);
  // What a message took to arrive makes the same clearance look newer.
  constexpr Milliseconds kSameWithin{1'000};
  const bool new_version = known == found.clearances.end();
  if (!new_version && clearance.at <= known->at + kSameWithin) return false;
  if (!new_version)
    known->at = clearance.at;
  else if (found.clearances.size() < kMostVersions)
    found.clearances.push_back(clearance);
  DropCleared(fingerprint, found, clearance);
  return true;
}

void CrashTracker::DropCleared(const Fingerprint& fingerprint, Case& found,
                               const Clearance& clearance) {
  const auto covered = [&](const std::string& version) {
    return clearance.version.empty() || clearance.version == version;
  };
  std::erase_if(found.crashes, [&](const Crash& crash) {
    const bool cleared = covered(crash.version) && crash.at <= clearance.at;
    if (cleared) RemoveFromServer(fingerprint, crash.server_id);
    return cleared;
  });
  const bool was_quarantined = !found.quarantined_versions.empty();
  std::erase_if(found.quarantined_versions, [&](const std::string& version) {
    return covered(version) && CrashesOf(found, version) == 0;
  });
  if (was_quarantined && found.quarantined_versions.empty()) --quarantined_;
}

bool CrashTracker::Merge(Case& found, const CaseUpdate& news, Time now) {
  bool changed = false;
  for (const ClearanceReport& each : news.clearances) {
    const Clearance clearance{each.version, now - Milliseconds(each.age_ms)};
    changed = AddClearance(news.fingerprint, found, clearance) || changed;
  }
  for (const CrashReport& each : news.crashes) {
    if (each.age_ms >= settings_.retention.count()) continue;
    const Crash crash{each.server_id, each.version, now - Milliseconds(each.age_ms)};
    changed = AddCrash(news.fingerprint, found, crash, now) || changed;
  }
  for (const std::string& version : news.quarantined_versions) {
    const bool counts = CrashesOf(found, version) > 0;
    changed = changed || (counts && !Contains(found.quarantined_versions, version));
  }
  return changed;
}

bool CrashTracker::Plausible(const CaseUpdate& news) {
  if (news.service.empty() || !ShortName(news.service)) return false;
  if (news.crashes.size() > kMostCrashes || news.clearances.size() > kMostVersions ||
      news.quarantined_versions.size() > kMostVersions)
    return false;
  const auto sound = [](const CrashReport& crash) {
    return !crash.server_id.empty() && ShortName(crash.server_id) && ShortName(crash.version) &&
           crash.age_ms >= 0;
  };
  const auto past = [](const ClearanceReport& clearance) {
    return clearance.age_ms >= 0 && ShortName(clearance.version);
  };
  return std::all_of(news.crashes.begin(), news.crashes.end(), sound) &&
         std::all_of(news.clearances.begin(), news.clearances.end(), past) &&
         std::all_of(news.quarantined_versions.begin(), news.quarantined_versions.end(), ShortName);
}

CrashTracker::Case* CrashTracker::FindOrMake(const Fingerprint& fingerprint,
                                             const std::string& service) {
  const auto known = cases_.find(fingerprint);
  if (known != cases_.end()) return &known->second;
  if (cases_.size() >= settings_.max_cases && !MakeRoom()) return nullptr;
  Case& made = cases_[fingerprint];
  made.service = service;
  return &made;
}

/// Of some cases, the oldest that is not quarantined goes: looking at all of them for each would
/// let whoever sends many such requests take the processor. @return whether one went.
bool CrashTracker::MakeRoom() {
  constexpr std::size_t kLookedAt = 64;
  const Fingerprint* oldest = nullptr;
  Time oldest_at = Time::max();
  std::size_t looked_at = 0;
  for (const auto& [fingerprint, found] : cases_) {
    if (++looked_at > kLookedAt) break;
    if (!found.quarantined_versions.empty() || found.heard_at >= oldest_at) continue;
    oldest = &fingerprint;
    oldest_at = found.heard_at;
  }
  if (oldest == nullptr) return false;
  Effects nobody_hears;
  Forget(Fingerprint(*oldest), nobody_hears);
  return true;
}

void CrashTracker::Forget(const Fingerprint& fingerprint, Effects& effects) {
  const auto known = cases_.find(fingerprint);
  if (known == cases_.end()) return;
  Case& found = known->second;
  for (const Crash& crash : found.crashes) RemoveFromServer(fingerprint, crash.server_id);
  if (!found.quarantined_versions.empty()) {
    --quarantined_;
    effects.changes.push_back(
        {CaseChangeKind::kForgotten, fingerprint, found.service, found.crashes.size()});
  }
  digest_ ^= found.digest_part;
  cases_.erase(known);
}

void CrashTracker::RemoveFromServer(const Fingerprint& fingerprint, const std::string& server_id) {
  const auto beside = by_server_.find(server_id);
  if (beside == by_server_.end()) return;
  std::erase(beside->second, fingerprint);
  if (beside->second.empty()) by_server_.erase(beside);
}

void CrashTracker::UpdateDigest(const Fingerprint& fingerprint, Case& found) {
  digest_ ^= found.digest_part;
  found.digest_part = 0;
  const bool weighty = !found.quarantined_versions.empty() ||
                       found.crashes.size() >= kLeastToCompare || !found.clearances.empty();
  if (!weighty) return;
  std::vector<std::string> parts;
  for (const Crash& crash : found.crashes) parts.push_back("c" + crash.server_id);
  for (const std::string& version : found.quarantined_versions) parts.push_back("q" + version);
  for (const Clearance& clearance : found.clearances) parts.push_back("l" + clearance.version);
  std::sort(parts.begin(), parts.end());
  std::string text(reinterpret_cast<const char*>(fingerprint.bytes.data()),
                   fingerprint.bytes.size());
  for (const std::string& part : parts) text += part + '\n';
  found.digest_part = XXH64(text.data(), text.size(), 0);
  digest_ ^= found.digest_part;
}

bool CrashTracker::ServedLately(const Fingerprint& fingerprint, Time now) const {
  const auto served = served_.find(fingerprint);
  return served != served_.end() && now - served->second < settings_.recent_success_window;
}

void CrashTracker::RememberServed(const Fingerprint& fingerprint, Time now) {
  const bool known = !served_.insert_or_assign(fingerprint, now).second;
  if (known) return;
  served_order_.push_back(fingerprint);
  if (served_order_.size() <= kMostServed) return;
  served_.erase(served_order_.front());
  served_order_.pop_front();
}

CaseUpdate CrashTracker::ExportCase(const Fingerprint& fingerprint, Time now) const {
  CaseUpdate news;
  news.fingerprint = fingerprint;
  const auto known = cases_.find(fingerprint);
  if (known == cases_.end()) return news;
  const Case& found = known->second;
  news.service = found.service;
  for (const Crash& crash : found.crashes)
    news.crashes.push_back({crash.server_id, crash.version, AgeMs(crash.at, now)});
  for (const Clearance& clearance : found.clearances)
    news.clearances.push_back({clearance.version, AgeMs(clearance.at, now)});
  news.quarantined_versions = found.quarantined_versions;
  return news;
}

std::vector<ListedCase> CrashTracker::List(Time now) const {
  std::vector<ListedCase> listed;
  for (const auto& [fingerprint, found] : cases_) {
    if (found.quarantined_versions.empty()) continue;
    Time last{};
    for (const Crash& crash : found.crashes) last = std::max(last, crash.at);
    const auto left = std::chrono::duration_cast<Milliseconds>(last + settings_.retention - now);
    listed.push_back({fingerprint, found.service, found.crashes.size(), found.quarantined_versions,
                      std::max(Milliseconds(0), left)});
  }
  std::sort(listed.begin(), listed.end(), [](const ListedCase& left, const ListedCase& right) {
    return left.left != right.left ? left.left > right.left : left.fingerprint < right.fingerprint;
  });
  return listed;
}

std::vector<Fingerprint> CrashTracker::NextCasesToSync(std::size_t most,
                                                       std::size_t& cursor) const {
  std::vector<Fingerprint> all;
  for (const auto& [fingerprint, found] : cases_)
    if (found.digest_part != 0) all.push_back(fingerprint);
  std::sort(all.begin(), all.end());
  std::vector<Fingerprint> some;
  for (std::size_t taken = 0; taken < std::min(most, all.size()); ++taken)
    some.push_back(all[cursor++ % all.size()]);
  return some;
}

}  // namespace moorfold::quarantine
