// Runs a complete gateway against the emulated platform with servers of two software versions.

#include <unistd.h>

#include <boost/asio/ip/udp.hpp>

#include "fleet/fleet_messages.h"
#include "free_ports.h"
#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kModel = "m1";

bool Holds(const ServerEmulator& server, const std::string& model) {
  for (const LoadedModel& held : server.options().models)
    if (held.name == model) return true;
  return false;
}

TEST_CASE("The leader loads a model on the software version that another daemon reports") {
  // Guards against a report that the leader drops, and against an order to the other version.
  PlatformOptions options;
  options.model_servers = 2;
  FreePorts ports(static_cast<int>(::getpid()));
  const auto port = ports.Next();
  Deployment deployment(1, options, 0,
                        [&](int, GatewaySettings& settings) { settings.peer.port = port; });
  EmulatedPlatform& platform = deployment.platform;
  platform.SetServerVersion("v2");
  platform.ReplaceServer(0);
  const ServerEmulator& older = *platform.servers().at(1);
  const ServerEmulator& newer = *platform.servers().back();
  REQUIRE(Holds(older, kModel));
  REQUIRE(newer.options().version == "v2");
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  deployment.RunFor(milliseconds(3'200));  // Until the leader may issue orders.
  boost::asio::ip::udp::socket daemon(deployment.context, boost::asio::ip::udp::v4());
  const auto report_for = [&](const std::string& version, milliseconds time) {
    const std::string bytes =
        EncodeMessage(FleetMessage(VersionDemand{"other", {{"models", {kModel, ""}, version, 1}}}));
    const auto end = BootClock::now() + time;
    while (BootClock::now() < end && !Holds(newer, kModel)) {
      daemon.send_to(boost::asio::buffer(bytes),
                     {boost::asio::ip::make_address("127.0.0.1"), port});
      deployment.RunFor(milliseconds(100));
    }
  };
  report_for("v1", milliseconds(1'500));
  CHECK_FALSE(Holds(newer, kModel));
  report_for("v2", milliseconds(20'000));
  CHECK(Holds(newer, kModel));
  CHECK(Holds(older, kModel));
  CHECK(platform.checker().violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace moorfold
