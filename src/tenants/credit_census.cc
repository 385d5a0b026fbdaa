#include "tenants/credit_census.h"

#include <algorithm>
#include <vector>

namespace moorfold::quota {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;

/// A daemon that is silent for longer is counted no more. One that lives behind a cut goes on
/// making its share: a cut that lasts longer lets tenants go over their limits by what is behind
/// it.
constexpr minutes kCountedFor{5};
/// Daemons report twice a second, and to a new leader once they have seen its key.
constexpr milliseconds kFirstCount{2'500};
/// A pool that has not reported for so long is replaced by another.
constexpr milliseconds kPoolLost{3'000};
/// One pool serves some hundred questions a second with a hundredth of a core: for each 32 daemons
/// one. At least three, so that two may go, and at most eight, so that lists stay short.
constexpr std::size_t kDaemonsPerPool = 32;
constexpr std::size_t kLeastPools = 3;
constexpr std::size_t kMostPools = 8;

}  // namespace

void CreditCensus::Note(const std::string& address, double strength, Time now) {
  if (address != self_) members_[address] = {strength, now};
}

bool CreditCensus::Alive(const std::string& address, Time leading_since, Time now) const {
  if (address == self_) return true;
  const auto member = members_.find(address);
  if (member != members_.end()) return now - member->second.seen < kPoolLost;
  return now - leading_since < kPoolLost;  // It may not have found its new leader yet.
}

CreditSharing CreditCensus::Count(const CreditSharing& known, Time leading_since, Time now) {
  std::erase_if(members_,
                [&](const auto& member) { return now - member.second.seen > kCountedFor; });
  CreditSharing sharing;
  const auto counted = static_cast<std::uint32_t>(members_.size() + 1);
  const bool led_long = now - leading_since > kCountedFor;
  sharing.daemons = led_long ? counted : std::max(known.daemons, counted);
  if (known.daemons == 0 && now - leading_since < kFirstCount) return {};
  for (const std::string& host : known.hosts)
    if (Alive(host, leading_since, now)) sharing.hosts.push_back(host);
  struct Candidate {
    double strength;
    std::string address;
  };
  std::vector<Candidate> candidates = {{strength_, self_}};
  for (const auto& [address, member] : members_)
    if (now - member.seen < kPoolLost) candidates.push_back({member.strength, address});
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& left, const Candidate& right) { return left.strength > right.strength; });
  const std::size_t wanted =
      std::clamp<std::size_t>(sharing.daemons / kDaemonsPerPool, kLeastPools, kMostPools);
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
