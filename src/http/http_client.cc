#include "http/http_client.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "common/boot_clock.h"
#include "http/connection_liveness.h"

namespace moorfold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::use_awaitable;
using boost::system::system_error;

namespace {
constexpr std::size_t kReadChunk = 16 * 1024;
/// Unread bytes of one connection: a head, or the framing of a chunk.
constexpr std::size_t kMaxBufferBytes = 64 * 1024;
constexpr std::size_t kMaxIdlePerEndpoint = 64;
}  // namespace

/// One TCP connection with the state of the exchange that uses it.
class HttpConnection {
 public:
  HttpConnection(asio::io_context& context, Endpoint endpoint)
      : stream_(context), endpoint_(std::move(endpoint)) {}

  Awaitable<void> Connect(Deadline deadline) {
    try {
      SetDeadline(deadline);
      const asio::ip::tcp::endpoint target(asio::ip::make_address(endpoint_.address),
                                           endpoint_.port);
      co_await stream_.async_connect(target, use_awaitable);
      stream_.socket().set_option(asio::ip::tcp::no_delay(true));
      EndWhenPeerIsSilent(stream_.socket());
    } catch (const system_error& error) {
      throw Failure(HttpStage::kConnecting, error);
    }
  }

  Awaitable<void> SendAndReadHead(const HttpRequest& request, const HttpSendOptions& options) {
    HttpStage stage = HttpStage::kSending;
    progress_timeout_ = options.progress_timeout;
    try {
      SetDeadline(options.deadline);
      http::request<http::string_body> message = MakeMessage(request);
      boost::system::error_code sending;
      co_await http::async_write(stream_, message, asio::redirect_error(use_awaitable, sending));
      // A server may refuse early and stop reading: its answer is there all the same.
      send_failed_ =
          sending == asio::error::broken_pipe || sending == asio::error::connection_reset;
      if (sending && !send_failed_) throw system_error(sending);
      stage = HttpStage::kAwaitingAnswer;
      parser_.emplace();
      parser_->body_limit(options.most_body_bytes);
      co_await http::async_read_header(stream_, buffer_, *parser_, use_awaitable);
      answer_end_ = BootClock::now() + options.longest_answer;
    } catch (const system_error& error) {
      throw Failure(stage, error);
    }
    if (options.response_id) CheckIdentity(*options.response_id);
  }

  Awaitable<std::string> ReadSome() {
    std::string chunk(kReadChunk, '\0');
    while (!parser_->is_done()) {
      parser_->get().body().data = chunk.data();
      parser_->get().body().size = chunk.size();
      if (progress_timeout_.count() > 0)
        SetDeadline(std::min(answer_end_, BootClock::now() + progress_timeout_));
      try {
        co_await http::async_read_some(stream_, buffer_, *parser_, use_awaitable);
      } catch (const system_error& error) {
        if (error.code() != http::error::need_buffer)
          throw Failure(HttpStage::kReadingAnswer, error);
      }
      const std::size_t got = chunk.size() - parser_->get().body().size;
      if (got == 0) continue;
      chunk.resize(got);
      co_return chunk;
    }
    // The failed write has taken the socket's error, so a reset looks like the end of the stream.
    if (parser_->need_eof() && send_failed_)
      throw Failure(HttpStage::kReadingAnswer, system_error(asio::error::connection_reset));
    co_return std::string();
  }

  /// @return whether the answer was whole, nothing is left over, the whole request was sent and
  /// neither side wants to close.
  bool Reusable() const {
    return parser_ && parser_->is_done() && parser_->keep_alive() && !parser_->need_eof() &&
           !send_failed_ && buffer_.size() == 0;
  }
  bool Idle() { return IsQuiet(stream_.socket()); }
  void Close() { stream_.close(); }
  const Endpoint& endpoint() const { return endpoint_; }
  const http::response_parser<http::buffer_body>& parser() const { return *parser_; }

 private:
  http::request<http::string_body> MakeMessage(const HttpRequest& request) const {
    constexpr unsigned kHttp11 = 11;
    http::request<http::string_body> message;
    message.version(kHttp11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, ToString(endpoint_));
    for (const HttpHeader& header : request.headers) message.set(header.name, header.value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
  }

  /// @throws HttpError if the response names another request.
  void CheckIdentity(const HttpHeader& response_id) const {
    const auto named = parser_->get().find(response_id.name);
    if (named == parser_->get().end() || named->value() == response_id.value) return;
    throw HttpError(HttpStage::kAwaitingAnswer, false,
                    ToString(endpoint_) + ": received the response to another request");
  }

  void SetDeadline(Deadline deadline) {
    if (deadline == Deadline::max())
      stream_.expires_never();
    else
      // The stream counts on the standard library's clock, whose readings are others.
      stream_.expires_after(std::max(BootClock::duration::zero(), deadline - BootClock::now()));
  }

  HttpError Failure(HttpStage stage, const system_error& error) const {
    const bool timed_out = error.code() == beast::error::timeout;
    return {stage, timed_out, ToString(endpoint_) + ": " + error.code().message()};
  }

  beast::tcp_stream stream_;
  Endpoint endpoint_;
  beast::flat_buffer buffer_{kMaxBufferBytes};
  std::optional<http::response_parser<http::buffer_body>> parser_;
  bool send_failed_ = false;
  std::chrono::milliseconds progress_timeout_{0};
  Deadline answer_end_{};
};

class HttpConnectionPool {
 public:
  std::unique_ptr<HttpConnection> Take(const Endpoint& endpoint) {
    const auto idle = idle_.find(endpoint);
    if (idle == idle_.end()) return nullptr;
    while (!idle->second.empty()) {
      std::unique_ptr<HttpConnection> connection = std::move(idle->second.back());
      idle->second.pop_back();
      if (connection->Idle()) return connection;
    }
    return nullptr;
  }
  void Drop(const Endpoint& endpoint) { idle_.erase(endpoint); }
  void Give(std::unique_ptr<HttpConnection> connection) {
    auto& idle = idle_[connection->endpoint()];
    if (idle.size() < kMaxIdlePerEndpoint) idle.push_back(std::move(connection));
  }

 private:
  std::map<Endpoint, std::vector<std::unique_ptr<HttpConnection>>> idle_;
};

HttpExchange::HttpExchange(std::unique_ptr<HttpConnection> connection,
                           std::shared_ptr<HttpConnectionPool> pool)
    : connection_(std::move(connection)), pool_(std::move(pool)) {}

HttpExchange::~HttpExchange() {
  if (connection_->Reusable()) pool_->Give(std::move(connection_));
}

unsigned HttpExchange::status() const { return connection_->parser().get().result_int(); }

HttpHeaders HttpExchange::headers() const {
  HttpHeaders headers;
  for (const auto& field : connection_->parser().get())
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  return headers;
}

Awaitable<std::string> HttpExchange::ReadSome() { return connection_->ReadSome(); }

void HttpExchange::Cancel() { connection_->Close(); }

HttpClient::HttpClient(asio::io_context& context)
    : context_(context), pool_(std::make_shared<HttpConnectionPool>()) {}

Awaitable<std::unique_ptr<HttpExchange>> HttpClient::Open(Endpoint endpoint, HttpRequest request,
                                                          HttpSendOptions options) {
  std::unique_ptr<HttpConnection> connection;
  if (!options.fresh_connection) connection = pool_->Take(endpoint);
  if (connection) {
    bool stale = false;
    try {
      co_await connection->SendAndReadHead(request, options);
    } catch (const HttpError& error) {
      // The connection went silent, and those that rested beside it may have done so, too.
      if (error.timed_out()) {
        pool_->Drop(endpoint);
        throw;
      }
      stale = true;
    }
    if (!stale) co_return std::make_unique<HttpExchange>(std::move(connection), pool_);
  }
  connection = std::make_unique<HttpConnection>(context_, endpoint);
  co_await connection->Connect(options.deadline);
  co_await connection->SendAndReadHead(request, options);
  co_return std::make_unique<HttpExchange>(std::move(connection), pool_);
}

Awaitable<HttpResponse> HttpClient::Send(Endpoint endpoint, HttpRequest request,
                                         HttpSendOptions options) {
  std::unique_ptr<HttpExchange> exchange =
      co_await Open(std::move(endpoint), std::move(request), options);
  HttpResponse response;
  response.status = exchange->status();
  response.headers = exchange->headers();
  while (true) {
    const std::string chunk = co_await exchange->ReadSome();
    if (chunk.empty()) break;
    response.body += chunk;
  }
  co_return response;
}

}  // namespace moorfold
