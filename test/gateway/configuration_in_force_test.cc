// Guards against requests that are executed by a service that only an outdated configuration lists,
// after the bound of 2.0 s within which a newer one must be in force. It happened with the store
// and the daemons healthy, in those daemons whose last read of the store began just before the
// newer configuration was acknowledged, in all of them together: the next read's response was lost
// or late, the read was given up after 1.0 to 1.5 s, and the following read returned the
// configuration 2.2 to 2.7 s after the acknowledgement. Meanwhile, and after any pause of the
// process, requests used the known routes regardless of their age.
//
// Cause: the delays added up, 1.1 s between reads, 1.0 to 1.5 s until a read was given up and 0.1 s
// before the next, in components that did not know of each other, and no component checked the age
// of the routes before it used them. The tests lose or delay one response of the store, or block
// the process.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "gateway/gateway.h"
#include "protocol.h"
#include "server_emulator.h"
#include "store_client.h"
#include "store_emulator.h"

namespace moorfold {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr const char* kHost = "host.example";
constexpr milliseconds kBound{2'000};

/// @return version `version` of a configuration whose only route leads to `service`.
std::string ConfigurationText(int version, const std::string& service) {
  const json::object route = {{"name", "moved"},    {"host", kHost},      {"pathPrefix", "/moved/"},
                              {"type", "safe"},     {"timeoutMs", 4'000}, {"targetMs", 200},
                              {"service", service}, {"attempts", 2},      {"priority", 1}};
  const json::array services = {json::object{{"name", "old"}, {"maxConns", 100}},
                                json::object{{"name", "new"}, {"maxConns", 100}}};
  return json::serialize(
      json::value{{"version", version}, {"routes", json::array{route}}, {"services", services}});
}

/// A complete gateway on its own thread, which can be blocked while everything else runs.
class GatewayOnThread {
 public:
  explicit GatewayOnThread(Endpoint store_address)
      : log_(-1, {}),
        store_(context_, store_address, {}),
        gateway_(context_, Settings(), store_, protocol_, log_) {
    gateway_.Start();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~GatewayOnThread() {
    context_.stop();
    thread_.join();
    context_.DestroyHandlers();
  }
  GatewayOnThread(const GatewayOnThread&) = delete;
  GatewayOnThread& operator=(const GatewayOnThread&) = delete;

  Endpoint listen() const { return gateway_.listen(); }
  void Stall(milliseconds length) {
    boost::asio::post(context_, [length] { std::this_thread::sleep_for(length); });
  }

 private:
  static GatewaySettings Settings() {
    GatewaySettings settings;
    settings.name = "gateway";
    settings.zone = "z";
    settings.listen = settings.readiness = settings.peer = {"127.0.0.1", 0};
    settings.configuration_bound = settings.staleness_bound = kBound;
    return settings;
  }

  ClosableContext context_{1};
  EventLog log_;
  platform::Protocol protocol_;
  platform::StoreClient store_;
  Gateway gateway_;
  std::thread thread_;
};

/// A request on the client's persistent connection, and whether the first server of the old service
/// executed it.
struct ServedRequest {
  BootClock::time_point sent;
  unsigned status = 0;
  bool by_old_server = false;
};

/// A store, a server of each service, a gateway, and a client that sends one request after another
/// on one connection. The tests move the route from the old service to the new one.
struct MovedRoute {
  MovedRoute()
      : checker(PromiseChecker::Bounds{}),
        store(context, 1),
        old_server(context, store, checker, Server("old"), 2),
        new_server(context, store, checker, Server("new"), 3),
        spare_server(context, store, checker, Server("old", "i-spare"), 4),
        client(context) {
    store.Start();
    old_server.Start();
    new_server.Start();
    store.Put("op/config", ConfigurationText(1, "old"));
    gateway = std::make_unique<GatewayOnThread>(store.endpoint());
    boost::asio::co_spawn(context, SendRequests(), boost::asio::detached);
    REQUIRE(RunUntil([&] { return !served.empty() && served.back().by_old_server; }));
    RunFor(milliseconds(1'500));  // Until the reads at startup are over.
  }
  ~MovedRoute() {
    gateway.reset();
    context.DestroyHandlers();
  }
  MovedRoute(const MovedRoute&) = delete;
  MovedRoute& operator=(const MovedRoute&) = delete;

  static ServerOptions Server(const std::string& service, const std::string& id = "") {
    ServerOptions options;
    options.id = id.empty() ? "i-" + service : id;
    options.service = service;
    options.work = milliseconds(1);
    return options;
  }
  bool RunUntil(const std::function<bool()>& condition,
                milliseconds timeout = milliseconds(40'000)) {
    const auto wait_ends = BootClock::now() + timeout;
    while (!condition() && BootClock::now() < wait_ends) context.run_one_for(milliseconds(5));
    return condition();
  }
  void RunFor(milliseconds time) {
    RunUntil([] { return false; }, time);
  }
  /// Waits until the store has just responded to a read of the gateway.
  void AwaitRead() {
    const std::uint64_t before = store.reads_answered();
    REQUIRE(RunUntil([&] { return store.reads_answered() > before; }));
    RunFor(milliseconds(20));  // Until the response has arrived.
  }
  void MoveRoute() {
    store.Put("op/config", ConfigurationText(2, "new"));
    changed_at = BootClock::now();
  }
  /// Makes the first server of the old service leave.
  void DrainOldServer() {
    old_server.Drain();
    changed_at = BootClock::now();
  }
  Awaitable<void> SendRequests() {
    constexpr milliseconds kPause{10};
    for (int number = 0;; ++number) {
      while (client_paused) co_await Sleep(kPause);
      const std::string id = "r-" + std::to_string(number);
      checker.Sent(id, RequestKind::kRepeatable);
      HttpRequest request{"GET",
                          "/moved/x",
                          {{"Host", kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "8000"}},
                          ""};
      HttpSendOptions options;
      options.deadline = BootClock::now() + std::chrono::seconds(10);
      ServedRequest each;
      each.sent = BootClock::now();
      const std::uint64_t runs_before = old_server.runs();
      try {
        const Endpoint to = gateway->listen();
        const HttpResponse response = co_await client.Send(to, std::move(request), options);
        each.status = response.status;
      } catch (const HttpError&) {
        each.status = 0;
      }
      each.by_old_server = old_server.runs() > runs_before;
      served.push_back(each);
      co_await Sleep(kPause);
    }
  }
  /// @return the number of requests sent after the bound had passed that the old server executed.
  int CountRunByOldServer() const {
    int count = 0;
    for (const ServedRequest& each : served)
      if (each.sent - changed_at > kBound && each.by_old_server) ++count;
    return count;
  }
  int CountFailed() const {
    int count = 0;
    for (const ServedRequest& each : served)
      if (each.sent > changed_at && each.status != 200) ++count;
    return count;
  }
  void CheckChangeInForce() {
    RunFor(milliseconds(4'500));
    REQUIRE_FALSE(served.back().by_old_server);
    CHECK(CountRunByOldServer() == 0);
    CHECK(CountFailed() == 0);
  }

  ClosableContext context{1};
  PromiseChecker checker;
  StoreEmulator store;
  ServerEmulator old_server;
  ServerEmulator new_server;
  ServerEmulator spare_server;  ///< Of the old service; started only by the tests that need it.
  HttpClient client;
  std::unique_ptr<GatewayOnThread> gateway;
  std::vector<ServedRequest> served;
  BootClock::time_point changed_at{};
  bool client_paused = false;  ///< The client sends no requests but keeps its connection.
};

TEST_CASE("A configuration is in force within its bound although a store response is lost") {
  MovedRoute route;
  route.AwaitRead();
  route.MoveRoute();
  route.store.faults().next_read_lost = true;
  route.CheckChangeInForce();
}

TEST_CASE("A configuration is in force within its bound although a store response is late") {
  for (const milliseconds late : {milliseconds(700), milliseconds(950), milliseconds(1'500)}) {
    CAPTURE(late.count());
    MovedRoute route;
    route.AwaitRead();
    route.MoveRoute();
    route.store.faults().next_read_late = late;
    route.CheckChangeInForce();
  }
}

TEST_CASE("A leaving server is no longer used after its bound although a store response is lost") {
  MovedRoute route;
  route.spare_server.Start();
  route.RunFor(milliseconds(1'500));
  route.AwaitRead();
  route.DrainOldServer();
  route.store.faults().next_read_lost = true;
  route.CheckChangeInForce();
}

TEST_CASE("A daemon that was suspended reads the store before it uses its known routes") {
  MovedRoute route;
  route.client_paused = true;
  route.AwaitRead();
  route.MoveRoute();
  route.gateway->Stall(milliseconds(2'800));
  route.RunFor(milliseconds(2'300));
  route.client_paused = false;  // The request waits in the daemon's socket.
  route.CheckChangeInForce();
}

}  // namespace
}  // namespace moorfold
