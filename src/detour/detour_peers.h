#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "detour/detour_messages.h"
#include "http/http_types.h"

namespace moorfold::detour {

/// A daemon through which a request can be sent.
struct Target {
  std::string peer;  ///< "IP:PORT" for datagrams, which identifies the daemon.
  Endpoint endpoint;
  std::uint64_t token = 0;
};

/// What a request needs of the daemon that forwards it.
struct Need {
  /// The daemon must have contact with one of these servers; empty: with any server.
  std::vector<std::string> server_ids;
  std::vector<std::string> excluded_peers;  ///< As in Target::peer.
};

/// The daemons that currently offer to forward requests. Pure; single-threaded.
class DetourPeers {
 public:
  using Time = BootClock::time_point;

  /// @param peer "IP:PORT" from which the offer came.
  void Note(const std::string& peer, const DetourOffer& offer, Time now);
  /// Chooses the daemon with the fewest forwarded requests, and counts one more for it.
  std::optional<Target> Choose(const Need& need, Time now);
  /// @return number of daemons whose offers can be used.
  std::size_t Offers(Time now) const;

 private:
  struct Peer {
    DetourOffer offer;
    Time offered_at{};
    std::uint32_t assigned = 0;  ///< Requests sent there since the offer.
  };
  static bool Usable(const Peer& peer, Time now);
  static bool Meets(const std::string& address, const Peer& peer, const Need& need);

  std::map<std::string, Peer> peers_;  ///< By address.
};

}  // namespace moorfold::detour
