#include "detour/detour_grants.h"

#include <algorithm>

namespace moorfold::detour {

namespace {

/// Longer than an offer is used, so that requests in flight are still taken.
constexpr std::chrono::seconds kGrantLifetime{10};
/// More than the daemons of a large zone that may lose their servers at once.
constexpr std::size_t kMaxGrants = 512;

}  // namespace

std::uint64_t DetourGrants::Grant(const std::string& peer, std::uint64_t fresh_token, Time now) {
  std::erase_if(by_peer_, [&](const auto& entry) { return entry.second.until <= now; });
  const auto found = by_peer_.find(peer);
  if (found == by_peer_.end() && by_peer_.size() >= kMaxGrants) return 0;
  Granted& granted = by_peer_[peer];
  if (granted.token == 0) granted.token = fresh_token;
  granted.until = now + kGrantLifetime;
  return granted.token;
}

bool DetourGrants::Allows(std::uint64_t token, const std::string& ip, Time now) const {
  return token != 0 && std::any_of(by_peer_.begin(), by_peer_.end(), [&](const auto& entry) {
           const auto& [peer, granted] = entry;
           return granted.token == token && granted.until > now &&
                  peer.compare(0, peer.rfind(':'), ip) == 0;
         });
}

}  // namespace moorfold::detour
