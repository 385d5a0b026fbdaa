#include "detour/detour_peers.h"

#include <algorithm>

namespace moorfold::detour {

namespace {

/// Three times the interval at which offers are renewed while they are needed.
constexpr std::chrono::milliseconds kOfferLifetime{1'500};

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

void DetourPeers::Note(const std::string& peer, const DetourOffer& offer, Time now) {
  std::erase_if(peers_, [&](const auto& entry) { return !Usable(entry.second, now); });
  peers_[peer] = {offer, now, 0};
}

bool DetourPeers::Usable(const Peer& peer, Time now) {
  return peer.offer.accepts && now - peer.offered_at <= kOfferLifetime;
}

bool DetourPeers::Meets(const std::string& address, const Peer& peer, const Need& need) {
  if (Contains(need.excluded_peers, address)) return false;
  return need.server_ids.empty() ||
         std::any_of(need.server_ids.begin(), need.server_ids.end(),
                     [&](const std::string& id) { return Contains(peer.offer.server_ids, id); });
}

std::optional<Target> DetourPeers::Choose(const Need& need, Time now) {
  auto best = peers_.end();
  for (auto peer = peers_.begin(); peer != peers_.end(); ++peer) {
    if (!Usable(peer->second, now) || !Meets(peer->first, peer->second, need)) continue;
    const auto load = [](const Peer& each) { return each.offer.active + each.assigned; };
    if (best == peers_.end() || load(peer->second) < load(best->second)) best = peer;
  }
  if (best == peers_.end()) return std::nullopt;
  ++best->second.assigned;
  Endpoint endpoint = ParseEndpoint(best->first);
  endpoint.port = best->second.offer.port;
  return Target{best->first, std::move(endpoint), best->second.offer.token};
}

std::size_t DetourPeers::Offers(Time now) const {
  return static_cast<std::size_t>(std::count_if(
      peers_.begin(), peers_.end(), [&](const auto& entry) { return Usable(entry.second, now); }));
}

}  // namespace moorfold::detour
