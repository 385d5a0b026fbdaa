// What connections hold for requests is charged before it is read, given back on every path, and
// bounded; the connection that deserves its memory least makes room.

#include "http/request_memory.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "clock_jump.h"
#include "http/http_server.h"

namespace moorfold {
namespace {

using Phase = RequestMemory::Phase;
using std::chrono::milliseconds;

constexpr std::size_t kLimit = 1'000;
constexpr std::size_t kSmall = 50;
constexpr int kGroup = 0;

RequestMemoryLimits Limits() {
  RequestMemoryLimits limits;
  limits.bytes = kLimit;
  limits.small_account_bytes = kSmall;
  limits.reserved_share = 0.2;
  limits.stalled_after = milliseconds(1'000);
  return limits;
}

/// A connection that gives back all that it holds when it is evicted.
struct Connection : RequestMemory::Holder {
  explicit Connection(const std::shared_ptr<RequestMemory>& memory, const void* group = &kGroup)
      : account(memory, *this, group) {
    account.SetPhase(Phase::kReading);
  }
  void Evict(EvictionReason given) override {
    reason = given;
    account.Resize(0);
  }

  std::optional<EvictionReason> reason;
  RequestMemory::Account account;
};

std::shared_ptr<RequestMemory> MakeMemory() { return std::make_shared<RequestMemory>(Limits()); }

TEST_CASE("Large accounts leave the reserved share to small ones") {
  const auto memory = MakeMemory();
  Connection large(memory);
  CHECK(large.account.Resize(800));
  CHECK_FALSE(large.account.Resize(801));
  CHECK(large.account.bytes() == 800);
  Connection small(memory);
  CHECK(small.account.Resize(kSmall));
  CHECK_FALSE(large.reason.has_value());
  CHECK(memory->charges_denied() == 1);
}

TEST_CASE("A stalled connection makes room before a larger one that sends") {
  ClockJump clock;
  const auto memory = MakeMemory();
  Connection stalled(memory);
  Connection larger(memory);
  REQUIRE(stalled.account.Resize(300));
  REQUIRE(larger.account.Resize(500));
  clock.Sleep(milliseconds(1'000));
  larger.account.RecordProgress();
  Connection needy(memory);
  CHECK(needy.account.Resize(200));
  CHECK(stalled.reason == EvictionReason::kStalled);
  CHECK_FALSE(larger.reason.has_value());
}

TEST_CASE("Among connections that send the largest makes room, and only for a smaller one") {
  const auto memory = MakeMemory();
  Connection large(memory);
  Connection larger(memory);
  REQUIRE(large.account.Resize(300));
  REQUIRE(larger.account.Resize(500));
  CHECK_FALSE(larger.account.Resize(501));
  Connection needy(memory);
  CHECK(needy.account.Resize(100));
  CHECK(larger.reason == EvictionReason::kLargest);
  CHECK_FALSE(large.reason.has_value());
}

TEST_CASE("Requests that have been read make no room") {
  ClockJump clock;
  const auto memory = MakeMemory();
  Connection serving(memory);
  REQUIRE(serving.account.Resize(800));
  serving.account.SetPhase(Phase::kServing);
  clock.Sleep(milliseconds(60'000));
  Connection needy(memory);
  CHECK_FALSE(needy.account.Resize(100));
  CHECK_FALSE(serving.reason.has_value());
}

TEST_CASE("An account that ends gives everything back") {
  const auto memory = MakeMemory();
  {
    Connection connection(memory);
    REQUIRE(connection.account.Resize(700));
    REQUIRE(connection.account.Resize(400));
    CHECK(memory->bytes() == 400);
  }
  CHECK(memory->bytes() == 0);
  CHECK(memory->peak_bytes() == 700);
}

TEST_CASE("For new connections stalled ones end first, then those that have rested long") {
  ClockJump clock;
  const auto memory = MakeMemory();
  const int other_group = 0;
  Connection other(memory, &other_group);
  Connection rested(memory);
  rested.account.SetPhase(Phase::kIdle);
  clock.Sleep(milliseconds(3'000));
  Connection stalled(memory);
  Connection silent(memory);
  silent.account.SetPhase(Phase::kNew);
  clock.Sleep(milliseconds(1'000));
  Connection fresh(memory);
  Connection idle(memory);
  idle.account.SetPhase(Phase::kIdle);
  Connection serving(memory);
  serving.account.SetPhase(Phase::kServing);
  CHECK(memory->EvictInactive(&kGroup, 1) == 1);
  CHECK(stalled.reason.has_value() != silent.reason.has_value());
  CHECK(memory->EvictInactive(&kGroup, 1) == 1);
  CHECK(stalled.reason == EvictionReason::kStalled);
  CHECK(silent.reason == EvictionReason::kStalled);
  CHECK_FALSE(rested.reason.has_value());
  CHECK(memory->EvictInactive(&kGroup, 10) == 1);
  CHECK(rested.reason == EvictionReason::kIdle);
  CHECK_FALSE(fresh.reason.has_value());
  CHECK_FALSE(idle.reason.has_value());
  CHECK_FALSE(other.reason.has_value());
}

/// A server whose memory is counted; its handler notes what is held meanwhile.
class CountingServer {
 public:
  CountingServer()
      : memory_(std::make_shared<RequestMemory>(RequestMemoryLimits{})),
        server_(
            {&context_}, {"127.0.0.1", 0}, ServerLimits(),
            [this](HttpServerExchange& exchange) { return Handle(exchange); },
            [](const RejectedRequest& rejected) {
              return HttpResponse{rejected.status, {}, rejected.reason};
            }) {
    server_.SetMemory(memory_);
    server_.Start();
  }

  /// Sends bytes, reads what comes until the server closes, and lets all connections end.
  std::string Exchange(const std::string& bytes) {
    std::string answer;
    std::thread client([&] {
      using boost::asio::ip::tcp;
      boost::asio::io_context context;
      tcp::socket socket(context);
      boost::system::error_code error;
      socket.connect({boost::asio::ip::make_address("127.0.0.1"), server_.endpoint().port}, error);
      boost::asio::write(socket, boost::asio::buffer(bytes), error);
      socket.shutdown(tcp::socket::shutdown_send, error);
      boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
      ended_ = true;
    });
    while (!ended_ || server_.open_connections() > 0) context_.run_for(milliseconds(10));
    ended_ = false;
    client.join();
    return answer;
  }
  const RequestMemory& memory() const { return *memory_; }
  std::size_t held_while_served() const { return held_while_served_; }

 private:
  static HttpServerLimits ServerLimits() {
    HttpServerLimits limits;
    limits.header_bytes = 16 * 1024;
    limits.body_bytes = 100'000;
    return limits;
  }
  Awaitable<void> Handle(HttpServerExchange& exchange) {
    held_while_served_ = memory_->bytes();
    if (exchange.request().target == "/throw") throw std::runtime_error("thrown");
    if (exchange.request().target == "/abort") {
      exchange.Abort();
      co_return;
    }
    HttpResponse response{200, {}, "served"};
    co_await exchange.Respond(std::move(response));
  }

  boost::asio::io_context context_{1};
  std::shared_ptr<RequestMemory> memory_;
  HttpServer server_;
  std::size_t held_while_served_ = 0;
  std::atomic<bool> ended_{false};
};

TEST_CASE("A connection's memory is given back whichever way its requests end") {
  const std::string body(50'000, 'x');
  const std::string post = " HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n";
  const std::string chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<std::string> ways = {
      std::string(),
      std::string("GET / HT"),
      "POST /" + post + body,
      "POST /" + post,
      "POST /" + post + body.substr(1),
      "POST /throw" + post + body,
      "POST /abort" + post + body,
      "POST /" + post + body + "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n" + body,
      std::string("no HTTP\r\n\r\n"),
      "GET / HTTP/1.1\r\nA: " + std::string(20'000, 'a'),
      chunked + "c350\r\n" + body + "\r\n0\r\n\r\n",
      chunked + "c350\r\n" + body,
      chunked + "0\r\nA: " + std::string(20'000, 'a')};
  for (const std::string& bytes : ways) {
    CountingServer server;
    CAPTURE(bytes.substr(0, 60), bytes.size());
    server.Exchange(bytes);
    CHECK(server.memory().bytes() == 0);
    CHECK(server.memory().peak_bytes() > 0);
  }
}

TEST_CASE("A body is charged while it is served, and so are many short fields") {
  CountingServer server;
  const std::string body(50'000, 'x');
  server.Exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50000\r\n\r\n" + body);
  CHECK(server.held_while_served() >= body.size());
  constexpr int kFields = 3'000;
  constexpr std::size_t kEntryBytes = sizeof(HttpHeader);
  std::string fields;
  for (int field = 0; field < kFields; ++field) fields += "a:\r\n";
  server.Exchange("GET / HTTP/1.1\r\n" + fields + "\r\n");
  CHECK(server.held_while_served() >= kFields * kEntryBytes);
  server.Exchange("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + fields + "\r\n");
  CHECK(server.held_while_served() >= kFields * kEntryBytes);
}

TEST_CASE("Chunk extensions and trailers over the limit of a head are refused") {
  const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string refused = "HTTP/1.1 431";
  CountingServer server;
  CHECK(server.Exchange(head + "1;x=" + std::string(100'000, 'x')).starts_with(refused));
  CHECK(server.Exchange(head + "0\r\nA: " + std::string(100'000, 'x')).starts_with(refused));
  CHECK(server.Exchange(head + "1;x=y\r\nz\r\n0\r\nA: b\r\n\r\n").starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace moorfold
