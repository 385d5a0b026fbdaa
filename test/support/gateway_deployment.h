#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "emulated_clients.h"
#include "emulated_platform.h"
#include "gateway/gateway.h"
#include "protocol.h"
#include "store_client.h"

namespace moorfold {

/// One gateway with its own way to the store.
struct GatewayUnderTest {
  GatewayUnderTest(boost::asio::io_context& context, const std::string& name,
                   Endpoint store_address, std::uint32_t relay_from_daemons)
      : GatewayUnderTest(context, Settings(name, relay_from_daemons), store_address) {}
  GatewayUnderTest(boost::asio::io_context& context, const GatewaySettings& settings,
                   Endpoint store_address)
      : log(-1, {}),
        store(context, store_address, {}),
        gateway(context, settings, store, protocol, log) {}

  static GatewaySettings Settings(const std::string& name, std::uint32_t relay_from_daemons) {
    GatewaySettings settings;
    settings.name = name;
    settings.relay_from_daemons = relay_from_daemons;
    settings.zone = "z";
    settings.listen = {"127.0.0.1", 0};
    settings.readiness = {"127.0.0.1", 0};
    settings.peer = {"127.0.0.1", 0};
    return settings;
  }

  EventLog log;
  platform::Protocol protocol;
  platform::StoreClient store;
  Gateway gateway;
};

/// Whole gateways against the emulated platform, over loopback, on one thread.
struct Deployment {
  /// Changes the settings of gateway `number` before it starts.
  using AdjustSettings = std::function<void(int number, GatewaySettings& settings)>;

  explicit Deployment(int gateway_count, PlatformOptions options = {},
                      std::uint32_t relay_from_daemons = 0, const AdjustSettings& adjust = {})
      : platform(context, options) {
    platform.Start();
    for (int number = 0; number < gateway_count; ++number) {
      GatewaySettings settings =
          GatewayUnderTest::Settings("gateway-" + std::to_string(number), relay_from_daemons);
      if (adjust) adjust(number, settings);
      gateways.push_back(
          std::make_unique<GatewayUnderTest>(context, settings, platform.store_for(number)));
      gateways.back()->gateway.Start();
      addresses.push_back(
          {gateways.back()->gateway.listen(), gateways.back()->gateway.readiness(), false, {}});
    }
    clients = std::make_unique<EmulatedClients>(context, platform, addresses, options.seed);
  }
  ~Deployment() { context.DestroyHandlers(); }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  bool RunUntil(const std::function<bool()>& done,
                std::chrono::milliseconds patience = std::chrono::milliseconds(40'000)) {
    const auto give_up = BootClock::now() + patience;
    while (!done() && BootClock::now() < give_up)
      context.run_one_for(std::chrono::milliseconds(20));
    return done();
  }
  void RunFor(std::chrono::milliseconds time) {
    RunUntil([] { return false; }, time);
  }
  /// Sends one request through gateway `number` and waits for its answer.
  HttpResponse Send(int number, HttpRequest request) {
    return SendTo(gateways.at(static_cast<std::size_t>(number))->gateway.listen(),
                  std::move(request));
  }
  /// Sends one request to an address and waits for its answer.
  HttpResponse SendTo(const Endpoint& to, HttpRequest request) {
    std::optional<HttpResponse> response;
    HttpClient client(context);
    boost::asio::co_spawn(
        context,
        [&client, &response, to, request]() -> Awaitable<void> {
          HttpSendOptions options;
          options.deadline = BootClock::now() + std::chrono::seconds(20);
          HttpRequest copy = request;
          try {
            response = co_await client.Send(to, std::move(copy), options);
          } catch (const HttpError&) {
            response = HttpResponse{0, {}, ""};
          }
        },
        boost::asio::detached);
    REQUIRE(RunUntil([&] { return response.has_value(); }));
    return *response;
  }
  HttpRequest Stream(const std::string& id, const std::string& model) {
    platform.checker().Sent(id, RequestKind::kStream);
    return {"POST",
            "/stream/x",
            {{"Host", EmulatedPlatform::kHost},
             {"X-Request-Id", id},
             {"X-Deadline-Ms", "15000"},
             {"X-Model", model}},
            "body"};
  }
  bool AllReady() {
    for (const auto& each : gateways)
      if (each->gateway.metrics().configuration_version < 1) return false;
    return true;
  }
  int Leaders() const {
    int leaders = 0;
    for (const auto& each : gateways) leaders += each->gateway.metrics().leading > 0 ? 1 : 0;
    return leaders;
  }

  ClosableContext context{1};
  EmulatedPlatform platform;
  std::vector<std::unique_ptr<GatewayUnderTest>> gateways;
  std::vector<GatewayAddress> addresses;
  std::unique_ptr<EmulatedClients> clients;
};

}  // namespace moorfold
