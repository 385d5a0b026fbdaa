// Requests under which servers end, against whole gateways over sockets.

#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

PlatformOptions ManyServers() {
  PlatformOptions options;
  options.plain_servers = 8;
  return options;
}

/// Three gateways under load, and a client that sends one request under which servers end.
struct EndingDeployment : Deployment {
  explicit EndingDeployment(int gateway_count = 3) : Deployment(gateway_count, ManyServers()) {
    REQUIRE(RunUntil([&] { return AllReady() && Leaders() == 1; }));
    clients->Start(6);
  }
  const EndingSummary& Endings() { return platform.checker().endings(); }
  void Finish() {
    clients->Stop();
    RunUntil([&] { return clients->running() == 0; });
    platform.checker().Finish();
    CHECK(platform.checker().violations() == std::vector<std::string>{});
  }
};

TEST_CASE("A request under which servers end is sent to three of them at most, at any gateway") {
  for (const RequestKind kind :
       {RequestKind::kAtMostOnce, RequestKind::kRepeatable, RequestKind::kStream}) {
    CAPTURE(static_cast<int>(kind));
    EndingDeployment deployment;
    deployment.clients->StartEnding("one", kind, milliseconds(400), 1);
    deployment.RunFor(milliseconds(9'000));
    deployment.Finish();
    CHECK(deployment.Endings().most_servers >= 1);
    CHECK(deployment.Endings().most_servers <= 3);
    CHECK(deployment.Endings().sent_when_known == 0);
    CHECK(deployment.Endings().innocents_refused == 0);
  }
}

}  // namespace
}  // namespace moorfold
