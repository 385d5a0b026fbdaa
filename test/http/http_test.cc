#include <netinet/tcp.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <thread>

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "http/connection_liveness.h"
#include "http/http_client.h"
#include "http/http_server.h"

namespace moorfold {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A server whose answers break in chosen ways: "/echo", "/reset", "/half", "/slow".
class Server {
 public:
  Server()
      : server_(
            {&context_}, {"127.0.0.1", 0}, Limits(),
            [this](HttpServerExchange& exchange) { return Handle(exchange); },
            [](const RejectedRequest& rejected) {
              return HttpResponse{rejected.status, {}, rejected.reason};
            }) {
    server_.Start();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Server() {
    server_.StopAccepting();
    context_.stop();
    thread_.join();
  }
  static HttpServerLimits Limits() {
    HttpServerLimits limits;
    limits.header_bytes = 2048;
    limits.body_bytes = 4096;
    limits.header_timeout = std::chrono::milliseconds(400);
    limits.request_timeout = std::chrono::milliseconds(400);
    return limits;
  }
  Endpoint endpoint() const { return server_.endpoint(); }
  std::atomic<int> handled{0};
  std::atomic<int> disconnects{0};

 private:
  Awaitable<void> Handle(HttpServerExchange& exchange) {
    ++handled;
    const std::string target = exchange.request().target;
    if (target == "/reset") {
      exchange.Abort();
      co_return;
    }
    if (target == "/half") {
      co_await exchange.BeginStream(200, {});
      co_await exchange.Write("half");
      exchange.Abort();
      co_return;
    }
    if (target == "/slow") {
      bool gone = false;
      exchange.OnDisconnect([&] {
        gone = true;
        ++disconnects;
      });
      for (int step = 0; step < 200 && !gone; ++step) co_await Sleep(std::chrono::milliseconds(20));
    }
    HttpResponse response;
    response.body = exchange.request().body;
    co_await exchange.Respond(std::move(response));
  }

  asio::io_context context_{1};
  HttpServer server_;
  std::thread thread_;
};

/// Sends raw bytes and reads until the server closes or a whole head has come.
std::string SendRaw(const Endpoint& endpoint, const std::string& bytes) {
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
  asio::write(socket, asio::buffer(bytes));
  std::string answer;
  boost::system::error_code error;
  asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", error);
  return answer.substr(0, answer.find('\r'));
}

TEST_CASE("Malformed, oversized and dribbled requests are refused, and the server goes on") {
  struct Case {
    const char* name;
    std::string bytes;
    const char* status_line;
  };
  const std::vector<Case> cases = {
      {"no HTTP", "hello there\r\n\r\n", "HTTP/1.1 400 Bad Request"},
      {"a header over the limit",
       "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(3000, 'a') + "\r\n\r\n",
       "HTTP/1.1 431 Request Header Fields Too Large"},
      {"a body over the limit", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n",
       "HTTP/1.1 413 Payload Too Large"},
      {"a bad length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
       "HTTP/1.1 400 Bad Request"},
      {"a head that never ends", "GET / HTTP/1.1\r\nHo", "HTTP/1.1 408 Request Timeout"},
      {"a body that never comes", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab",
       "HTTP/1.1 408 Request Timeout"},
      {"a good one", "GET /echo HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
       "HTTP/1.1 200 OK"},
  };
  Server server;
  for (const Case& each : cases) {
    CAPTURE(each.name);
    CHECK(SendRaw(server.endpoint(), each.bytes) == each.status_line);
  }
  CHECK(server.handled == 1);
}

struct ClientEnd {
  std::optional<HttpResponse> response;
  std::optional<HttpStage> failed_at;
  bool timed_out = false;
};

ClientEnd SendWith(HttpClient& client, asio::io_context& context, const Endpoint& endpoint,
                   const HttpRequest& request, HttpSendOptions options) {
  ClientEnd end;
  asio::co_spawn(context, client.Send(endpoint, request, options),
                 [&](const std::exception_ptr& thrown, HttpResponse response) {
                   if (!thrown) {
                     end.response = std::move(response);
                     return;
                   }
                   try {
                     std::rethrow_exception(thrown);
                   } catch (const HttpError& error) {
                     end.failed_at = error.stage();
                     end.timed_out = error.timed_out();
                   }
                 });
  context.restart();
  context.run();
  return end;
}

TEST_CASE("A client knows how far a failed exchange got") {
  Server server;
  asio::io_context context(1);
  HttpClient client(context);
  struct Case {
    const char* target;
    std::chrono::milliseconds deadline;
    std::optional<HttpStage> stage;
  };
  const std::chrono::milliseconds enough{10'000};
  for (const Case& each :
       {Case{"/echo", enough, std::nullopt}, Case{"/reset", enough, HttpStage::kAwaitingAnswer},
        Case{"/half", enough, HttpStage::kReadingAnswer},
        Case{"/slow", std::chrono::milliseconds(200), HttpStage::kAwaitingAnswer},
        Case{"/echo", enough, std::nullopt}}) {
    CAPTURE(each.target);
    HttpSendOptions options;
    options.deadline = BootClock::now() + each.deadline;
    options.fresh_connection = true;
    const ClientEnd end =
        SendWith(client, context, server.endpoint(), {"POST", each.target, {}, "body"}, options);
    CHECK(end.failed_at == each.stage);
    if (end.response) CHECK(end.response->body == "body");
  }
  Server* gone = new Server;
  const Endpoint nowhere = gone->endpoint();
  delete gone;
  CHECK(SendWith(client, context, nowhere, {}, {}).failed_at == HttpStage::kConnecting);
}

TEST_CASE("A fresh request is never sent twice; a repeatable one may replace a dead connection") {
  Server server;
  asio::io_context context(1);
  HttpClient client(context);
  REQUIRE(SendWith(client, context, server.endpoint(), {"POST", "/echo", {}, ""}, {}).response);
  const int before = server.handled;
  HttpSendOptions fresh;
  fresh.fresh_connection = true;
  CHECK(SendWith(client, context, server.endpoint(), {"POST", "/reset", {}, ""}, fresh).failed_at ==
        HttpStage::kAwaitingAnswer);
  CHECK(server.handled == before + 1);
}

TEST_CASE("The server hears of a caller that goes away") {
  Server server;
  asio::io_context context(1);
  HttpClient client(context);
  HttpSendOptions options;
  options.deadline = BootClock::now() + std::chrono::milliseconds(100);
  CHECK(SendWith(client, context, server.endpoint(), {"POST", "/slow", {}, ""}, options).timed_out);
  for (int step = 0; step < 500 && server.disconnects == 0; ++step)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  CHECK(server.disconnects == 1);
}

TEST_CASE("The kernel is told to end connections whose peers go silent") {
  asio::io_context context;
  tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket socket(context);
  socket.connect(acceptor.local_endpoint());
  REQUIRE(EndWhenPeerIsSilent(socket));
  const auto option = [&](int level, int name) {
    int value = 0;
    socklen_t size = sizeof(value);
    REQUIRE(::getsockopt(socket.native_handle(), level, name, &value, &size) == 0);
    return value;
  };
  CHECK(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
  const int probing_s = option(IPPROTO_TCP, TCP_KEEPIDLE) +
                        option(IPPROTO_TCP, TCP_KEEPINTVL) * option(IPPROTO_TCP, TCP_KEEPCNT);
  CHECK(probing_s == 3);
  CHECK(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == kUnacknowledgedLimit.count());
}

}  // namespace
}  // namespace moorfold
