#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "common/boot_clock.h"

namespace moorfold::detour {

/// The daemons to which this one has offered to forward requests. A forwarded request is taken only
/// from the address of such a daemon and with its token, so that nobody else can pass for a daemon.
/// Bounded; single-threaded.
class DetourGrants {
 public:
  using Time = BootClock::time_point;

  /// @param peer "IP:PORT" of the daemon that gets the offer.
  /// @param fresh_token used unless a grant to that daemon is still valid.
  /// @return the token for the offer.
  std::uint64_t Grant(const std::string& peer, std::uint64_t fresh_token, Time now);
  /// @param ip address from which the request came.
  bool Allows(std::uint64_t token, const std::string& ip, Time now) const;

 private:
  struct Granted {
    std::uint64_t token = 0;
    Time until{};
  };
  std::map<std::string, Granted> by_peer_;
};

}  // namespace moorfold::detour
