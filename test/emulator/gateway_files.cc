#include "gateway_files.h"

#include <fstream>

namespace moorfold {

namespace {

constexpr const char* kAddress = "127.0.0.1";

}  // namespace

Following FollowingOf(std::uint64_t seed, bool relays) {
  constexpr std::uint64_t kEven = 2;
  constexpr std::uint64_t kKinds = 4;
  if (seed % kEven == 0) return Following::kNobody;
  return relays && seed % kKinds == 1 ? Following::kRelays : Following::kLeader;
}

void GatewayFiles::Write(const std::string& folder, EmulatedPlatform& platform, int count,
                         Following following, int quarantine_servers) {
  for (int number = 0; number < count; ++number) {
    const Endpoint front{kAddress, ports_.Next()};
    const Endpoint readiness{kAddress, ports_.Next()};
    const Endpoint peer{kAddress, ports_.Next()};
    std::ofstream file(folder + "/gateway-" + std::to_string(number) + ".yaml");
    file << "name: gateway-" << number << "\nzone: z\nlisten: " << ToString(front)
         << "\nreadiness: " << ToString(readiness) << "\npeer: " << ToString(peer)
         << "\nstore: " << ToString(platform.store_for(number))
         << "\ndrain_timeout: 8s\norder_handover: 3s\nrelay_from_daemons: "
         << (following == Following::kNobody ? 0 : 2)
         << (following == Following::kRelays ? "\nrelays_from_daemons: 2" : "")
         << "\nquarantine_servers: " << quarantine_servers << "\nquota_window: 8s"
         << "\nquota_overshoot: 0.1\nquota_slack: 4\n";
    addresses_.push_back({front, readiness, false, {}});
  }
}

}  // namespace moorfold
