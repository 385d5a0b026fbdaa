#include "refusing_server.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <vector>

#include "common/boot_clock.h"
#include "server_emulator.h"

namespace moorfold {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::use_awaitable;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kHeartbeat{400};
constexpr int kReceiveBufferBytes = 4'096;
/// A server that reads a body on after a refusal takes so long for each piece.
constexpr milliseconds kReadOnPause{2};

std::string Response(const std::string& status, const std::string& headers,
                     const std::string& body = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

RequestKind KindOf(std::string_view target) {
  return target.find("/stream/") != std::string_view::npos ? RequestKind::kStream
                                                           : RequestKind::kAtMostOnce;
}

}  // namespace

/// A caller's connection, with the refusals that are to be sent there again.
class RefusingServer::Connection {
 public:
  explicit Connection(tcp::socket socket) : socket_(std::move(socket)) {}

  Awaitable<void> ReadHead() {
    parser_.emplace();
    parser_->body_limit(boost::none);
    co_await http::async_read_header(socket_, buffer_, *parser_, use_awaitable);
  }
  std::string Header(const char* name) const { return std::string(parser_->get()[name]); }
  std::string target() const { return std::string(parser_->get().target()); }

  Awaitable<void> ReadBody(milliseconds pause) {
    std::array<char, kReceiveBufferBytes> piece{};
    while (!parser_->is_done()) {
      parser_->get().body().data = piece.data();
      parser_->get().body().size = piece.size();
      boost::system::error_code error;
      co_await http::async_read_some(socket_, buffer_, *parser_,
                                     asio::redirect_error(use_awaitable, error));
      if (error && error != http::error::need_buffer) throw boost::system::system_error(error);
      if (pause.count() > 0) co_await Sleep(pause);
    }
  }
  Awaitable<void> Write(std::string bytes) {
    co_await asio::async_write(socket_, asio::buffer(bytes), use_awaitable);
  }
  void Reset() {
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }
  /// The bytes are sent before one of the next answers of this connection.
  void SendAgainLater(std::string bytes, int answers) {
    surplus_.push_back({std::move(bytes), answers});
  }
  /// @return what is to be sent before the answer that is due now.
  std::string TakeSurplus() {
    std::string due;
    for (Surplus& each : surplus_)
      if (--each.answers == 0) due += each.bytes;
    std::erase_if(surplus_, [](const Surplus& each) { return each.answers == 0; });
    return due;
  }

 private:
  struct Surplus {
    std::string bytes;
    int answers = 1;
  };
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::buffer_body>> parser_;
  std::vector<Surplus> surplus_;
};

RefusingServer::RefusingServer(asio::io_context& context, StoreEmulator& store,
                               PromiseChecker& checker, RefusingServerOptions options,
                               std::uint64_t seed)
    : context_(context),
      store_(store),
      checker_(checker),
      options_(std::move(options)),
      random_(seed),
      acceptor_(context, tcp::v4()) {
  acceptor_.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  acceptor_.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  acceptor_.listen();
  announced_ = endpoint();
}

Endpoint RefusingServer::endpoint() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void RefusingServer::Start() {
  asio::co_spawn(context_, Accept(), asio::detached);
  asio::co_spawn(context_, Beat(), asio::detached);
}

Awaitable<void> RefusingServer::Beat() {
  while (true) {
    json::array models;
    if (!options_.model.empty())
      models.push_back({{"name", options_.model}, {"version", 1}, {"adapters", json::array()}});
    const json::value entry = {{"service", options_.service},
                               {"address", ToString(announced_)},
                               {"zone", "z"},
                               {"version", "v1"},
                               {"slots", options_.slots},
                               {"state", "ready"},
                               {"coldLeftMs", 0},
                               {"models", models},
                               {"seq", ++beats_}};
    store_.Put("servers/" + options_.id, json::serialize(entry));
    co_await Sleep(kHeartbeat);
  }
}

Awaitable<void> RefusingServer::Accept() {
  while (true) {
    tcp::socket socket(context_);
    co_await acceptor_.async_accept(socket, use_awaitable);
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

Awaitable<void> RefusingServer::Serve(tcp::socket socket) {
  try {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    Connection connection(std::move(socket));
    while (co_await ServeOne(connection)) {
    }
  } catch (const std::exception&) {  // The caller has gone.
  }
}

std::string RefusingServer::CommonHeaders(const std::string& id) const {
  return "X-Request-Id: " + id + "\r\nX-Server-Load: " + std::to_string(running_) + ",0," +
         std::to_string(options_.slots) + "\r\nKeep-Alive: timeout=10\r\n";
}

std::string RefusingServer::RefusalBytes(const std::string& id) {
  static const std::array<const char*, 4> kStatuses = {
      "503 Service Unavailable", "429 Too Many Requests", "408 Request Timeout",
      "421 Misdirected Request"};
  const auto drawn = static_cast<std::size_t>(Draw(0, 5));
  return Response(drawn < kStatuses.size() ? kStatuses.at(drawn) : kStatuses.front(),
                  "X-Not-Executed: 1\r\n" + CommonHeaders(id));
}

std::string RefusingServer::ReportBytes() const {
  json::array models;
  if (!options_.model.empty())
    models.push_back({{"name", options_.model}, {"version", 1}, {"adapters", json::array()}});
  const json::value body = {{"stage", "both"}, {"models", models},    {"busy", false},
                            {"seq", 0},        {"running", running_}, {"incoming", json::array()}};
  return Response("200 OK", "Content-Type: application/json\r\n", json::serialize(body));
}

Awaitable<bool> RefusingServer::ServeOne(Connection& connection) {
  co_await connection.ReadHead();
  const std::string id = connection.Header("X-Request-Id");
  const std::string target = connection.target();
  if (target == "/report" || target == "/order") {
    co_await connection.ReadBody(milliseconds(0));
    std::string answer = target == "/report" ? ReportBytes() : Response("409 Conflict", "");
    co_await connection.Write(std::move(answer));
    co_return true;
  }
  checker_.Arrived(id, options_.id, BootClock::now());
  const RefusalFaults& faults = options_.faults;
  const bool refuses = running_ >= options_.slots || Chance(faults.refusal_share);
  const bool early = refuses && Chance(faults.early_share);
  if (!early) co_await connection.ReadBody(milliseconds(0));
  std::string surplus = connection.TakeSurplus();
  if (!surplus.empty()) {
    ++refusals_repeated_;
    co_await connection.Write(std::move(surplus));
  }
  if (Chance(faults.unnamed_share)) {
    std::string unnamed = Response("503 Service Unavailable", "X-Not-Executed: 1\r\n");
    co_await connection.Write(std::move(unnamed));
  }
  if (refuses) co_return co_await Refuse(connection, id, !early);
  co_return co_await Run(connection, id, KindOf(target));
}

Awaitable<bool> RefusingServer::Refuse(Connection& connection, std::string id, bool body_read) {
  constexpr int kLatest = 3;
  std::string refusal = RefusalBytes(id);
  if (Chance(options_.faults.repeated_share)) connection.SendAgainLater(refusal, Draw(1, kLatest));
  co_await connection.Write(std::move(refusal));
  if (Chance(options_.faults.closing_share)) {
    connection.Reset();
    co_return false;
  }
  if (!body_read) co_await connection.ReadBody(kReadOnPause);
  co_return true;
}

Awaitable<bool> RefusingServer::Run(Connection& connection, std::string id, RequestKind kind) {
  struct Slot {
    explicit Slot(std::uint32_t& running) : count(running) { ++count; }
    ~Slot() { --count; }
    std::uint32_t& count;
  } slot(running_);
  checker_.Ran(id, kind, options_.id, BootClock::now());
  co_await Sleep(options_.work);
  if (Chance(options_.faults.lost_answer_share)) {
    connection.Reset();
    co_return false;
  }
  if (kind == RequestKind::kStream) {
    co_await WriteStream(connection, id);
    co_return true;
  }
  std::string answer = Response(
      "200 OK", "X-Response-Seal: " + ServerEmulator::SealOf(id) + "\r\n" + CommonHeaders(id),
      ServerEmulator::BodyOf(id));
  co_await connection.Write(std::move(answer));
  co_return true;
}

Awaitable<void> RefusingServer::WriteStream(Connection& connection, std::string id) {
  std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Seal: " +
                     ServerEmulator::SealOf(id) + "\r\n" + CommonHeaders(id) +
                     "Transfer-Encoding: chunked\r\n\r\n";
  co_await connection.Write(std::move(head));
  for (int event = 1; event <= ServerEmulator::EventsOf(id); ++event) {
    const std::string text = "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    std::array<char, 16> length{};
    std::snprintf(length.data(), length.size(), "%zx", text.size());
    std::string chunk = std::string(length.data()) + "\r\n" + text + "\r\n";
    co_await connection.Write(std::move(chunk));
    co_await Sleep(milliseconds(5));
  }
  std::string last = "0\r\n\r\n";
  co_await connection.Write(std::move(last));
}

}  // namespace moorfold
