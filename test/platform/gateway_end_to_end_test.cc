// Runs complete gateways against the emulated platform, over loopback, on one thread.

#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

TEST_CASE("A model without a copy is loaded once for requests at two gateways") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  deployment.RunFor(milliseconds(3'200));  // Until the leader may issue orders.
  const std::string unloaded_model = deployment.platform.models().back();
  CHECK(deployment.Send(0, deployment.Stream("one", unloaded_model)).status == 200);
  CHECK(deployment.Send(1, deployment.Stream("two", unloaded_model)).status == 200);
  CHECK(deployment.Send(0, deployment.Stream("three", unloaded_model + "/a1")).status == 200);
  int holders = 0;
  for (const auto& server : deployment.platform.servers())
    for (const LoadedModel& held : server->options().models)
      holders += held.name == unloaded_model ? 1 : 0;
  CHECK(holders == 1);
  CHECK(deployment.platform.checker().violations().empty());
}

TEST_CASE("A server that restarts under the same id during a load gets a new order promptly") {
  PlatformOptions options;
  options.same_id = true;
  options.restart_after = milliseconds(300);
  options.model_servers = 1;
  options.models = 2;
  options.load_time = milliseconds(1'500);
  Deployment deployment(1, options);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  deployment.RunFor(milliseconds(3'200));  // Until the leader may issue orders.
  BootClock::time_point ended{};
  BootTimer timer(deployment.context, BootClock::now() + milliseconds(600));
  timer.async_wait([&](const boost::system::error_code&) {
    deployment.platform.servers().front()->End();
    ended = BootClock::now();
  });
  const std::string unloaded_model = deployment.platform.models().back();
  bool served = false;
  for (int number = 0; number < 200 && !served; ++number) {
    const std::string id = "r-" + std::to_string(number);
    served = deployment.Send(0, deployment.Stream(id, unloaded_model)).status == 200;
    deployment.RunFor(milliseconds(50));
  }
  CHECK(served);
  REQUIRE(ended != BootClock::time_point{});
  // Covers the restart, the registration and a load of 1.5 s. The order of the previous incarnation
  // must not delay it.
  CHECK(BootClock::now() - ended < milliseconds(6'000));
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("Every kind of request is served without faults, and no invariant is violated") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  deployment.clients->Start(6);
  REQUIRE(deployment.RunUntil([&] { return deployment.clients->counts().served >= 200; }));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  deployment.platform.checker().Finish();
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
  CHECK(deployment.clients->counts().unknown == 0);
}

TEST_CASE("Refusals that servers repeat or send without an ID make no refused request run") {
  PlatformOptions options;
  options.plain_servers = 1;  // A refused request comes back to the same server.
  options.model_servers = 1;
  Deployment deployment(1, options);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  for (const auto& server : deployment.platform.servers()) {
    server->faults().refusal_share = 0.4;
    server->faults().repeated_refusal_share = 0.5;
    server->faults().unnamed_refusal_share = 0.05;
  }
  deployment.clients->Start(3);
  const auto repeated = [&] {
    std::uint64_t count = 0;
    for (const auto& server : deployment.platform.servers()) count += server->refusals_repeated();
    return count;
  };
  REQUIRE(deployment.RunUntil([&] { return repeated() >= 15; }));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  CHECK(deployment.clients->counts().served > 0);
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE(
    "Requests are served while the store is down, and the newest configuration applies after") {
  Deployment deployment(1);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  deployment.platform.store().faults().unavailable = true;
  deployment.RunFor(milliseconds(1'500));
  HttpRequest request{
      "GET", "/safe/x", {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", "a"}}, ""};
  deployment.platform.checker().Sent("a", RequestKind::kRepeatable);
  CHECK(deployment.Send(0, request).status == 200);
  deployment.platform.Configure();
  deployment.platform.store().faults().unavailable = false;
  REQUIRE(deployment.RunUntil(
      [&] { return deployment.gateways[0]->gateway.metrics().configuration_version == 2; }));
}

TEST_CASE("Requests are served while the store limits calls, and the configuration applies after") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  StoreFaults& faults = deployment.platform.store().faults();
  faults.reads_per_second = faults.writes_per_second = 2;
  deployment.clients->Start(6);
  const auto refused = [&](std::size_t number) {
    return deployment.gateways[number]->gateway.metrics().store_calls.Count(
        {{"call", "watch"}, {"outcome", "rate_limited"}});
  };
  REQUIRE(deployment.RunUntil([&] { return refused(0) + refused(1) > 0; }));
  const std::uint64_t served = deployment.clients->counts().served;
  REQUIRE(deployment.RunUntil([&] { return deployment.clients->counts().served > served + 50; }));
  deployment.platform.Configure();
  faults = {};
  REQUIRE(deployment.RunUntil([&] {
    return deployment.gateways[0]->gateway.metrics().configuration_version == 2 &&
           deployment.gateways[1]->gateway.metrics().configuration_version == 2;
  }));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  deployment.platform.checker().Finish();
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("Client retries and server failures do not make gateways exceed the retry budget") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  deployment.clients->SetImpatient(true);
  for (const auto& server : deployment.platform.servers()) {
    server->faults().error_share = 0.5;
    server->faults().no_answer_share = 0.3;
  }
  deployment.clients->Start(8);
  REQUIRE(deployment.RunUntil([&] { return deployment.clients->counts().sent > 400; }));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  deployment.platform.checker().Finish();
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("Requests cancelled by clients are neither forwarded nor processed") {
  Deployment deployment(1);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  deployment.clients->Start(12);
  REQUIRE(deployment.RunUntil([&] { return deployment.clients->counts().left >= 6; }));
  deployment.RunFor(milliseconds(1'500));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  deployment.platform.checker().Finish();
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("A store that compacts its history is listed again") {
  Deployment deployment(1);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  deployment.platform.store().faults().history_gone = true;
  deployment.RunFor(milliseconds(300));
  deployment.platform.Configure();
  REQUIRE(deployment.RunUntil(
      [&] { return deployment.gateways[0]->gateway.metrics().configuration_version == 2; }));
}

TEST_CASE("Another gateway leads after the leader loses the store, and orders do not overlap") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  deployment.clients->Start(4);
  REQUIRE(deployment.RunUntil([&] {
    return deployment.gateways[0]->gateway.metrics().orders.Total() +
               deployment.gateways[1]->gateway.metrics().orders.Total() >
           0;
  }));
  const int first = deployment.gateways[0]->gateway.metrics().leading > 0 ? 0 : 1;
  deployment.platform.store_proxy(first).SetMode(ProxyMode::kSilent);
  const auto& second = deployment.gateways[static_cast<std::size_t>(1 - first)]->gateway;
  REQUIRE(deployment.RunUntil([&] { return second.metrics().leading > 0; }));
  const std::uint64_t before = second.metrics().orders.Total();
  deployment.RunUntil([&] { return second.metrics().orders.Total() > before; },
                      milliseconds(8'000));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

/// Gateways that relay changes regardless of their number.
struct RelayingDeployment : Deployment {
  explicit RelayingDeployment(int gateway_count) : Deployment(gateway_count, {}, 2) {
    REQUIRE(RunUntil([&] { return AllReady() && Leaders() == 1; }));
    REQUIRE(RunUntil([&] { return Following() == gateway_count - 1; }));
  }
  const GatewayMetrics& Metrics(int number) const {
    return gateways[static_cast<std::size_t>(number)]->gateway.metrics();
  }
  int Leader() const {
    int number = 0;
    while (Metrics(number).leading == 0) ++number;
    return number;
  }
  int Following() const {
    int following = 0;
    for (const auto& each : gateways)
      following += each->gateway.metrics().relay_answers_taken > 0 ? 1 : 0;
    return following;
  }
};

TEST_CASE("Followers use the changes relayed by the leader and do not poll the store") {
  RelayingDeployment deployment(3);
  const int leader = deployment.Leader();
  deployment.clients->Start(4);
  std::vector<std::uint64_t> calls;
  for (int number = 0; number < 3; ++number)
    calls.push_back(deployment.Metrics(number).store_calls.Total());
  deployment.RunFor(milliseconds(5'000));
  for (int number = 0; number < 3; ++number) {
    const std::uint64_t calls_made =
        deployment.Metrics(number).store_calls.Total() - calls[static_cast<std::size_t>(number)];
    CAPTURE(number, leader, calls_made);
    if (number == leader)
      CHECK(calls_made >= 5);
    else
      CHECK(calls_made <= 2);  // Without the leader, one call every 1.1 s.
  }
  deployment.platform.Configure();
  const auto in_force = [&] {
    for (int number = 0; number < 3; ++number)
      if (deployment.Metrics(number).configuration_version != 2) return false;
    return true;
  };
  CHECK(deployment.RunUntil(in_force));
  deployment.platform.ReplaceServer(4);
  REQUIRE(deployment.RunUntil([&] { return deployment.clients->counts().served >= 150; }));
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

TEST_CASE("Followers read the store directly when the leader is cut off from it") {
  RelayingDeployment deployment(3);
  const int leader = deployment.Leader();
  deployment.platform.store_proxy(leader).SetMode(ProxyMode::kSilent);
  deployment.platform.Configure();
  const auto in_force = [&] {
    for (int number = 0; number < 3; ++number)
      if (number != leader && deployment.Metrics(number).configuration_version != 2) return false;
    return true;
  };
  REQUIRE(deployment.RunUntil(in_force));
  // Another gateway becomes the leader, and the rest follow it.
  REQUIRE(deployment.RunUntil([&] {
    for (int number = 0; number < 3; ++number)
      if (number != leader && deployment.Metrics(number).leading > 0) return true;
    return false;
  }));
  std::uint64_t taken = 0;
  for (int number = 0; number < 3; ++number)
    if (number != leader) taken += deployment.Metrics(number).relay_answers_taken;
  REQUIRE(deployment.RunUntil([&] {
    std::uint64_t now_taken = 0;
    for (int number = 0; number < 3; ++number)
      if (number != leader) now_taken += deployment.Metrics(number).relay_answers_taken;
    return now_taken > taken + 2;
  }));
}

TEST_CASE("Draining servers get no requests, and a shutdown under load loses no request") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady(); }));
  deployment.clients->Start(6);
  REQUIRE(deployment.RunUntil([&] { return deployment.clients->counts().served >= 50; }));
  deployment.platform.ReplaceServer(4);
  REQUIRE(deployment.RunUntil([&] { return deployment.clients->counts().served >= 150; }));
  const std::uint64_t unknown = deployment.clients->counts().unknown;
  deployment.addresses[0].ready = false;
  deployment.gateways[0]->gateway.BeginStop();
  REQUIRE(deployment.RunUntil([&] { return deployment.context.stopped(); }));
  CHECK(deployment.clients->counts().unknown == unknown);
  CHECK(deployment.platform.checker().violations() == std::vector<std::string>{});
}

}  // namespace
}  // namespace moorfold
