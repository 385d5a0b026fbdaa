#include "tenants/credit_sharing_planner.h"

#include <algorithm>
#include <vector>

namespace moorfold::quota {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

/// A daemon that has not reported for longer is no longer counted. A partitioned daemon keeps
/// accruing its share, so a partition that lasts longer lets tenants exceed their limits by the
/// share of the daemons behind it.
constexpr minutes kMemberExpiry{5};
/// Delay before a first leader publishes a count: daemons report twice a second, and to a new
/// leader once they have read its key from the store.
constexpr milliseconds kFirstCountDelay{2'500};
/// A pool that has not reported for this long is replaced by another daemon.
constexpr milliseconds kPoolReportTimeout{3'000};
/// One pool for each 32 daemons: a pool answers some hundred questions a second at a hundredth of a
/// core. There are at least 3 pools, so that two may fail, and at most 8, to keep the lists short.
constexpr std::size_t kDaemonsPerPool = 32;
constexpr std::size_t kMinPools = 3;
constexpr std::size_t kMaxPools = 8;

}  // namespace

void CreditSharingPlanner::Note(const std::string& address, double strength, Time now) {
  if (address != self_) members_[address] = {strength, now};
}

bool CreditSharingPlanner::IsReporting(const std::string& address, Time leader_since,
                                       Time now) const {
  if (address == self_) return true;
  const auto member = members_.find(address);
  if (member != members_.end()) return now - member->second.seen < kPoolReportTimeout;
  return now - leader_since <
         kPoolReportTimeout;  // The daemon may not have found the new leader yet.
}

CreditSharing CreditSharingPlanner::Count(const CreditSharing& last_published, Time leader_since,
                                          Time now) {
  std::erase_if(members_,
                [&](const auto& member) { return now - member.second.seen > kMemberExpiry; });
  CreditSharing sharing;
  const auto counted = static_cast<std::uint32_t>(members_.size() + 1);
  const bool led_long = now - leader_since > kMemberExpiry;
  sharing.daemons = led_long ? counted : std::max(last_published.daemons, counted);
  if (last_published.daemons == 0 && now - leader_since < kFirstCountDelay) return {};
  for (const std::string& host : last_published.hosts)
    if (IsReporting(host, leader_since, now)) sharing.hosts.push_back(host);
  struct Candidate {
    double strength;
    std::string address;
  };
  std::vector<Candidate> candidates = {{strength_, self_}};
  for (const auto& [address, member] : members_)
    if (now - member.seen < kPoolReportTimeout) candidates.push_back({member.strength, address});
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.strength > right.strength; });
  const std::size_t wanted =
      std::clamp<std::size_t>(sharing.daemons / kDaemonsPerPool, kMinPools, kMaxPools);
  for (const Candidate& candidate : candidates) {
    if (sharing.hosts.size() >= wanted) break;
    const auto& hosts = sharing.hosts;
    if (std::find(hosts.begin(), hosts.end(), candidate.address) == hosts.end())
      sharing.hosts.push_back(candidate.address);
  }
  if (sharing.hosts.size() > wanted) sharing.hosts.resize(wanted);
  return sharing;
}

}  // namespace moorfold::quota
