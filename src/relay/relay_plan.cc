#include "relay/relay_plan.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// With two, one relay takes over from the other without waiting for a new plan.
constexpr std::size_t kMinRelaysPerZone = 2;
/// Daemons that one relay serves. When all start at once, each fetches some hundreds of pages.
constexpr std::size_t kDaemonsPerRelay = 60;
/// Time without a report after which a daemon no longer counts as a member. Daemons report at least
/// every three seconds; one report may be lost.
constexpr milliseconds kMemberTimeout{8'000};
/// Time from a leader's election to its first plan if there are no relays yet. Every daemon of a
/// fleet that starts at once reports twice within this time.
constexpr milliseconds kFirstPlanDelay{1'500};
/// Time from a leader's election to its first change of an existing plan with relays. All live
/// daemons report to the new leader within this time.
constexpr milliseconds kReplanDelay{9'000};
/// Hysteresis: relays are removed only well below the fleet size at which they were introduced.
constexpr double kRelayRemovalFraction = 0.75;

}  // namespace

ZoneId ZoneIdOf(const std::string& zone) {
  constexpr unsigned kSignBit = 1;  // Identifiers are positive; 0 means no zone.
  return static_cast<ZoneId>(XXH64(zone.data(), zone.size(), 0) >> kSignBit) | 1;
}

bool RelayPlan::Names(const std::string& address) const {
  const std::vector<std::string> relays = AllRelays();
  return std::find(relays.begin(), relays.end(), address) != relays.end();
}

std::vector<std::string> RelayPlan::AllRelays() const {
  std::vector<std::string> all;
  for (const ZoneRelays& zone : zones)
    all.insert(all.end(), zone.relays.begin(), zone.relays.end());
  return all;
}

void RelayPlanner::Note(const Member& member, Time now) {
  members_[member.address] = {member, now};
}

bool RelayPlanner::MayRelay(const std::string& address) const {
  const auto found = members_.find(address);
  return found != members_.end() && !found->second.member.stopping;
}

RelayPlan RelayPlanner::Plan(const RelayPlan& known, Time leading_since, Time now) {
  std::erase_if(members_, [&](const auto& seen) { return now - seen.second.at > kMemberTimeout; });
  // A daemon that has not reported to this leader yet may still be alive.
  const milliseconds count_after = known.needed() ? kReplanDelay : kFirstPlanDelay;
  if (now - leading_since < count_after) return known;
  const auto daemons = static_cast<std::uint32_t>(members_.size()) + 1;
  const double min_daemons = from_daemons_ * (known.needed() ? kRelayRemovalFraction : 1);
  const bool all_support_relays =
      std::all_of(members_.begin(), members_.end(),
                  [](const auto& seen) { return seen.second.member.supports_relays; });
  RelayPlan next{known.number + 1, daemons, {}};
  if (from_daemons_ > 0 && daemons >= min_daemons && all_support_relays) next.zones = Choose(known);
  const bool changed = known.number == 0 || next.zones != known.zones;
  return changed ? next : known;
}

std::vector<ZoneRelays> RelayPlanner::Choose(const RelayPlan& known) const {
  std::map<ZoneId, std::vector<const Member*>> zones;
  for (const auto& [address, seen] : members_)
    if (!seen.member.stopping) zones[seen.member.zone].push_back(&seen.member);
  std::vector<ZoneRelays> chosen;
  for (auto& [zone, members] : zones) {
    ZoneRelays relays{zone, {}};
    const std::size_t wanted = std::max(kMinRelaysPerZone, members.size() / kDaemonsPerRelay + 1);
    for (const ZoneRelays& before : known.zones)
      if (before.zone == zone)
        std::copy_if(before.relays.begin(), before.relays.end(), std::back_inserter(relays.relays),
                     [this](const std::string& address) { return MayRelay(address); });
    std::stable_sort(members.begin(), members.end(), [](const Member* left, const Member* right) {
      return left->strength > right->strength;
    });
    for (const Member* member : members) {
      if (relays.relays.size() >= wanted) break;
      const auto& named = relays.relays;
      if (std::find(named.begin(), named.end(), member->address) == named.end())
        relays.relays.push_back(member->address);
    }
    chosen.push_back(std::move(relays));
  }
  return chosen;
}

}  // namespace moorfold
