// Guards against an unload that a server carries out long after the leader gave up on it: by then
// the model may be in use again. The order count that the order names makes the server reject it.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <functional>

#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "http/http_client.h"
#include "protocol.h"
#include "server_emulator.h"
#include "store_emulator.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kServer = "i-1";
constexpr milliseconds kLateness{400};

/// An emulated server that holds "b", and the outcomes of the orders sent to it.
struct OrderedServer {
  OrderedServer()
      : checker(PromiseChecker::Bounds{}),
        store(context, 1),
        server(context, store, checker, Options(), 2),
        client(context) {
    store.Start();
    server.Start();
    server.faults().order_lateness = kLateness;
  }
  ~OrderedServer() { context.DestroyHandlers(); }
  OrderedServer(const OrderedServer&) = delete;
  OrderedServer& operator=(const OrderedServer&) = delete;

  static ServerOptions Options() {
    ServerOptions options;
    options.id = kServer;
    options.service = "models";
    options.engine = true;
    options.models = {{"b", {}}};
    options.load_time = milliseconds(20);
    return options;
  }
  bool Holds(const std::string& model) const {
    for (const LoadedModel& held : server.options().models)
      if (held.name == model) return true;
    return false;
  }
  void RunFor(milliseconds time) {
    const auto end = BootClock::now() + time;
    while (BootClock::now() < end) context.run_one_for(milliseconds(5));
  }
  ServerOrderOutcome Send(const ServerOrder& order) {
    std::optional<ServerOrderOutcome> outcome;
    boost::asio::co_spawn(
        context,
        [&]() -> Awaitable<void> {
          HttpSendOptions options;
          options.deadline = BootClock::now() + std::chrono::seconds(10);
          options.fresh_connection = true;
          try {
            const HttpResponse response =
                co_await client.Send(server.endpoint(), protocol.MakeOrder(order), options);
            outcome = protocol.ReadOrderAnswer(response.status);
          } catch (const HttpError&) {
            outcome = ServerOrderOutcome::kNoAnswer;
          }
        },
        boost::asio::detached);
    while (!outcome) context.run_one_for(milliseconds(5));
    return *outcome;
  }

  ClosableContext context{1};
  PromiseChecker checker;
  StoreEmulator store;
  ServerEmulator server;
  platform::Protocol protocol;
  HttpClient client;
};

const ServerOrder kUnload{ServerOrderKind::kUnload, "b", "", kServer, 0, "first", 1};

TEST_CASE("A late unload does nothing after another order; without one it is carried out") {
  OrderedServer ordered;
  ordered.server.faults().late_order_share = 1;
  CHECK(ordered.Send(kUnload) == ServerOrderOutcome::kNoAnswer);
  ordered.server.faults().late_order_share = 0;
  SECTION("the next leader's order comes first") {
    CHECK(ordered.Send({ServerOrderKind::kLoad, "a", "", kServer, 0, "second", 2}) ==
          ServerOrderOutcome::kInProgress);
    ordered.RunFor(2 * kLateness);
    CHECK(ordered.Holds("a"));
    CHECK(ordered.Holds("b"));
  }
  SECTION("no other order") {
    ordered.RunFor(2 * kLateness);
    CHECK_FALSE(ordered.Holds("b"));
    // The next leader's order names the count from before the unload and is rejected in turn.
    CHECK(ordered.Send({ServerOrderKind::kLoad, "a", "", kServer, 0, "second", 2}) ==
          ServerOrderOutcome::kConflict);
  }
}

}  // namespace
}  // namespace moorfold
