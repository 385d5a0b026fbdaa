// Runs complete gateways against the emulated platform with a slow weight store.

#include <unistd.h>

#include <boost/asio/ip/udp.hpp>

#include "fleet/fleet_messages.h"
#include "free_ports.h"
#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

PlatformOptions SlowWeightStore() {
  PlatformOptions options;
  options.model_servers = 1;
  options.models = 8;
  options.load_time = milliseconds(6'000);
  return options;
}

std::uint64_t RefusedByOutlook(const Deployment& deployment) {
  std::uint64_t refused = 0;
  for (const auto& each : deployment.gateways)
    refused += each->gateway.metrics().requests_refused_by_outlook > 0 ? 1 : 0;
  return refused;
}

TEST_CASE("The leader and the other daemons refuse requests whose models load too late") {
  // Guards against an outlook that is not announced, not received or not acted upon.
  Deployment deployment(2, SlowWeightStore());
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  deployment.RunFor(milliseconds(3'200));  // Until the leader may issue orders.
  int number = 0;
  const auto give_up = BootClock::now() + milliseconds(25'000);
  while (RefusedByOutlook(deployment) < 2 && BootClock::now() < give_up)
    for (const std::string& model : deployment.platform.models())
      for (int gateway = 0; gateway < 2; ++gateway)
        deployment.Send(gateway, deployment.Stream("r-" + std::to_string(number++), model));
  CHECK(RefusedByOutlook(deployment) == 2);
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("A load outlook from a sender other than the leader is dropped") {
  // Guards against a daemon that has lost the leadership, or a stray sender, blocking a model.
  Deployment deployment(1);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  EventLog log(-1, {});
  const platform::Protocol protocol;
  platform::StoreClient store(deployment.context, deployment.platform.store_for(1), {});
  GatewaySettings settings = GatewayUnderTest::Settings("follower", 0);
  FreePorts ports(static_cast<int>(::getpid()));
  settings.peer.port = ports.Next();
  Gateway follower(deployment.context, settings, store, protocol, log);
  follower.Start();
  REQUIRE(deployment.RunUntil([&] { return follower.metrics().configuration_version >= 1; }));
  boost::asio::ip::udp::socket stray(deployment.context, boost::asio::ip::udp::v4());
  const std::string bytes =
      EncodeMessage(FleetMessage(LoadOutlookNotice{"pool", {{"nowhere", 60'000}}}));
  stray.send_to(boost::asio::buffer(bytes),
                {boost::asio::ip::make_address("127.0.0.1"), settings.peer.port});
  deployment.RunFor(milliseconds(200));
  HttpClient client(deployment.context);
  std::optional<unsigned> status;
  boost::asio::co_spawn(
      deployment.context,
      [&]() -> Awaitable<void> {
        HttpSendOptions options;
        options.deadline = BootClock::now() + std::chrono::seconds(20);
        HttpRequest request = deployment.Stream("stray", "nowhere");
        status = (co_await client.Send(follower.listen(), std::move(request), options)).status;
      },
      boost::asio::detached);
  REQUIRE(deployment.RunUntil([&] { return status.has_value(); }));
  CHECK(*status == 503);
  CHECK(follower.metrics().requests_refused_by_outlook == 0);
  CHECK(follower.metrics().waits_for_server == 1);
  CHECK(follower.metrics().leading == 0);
}

}  // namespace
}  // namespace moorfold
