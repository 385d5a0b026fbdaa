// Servers that state a rate limit, behind several complete gateways over loopback.

#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// Gateways under steady load; the first plain server states a limit.
struct LimitedDeployment {
  explicit LimitedDeployment(int gateways, int plain_servers = 3)
      : deployment(gateways, Options(gateways, plain_servers)) {
    REQUIRE(
        deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
    deployment.clients->Start(kClients);
  }
  ~LimitedDeployment() {
    deployment.clients->Stop();
    deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  }
  LimitedDeployment(const LimitedDeployment&) = delete;
  LimitedDeployment& operator=(const LimitedDeployment&) = delete;

  static PlatformOptions Options(int gateways, int plain_servers) {
    PlatformOptions options;
    options.gateways = gateways;
    options.plain_servers = plain_servers;
    return options;
  }
  ServerEmulator& Limited() {
    for (const auto& server : deployment.platform.servers())
      if (!server->options().engine) return *server;
    throw std::logic_error("no plain server");
  }
  const std::vector<std::string>& Violations() {
    return deployment.platform.statement_checker().violations();
  }

  static constexpr int kClients = 30;
  Deployment deployment;
};

TEST_CASE("All daemons together stay within the limit that a server states") {
  const int gateways = GENERATE(2, 6);
  const double limit = GENERATE(1.0, 6.0);
  CAPTURE(gateways, limit);
  LimitedDeployment limited(gateways);
  limited.Limited().NameLimit(limit);
  limited.deployment.RunFor(milliseconds(9'000));
  CHECK(limited.Violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace moorfold
