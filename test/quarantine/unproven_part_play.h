#pragma once

#include "gateway_deployment.h"

namespace moorfold {

inline PlatformOptions ManyModelServers(int gateways) {
  PlatformOptions options;
  options.gateways = gateways;
  options.model_servers = 8;
  options.restart_after = std::chrono::milliseconds(800);
  return options;
}

/// For five seconds every stream with a certain part also has one that crashes servers; after that
/// every other stream lacks the crashing part. Checks that those are served.
inline void PlayUnprovenPart(int gateways) {
  using std::chrono::milliseconds;
  Deployment deployment(gateways, ManyModelServers(gateways));
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  deployment.clients->Start(6);
  deployment.RunFor(milliseconds(4'000));  // Until the leader may issue orders.
  deployment.clients->StartEndingPart("one", milliseconds(150), milliseconds(5'000));
  deployment.RunFor(milliseconds(18'000));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  deployment.platform.checker().Finish();
  const EndingSummary& endings = deployment.platform.checker().part_endings();
  CHECK(endings.most_servers >= 5);
  CHECK(endings.sent_when_known <= 3);
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
  const ClientCounts& sound = deployment.clients->beside_ending_parts();
  CHECK(sound.sent >= 10);
  CHECK(2 * sound.served >= sound.sent);
}

}  // namespace moorfold
