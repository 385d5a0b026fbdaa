#pragma once

#include <string>
#include <vector>

#include "emulated_clients.h"
#include "emulated_platform.h"
#include "free_ports.h"

namespace moorfold {

/// Whose reads of the store the gateways follow, however few they are.
enum class Following { kNobody, kLeader, kRelays };

/// @param relays whether the build that begins knows them.
Following FollowingOf(std::uint64_t seed, bool relays);

/// The gateways of a soak: their addresses, and the settings files that they are started with.
class GatewayFiles {
 public:
  explicit GatewayFiles(int run) : ports_(run) {}

  /// @param quarantine_servers as the gateways' setting of that name.
  void Write(const std::string& folder, EmulatedPlatform& platform, int count, Following following,
             int quarantine_servers);
  std::vector<GatewayAddress>& addresses() { return addresses_; }

 private:
  FreePorts ports_;
  std::vector<GatewayAddress> addresses_;
};

}  // namespace moorfold
