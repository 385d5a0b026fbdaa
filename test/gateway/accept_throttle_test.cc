#include "gateway/accept_throttle.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace moorfold {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// A throttled server that answers every request, on one thread.
struct ThrottledServer {
  ThrottledServer() { server.Start(); }

  void RunFor(milliseconds time) {
    context.restart();
    context.run_for(time);
  }
  /// @return whether the connection came up.
  bool Connect(tcp::socket& socket) {
    boost::system::error_code error;
    const Endpoint endpoint = server.endpoint();
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port}, error);
    return !error;
  }
  /// Sends a request on an open connection. @return whether a response came.
  bool IsServed(tcp::socket& socket) {
    boost::system::error_code error;
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), error);
    if (error) return false;
    for (int step = 0; step < 100 && socket.available(error) == 0 && !error; ++step)
      RunFor(milliseconds(10));
    return !error && socket.available(error) > 0;
  }

  asio::io_context context{1};
  GatewayMetrics metrics;
  HttpServer server{{&context},
                    {"127.0.0.1", 0},
                    HttpServerLimits{},
                    [](HttpServerExchange& exchange) -> Awaitable<void> {
                      HttpResponse response{200, {}, "answer"};
                      co_await exchange.Respond(std::move(response));
                    },
                    [](const RejectedRequest& rejected) {
                      return HttpResponse{rejected.status, {}, rejected.reason};
                    }};
  AcceptThrottle throttle{server, metrics};
};

TEST_CASE("A daemon that is short refuses new connections and serves the open ones") {
  ThrottledServer fixture;
  tcp::socket open(fixture.context);
  REQUIRE(fixture.Connect(open));
  REQUIRE(fixture.IsServed(open));
  fixture.throttle.Update(overload::Shortage::kLink);
  tcp::socket refused(fixture.context);
  CHECK_FALSE(fixture.Connect(refused));
  CHECK(fixture.IsServed(open));
  fixture.throttle.Update(overload::Shortage::kNone);
  tcp::socket later(fixture.context);
  CHECK(fixture.Connect(later));
  CHECK(fixture.IsServed(later));
  CHECK(fixture.metrics.accept_pauses == 1);
}

TEST_CASE("Connections that wait when a daemon becomes short are closed unread and counted") {
  ThrottledServer fixture;
  tcp::socket waiting(fixture.context);
  REQUIRE(fixture.Connect(waiting));
  CHECK(fixture.throttle.Update(overload::Shortage::kLink) == 1);
  CHECK_FALSE(fixture.IsServed(waiting));
  CHECK(fixture.metrics.connections_closed_unread == 1);
}

TEST_CASE("No other process is given the port of a daemon that refuses connections") {
  ThrottledServer fixture;
  const Endpoint endpoint = fixture.server.endpoint();
  const tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
  fixture.throttle.Update(overload::Shortage::kLink);
  constexpr bool kReuseAddress = false;
  CHECK_THROWS(tcp::acceptor(fixture.context, address, kReuseAddress));
}

TEST_CASE("A daemon that stays short still takes a connection a second") {
  ThrottledServer fixture;
  fixture.throttle.Update(overload::Shortage::kProcessor);
  std::this_thread::sleep_for(milliseconds(1'100));
  fixture.throttle.Update(overload::Shortage::kProcessor);
  fixture.throttle.Update(overload::Shortage::kProcessor);
  tcp::socket first(fixture.context);
  CHECK(fixture.Connect(first));
  CHECK(fixture.IsServed(first));
  fixture.throttle.ConnectionAccepted(overload::Shortage::kProcessor);
  tcp::socket second(fixture.context);
  CHECK_FALSE(fixture.Connect(second));
}

}  // namespace
}  // namespace moorfold
