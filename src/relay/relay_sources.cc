#include "relay/relay_sources.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// Relays get two requests a second: after two unanswered ones, the next relay is asked.
constexpr milliseconds kSilenceTimeout{900};
/// Timeout after the previous relay timed out: the daemon's data has been aging meanwhile.
constexpr milliseconds kShortSilenceTimeout{400};
/// Timeout for a daemon without data: when a whole fleet starts at once, its relays must first read
/// the whole store.
constexpr milliseconds kInitialSilenceTimeout{3'000};
/// How long a relay may decline for lack of data: a full read of the store takes less time.
constexpr milliseconds kMaxDeclineTime{6'000};
/// Relays to ask per zone: after this many timeouts, hardly any time is left to ask more of them.
constexpr std::size_t kSourcesPerZone = 2;
/// A relay may get its data through another relay, so that it can be as old as two request
/// intervals and one read. A relay with older data is cut off from its source, or too slow.
constexpr milliseconds kMaxRelayAge{2'000};
/// How often a daemon that uses a relay of another zone retries its own zone: cross-zone traffic
/// is costly.
constexpr milliseconds kOwnZoneRetryInterval{5'000};

}  // namespace

std::vector<std::string> RelaySources::SourcesOf(const ZoneRelays& zone) const {
  if (zone.relays.empty()) return {};
  const auto rank = [this](const std::string& address) {
    const std::string address_pair = address_ + '>' + address;
    return XXH64(address_pair.data(), address_pair.size(), 0);
  };
  // The first relay goes last, since it already reads the store.
  std::vector<std::string> sources(zone.relays.begin() + 1, zone.relays.end());
  std::sort(sources.begin(), sources.end(), [&](const std::string& left, const std::string& right) {
    return rank(left) < rank(right);
  });
  sources.push_back(zone.relays.front());
  if (sources.size() > kSourcesPerZone) sources.resize(kSourcesPerZone);
  return sources;
}

std::vector<std::string> RelaySources::OtherZoneSources(const RelayPlan& plan) const {
  std::vector<std::vector<std::string>> zones;
  for (const ZoneRelays& zone : plan.zones)
    if (zone.zone != zone_) zones.push_back(SourcesOf(zone));
  if (zones.empty()) return {};
  // Spreads the daemons of a zone whose relays failed over all other zones.
  const auto start = std::hash<std::string>{}(address_) % zones.size();
  std::rotate(zones.begin(), zones.begin() + static_cast<std::ptrdiff_t>(start), zones.end());
  std::vector<std::string> sources;
  for (std::size_t position = 0; position < kSourcesPerZone; ++position)
    for (const std::vector<std::string>& zone : zones)
      if (position < zone.size()) sources.push_back(zone[position]);
  return sources;
}

void RelaySources::SetPlan(const RelayPlan& plan, Time now) {
  const std::string before = Current(now);
  relay_ = plan.Names(address_);
  candidates_.clear();
  for (const ZoneRelays& zone : plan.zones) {
    const auto self = std::find(zone.relays.begin(), zone.relays.end(), address_);
    if (self != zone.relays.end())
      candidates_.assign(zone.relays.begin(), self + 1);
    else if (zone.zone == zone_)
      candidates_ = SourcesOf(zone);
  }
  own_zone_count_ = candidates_.size();
  const std::vector<std::string> other_zones = OtherZoneSources(plan);
  candidates_.insert(candidates_.end(), other_zones.begin(), other_zones.end());
  const auto same = std::find(candidates_.begin(), candidates_.end(), before);
  const bool keeps_current = !relay_ && same != candidates_.end();
  current_ = keeps_current ? static_cast<std::size_t>(same - candidates_.begin()) : 0;
  if (!keeps_current) silent_since_ = {};
}

bool RelaySources::Contains(const std::string& address) const {
  return std::find(candidates_.begin(), candidates_.end(), address) != candidates_.end();
}

void RelaySources::SelectNext(Time now) {
  silent_since_ = {};
  declined_since_ = {};
  retry_own_zone_at_ = now + kOwnZoneRetryInterval;
  current_ = (current_ + 1) % candidates_.size();
}

void RelaySources::UpdateCurrent(Time now) {
  if (candidates_.empty()) return;
  const milliseconds usual = previous_relay_silent_ ? kShortSilenceTimeout : kSilenceTimeout;
  const milliseconds timeout = learning_ ? kInitialSilenceTimeout : usual;
  const bool silent = silent_since_ != Time{} && now - silent_since_ >= timeout;
  if (silent) {
    SelectNext(now);
    previous_relay_silent_ = true;
  }
  if (current_ < own_zone_count_ || own_zone_count_ == 0 || now < retry_own_zone_at_) return;
  current_ = 0;
  silent_since_ = {};
}

std::string RelaySources::Current(Time now) {
  UpdateCurrent(now);
  return candidates_.empty() || AtOwnPosition() ? std::string() : candidates_[current_];
}

bool RelaySources::Watches(Time now) {
  UpdateCurrent(now);
  return AtOwnPosition();
}

void RelaySources::RecordRequest(Time now) {
  if (silent_since_ == Time{}) silent_since_ = now;
}

void RelaySources::RecordAnswer(const std::string& from, std::chrono::microseconds age, Time now) {
  if (candidates_.empty() || candidates_[current_] != from) return;
  silent_since_ = {};
  declined_since_ = {};
  previous_relay_silent_ = false;
  if (age > kMaxRelayAge) SelectNext(now);
}

void RelaySources::RecordOwnReads(bool fail, Time now) {
  const bool read_fails = AtOwnPosition() && fail;
  if (!read_fails) {
    failing_since_ = {};
    return;
  }
  if (failing_since_ == Time{}) failing_since_ = now;
  if (now - failing_since_ >= kSilenceTimeout) SelectNext(now);
}

void RelaySources::RecordDecline(const std::string& from, Time now) {
  if (candidates_.empty() || candidates_[current_] != from) return;
  if (declined_since_ == Time{}) declined_since_ = now;
  // The relay is alive, but this daemon's data keeps aging, so the timeout resets only for a daemon
  // without data.
  if (learning_ && now - declined_since_ < kMaxDeclineTime) silent_since_ = {};
}

}  // namespace moorfold
