#include "http/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <mutex>
#include <optional>
#include <set>

#include "common/boot_clock.h"
#include "http/bound_acceptor.h"
#include "http/http_status.h"
#include "http/listen_error.h"
#include "http/request_reader.h"

namespace moorfold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr unsigned kHttp11 = 11;

/// @return about as many bytes as the request had on the wire.
std::size_t SizeOf(const HttpRequest& request) {
  constexpr std::size_t kSeparators = 4;
  std::size_t size = request.method.size() + request.target.size() + request.body.size();
  for (const HttpHeader& header : request.headers)
    size += header.name.size() + header.value.size() + kSeparators;
  return size;
}

}  // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
 public:
  Impl(std::vector<asio::io_context*> contexts, const Endpoint& listen, HttpServerLimits limits,
       HttpHandler handler, HttpRejection rejection)
      : contexts_(std::move(contexts)),
        limits_(limits),
        handler_(std::move(handler)),
        rejection_(std::move(rejection)) {
    try {
      Bind(listen);
      acceptor_->listen();
    } catch (const boost::system::system_error& error) {
      throw ListenError(listen, error.code());
    }
    const tcp::endpoint local = acceptor_->local_endpoint();
    endpoint_ = {local.address().to_string(), local.port()};
  }

  void SetObserver(HttpServerObserver* observer) { observer_ = observer; }
  void SetMemory(std::shared_ptr<RequestMemory> memory) { memory_ = std::move(memory); }
  void Start() { asio::co_spawn(*contexts_.front(), Accept(shared_from_this()), asio::detached); }

  void StopAccepting() {
    stopping_ = true;
    asio::post(*contexts_.front(), [self = shared_from_this()] {
      error_code ignored;
      if (self->acceptor_) self->acceptor_->close(ignored);
    });
  }

  std::size_t PauseAccepting() {
    if (stopping_ || paused_) return 0;
    paused_ = true;
    ++listener_;
    const std::size_t closed = CloseWaiting();
    acceptor_.reset();
    try {
      Bind(endpoint_);
    } catch (const boost::system::system_error&) {  // ResumeAccepting tries again.
    }
    return closed;
  }

  bool ResumeAccepting() {
    if (stopping_ || !paused_) return true;
    try {
      if (!acceptor_) Bind(endpoint_);
      acceptor_->listen();
    } catch (const boost::system::system_error&) {
      acceptor_.reset();
      return false;
    }
    paused_ = false;
    Start();
    return true;
  }

  /// Connections that never end keep this object alive until their own context is destroyed; the
  /// acceptor must be gone before the context that it belongs to.
  void DestroyAcceptor() {
    stopping_ = true;
    acceptor_.reset();
  }

  void UpdateLimits(const HttpServerLimits& limits) { limits_ = limits; }
  void AnnounceClose() { closing_ = true; }

  void CloseIdle() {
    last_answers_ = true;
    error_code ignored;
    for (beast::tcp_stream* stream : idle_) stream->socket().cancel(ignored);
  }

  std::size_t CloseInactive(std::size_t count) {
    return memory_ ? memory_->EvictInactive(this, count) : 0;
  }

  const Endpoint& endpoint() const { return endpoint_; }
  std::size_t active_requests() const { return active_requests_; }
  std::size_t open_connections() const { return connections_; }

 private:
  class Exchange;

  /// Counts a connection among the idle ones while it waits for a request.
  class IdleMark {
   public:
    IdleMark(Impl& server, beast::tcp_stream& stream) : server_(server), stream_(stream) {
      const std::lock_guard lock(server_.idle_mutex_);
      server_.idle_.insert(&stream_);
    }
    ~IdleMark() {
      const std::lock_guard lock(server_.idle_mutex_);
      server_.idle_.erase(&stream_);
    }
    IdleMark(const IdleMark&) = delete;
    IdleMark& operator=(const IdleMark&) = delete;

   private:
    Impl& server_;
    beast::tcp_stream& stream_;
  };

  /// The kernel would reset these connections, too, but not tell how many there were.
  std::size_t CloseWaiting() {
    constexpr std::size_t kMaxWaiting = 4'096;
    std::size_t closed = 0;
    error_code error;
    acceptor_->cancel(error);
    acceptor_->non_blocking(true, error);
    while (!error && closed < kMaxWaiting) {
      tcp::socket socket(*contexts_.front());
      acceptor_->accept(socket, error);
      if (!error) ++closed;
    }
    return closed;
  }

  /// @throws boost::system::system_error.
  void Bind(const Endpoint& local) {
    const tcp::endpoint address(asio::ip::make_address(local.address), local.port);
    acceptor_.emplace(BindAcceptor(*contexts_.front(), address));
    if (limits_.socket_buffer_bytes == 0) return;
    const auto bytes = static_cast<int>(limits_.socket_buffer_bytes);
    error_code ignored;  // A connection without these bounds works as well.
    acceptor_->set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
    acceptor_->set_option(asio::socket_base::send_buffer_size(bytes), ignored);
  }

  static Awaitable<void> Accept(std::shared_ptr<Impl> self) {
    std::size_t next = 0;
    const std::uint64_t listener = self->listener_;
    while (!self->stopping_ && listener == self->listener_) {
      asio::io_context& context = *self->contexts_[next++ % self->contexts_.size()];
      tcp::socket socket(context);
      error_code error;
      co_await self->acceptor_->async_accept(socket, asio::redirect_error(use_awaitable, error));
      if (error == asio::error::operation_aborted) co_return;
      if (error) {  // Out of descriptors, say: wait a little instead of spinning.
        BootTimer pause(*self->contexts_.front(), std::chrono::milliseconds(50));
        co_await pause.async_wait(use_awaitable);
        continue;
      }
      if (self->connections_ >= self->limits_.connections && self->CloseInactive(1) == 0) continue;
      asio::co_spawn(context, Serve(self, std::move(socket)), asio::detached);
    }
  }

  static Awaitable<void> Serve(std::shared_ptr<Impl> self, tcp::socket socket) {
    ++self->connections_;
    if (self->observer_ != nullptr) self->observer_->ConnectionAccepted();
    try {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      beast::tcp_stream stream(std::move(socket));
      RequestReader reader(stream, self->memory_, self.get());
      bool keep_alive = reader.Open(self->limits_.socket_buffer_bytes);
      for (bool first = true; keep_alive && !self->last_answers_; first = false) {
        keep_alive = co_await ServeOne(*self, stream, reader, first);
        reader.EndRequest();
      }
      stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    } catch (const std::exception&) {  // The connection broke; its handler has been told.
    }
    --self->connections_;
    if (self->observer_ != nullptr) self->observer_->ConnectionClosed();
  }

  static Awaitable<void> RunHandler(Impl& server, Exchange& exchange);
  static Awaitable<bool> ServeOne(Impl& server, beast::tcp_stream& stream, RequestReader& reader,
                                  bool first);

  std::vector<asio::io_context*> contexts_;
  std::optional<tcp::acceptor> acceptor_;  ///< Does not listen while paused.
  bool paused_ = false;
  std::uint64_t listener_ = 0;  ///< Number of pauses; tells the acceptors apart.
  Endpoint endpoint_;
  HttpServerLimits limits_;
  HttpHandler handler_;
  HttpRejection rejection_;
  HttpServerObserver* observer_ = nullptr;
  std::shared_ptr<RequestMemory> memory_;
  std::atomic<bool> stopping_{false};
  std::mutex idle_mutex_;
  std::set<beast::tcp_stream*> idle_;
  std::atomic<bool> last_answers_{false};  ///< No request is read after the one being answered.
  std::atomic<bool> closing_{false};       ///< Answers announce the end of their connection.
  std::atomic<std::size_t> active_requests_{0};
  std::atomic<std::size_t> connections_{0};
};

class HttpServer::Impl::Exchange : public HttpServerExchange {
 public:
  Exchange(Impl& server, beast::tcp_stream& stream, HttpRequest request, bool keep_alive)
      : server_(server),
        stream_(stream),
        request_(std::move(request)),
        keep_alive_(keep_alive),
        watch_(std::make_shared<DisconnectWatch>()) {
    ++server_.active_requests_;
  }
  ~Exchange() override {
    watch_->callback = nullptr;
    --server_.active_requests_;
  }

  const HttpRequest& request() const override { return request_; }
  std::string TakeBody() override { return std::move(request_.body); }
  asio::any_io_executor executor() override { return stream_.get_executor(); }
  Endpoint remote() const override {
    error_code error;
    const tcp::endpoint remote = stream_.socket().remote_endpoint(error);
    return error ? Endpoint{} : Endpoint{remote.address().to_string(), remote.port()};
  }
  bool started() const override { return started_; }
  /// @return whether the connection serves on after this answer; decided once, with its head.
  bool keep_alive() const { return announced_open_ && !aborted_; }
  bool complete() const { return complete_; }

  Awaitable<void> Respond(HttpResponse answer) override {
    started_ = true;
    StopWatching();
    http::response<http::string_body> message =
        MakeHead<http::string_body>(answer.status, answer.headers);
    message.body() = std::move(answer.body);
    message.prepare_payload();
    stream_.expires_after(server_.limits_.write_timeout);
    RecordWritten(co_await http::async_write(stream_, message, use_awaitable));
    complete_ = true;
  }

  Awaitable<void> BeginStream(unsigned status, HttpHeaders headers) override {
    started_ = true;
    http::response<http::empty_body> message = MakeHead<http::empty_body>(status, headers);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    stream_.expires_after(server_.limits_.write_timeout);
    RecordWritten(co_await http::async_write_header(stream_, serializer, use_awaitable));
  }

  Awaitable<void> Write(std::string data) override {
    if (data.empty()) co_return;
    stream_.expires_after(server_.limits_.write_timeout);
    RecordWritten(
        co_await asio::async_write(stream_, http::make_chunk(asio::buffer(data)), use_awaitable));
  }

  Awaitable<void> EndStream() override {
    StopWatching();
    stream_.expires_after(server_.limits_.write_timeout);
    co_await asio::async_write(stream_, http::make_chunk_last(), use_awaitable);
    complete_ = true;
  }

  void Abort() override {
    aborted_ = true;
    stream_.close();
  }

  void OnDisconnect(std::function<void()> callback) override {
    watch_->callback = std::move(callback);
    WaitForClose(watch_, stream_.socket());
  }

 private:
  struct DisconnectWatch {
    std::function<void()> callback;
  };

  template <typename Body>
  http::response<Body> MakeHead(unsigned status, const HttpHeaders& headers) {
    http::response<Body> message;
    message.version(kHttp11);
    message.result(status);
    for (const HttpHeader& header : headers) message.insert(header.name, header.value);
    message.keep_alive(StaysOpen());
    return message;
  }

  void RecordWritten(std::size_t bytes) {
    if (server_.observer_ != nullptr) server_.observer_->ResponseWritten(bytes);
  }

  bool StaysOpen() {
    announced_open_ = keep_alive_ && !server_.stopping_ && !server_.closing_;
    return announced_open_;
  }

  void StopWatching() {
    if (!watch_->callback) return;
    watch_->callback = nullptr;
    error_code ignored;
    stream_.socket().cancel(ignored);
  }

  /// Readable with nothing to read means that the caller closed its side.
  static void WaitForClose(const std::shared_ptr<DisconnectWatch>& watch, tcp::socket& socket) {
    socket.async_wait(tcp::socket::wait_read, [watch, &socket](const error_code& error) {
      if (!watch->callback || error == asio::error::operation_aborted) return;
      error_code failed;
      const std::size_t available = socket.available(failed);
      if (!error && !failed && available > 0) return;  // A pipelined request: still there.
      std::function<void()> callback = std::move(watch->callback);
      watch->callback = nullptr;
      callback();
    });
  }

  Impl& server_;
  beast::tcp_stream& stream_;
  HttpRequest request_;
  bool keep_alive_;
  bool announced_open_ = false;
  bool started_ = false;
  bool complete_ = false;
  bool aborted_ = false;
  std::shared_ptr<DisconnectWatch> watch_;
};

/// Reads on for a moment after a refusal: closing with unread bytes would reset the connection,
/// and the refusal might never arrive.
Awaitable<void> Linger(beast::tcp_stream& stream) {
  constexpr std::chrono::milliseconds kLingerTime{500};
  constexpr std::size_t kChunk = 4 * 1024;
  constexpr std::size_t kMostBytes = 64 * 1024 * 1024;
  error_code error;
  stream.socket().shutdown(tcp::socket::shutdown_send, error);
  std::string discarded(kChunk, '\0');
  std::size_t total = 0;
  stream.expires_after(kLingerTime);
  while (!error && total < kMostBytes)
    total += co_await stream.async_read_some(asio::buffer(discarded),
                                             asio::redirect_error(use_awaitable, error));
}

Awaitable<bool> HttpServer::Impl::ServeOne(Impl& server, beast::tcp_stream& stream,
                                           RequestReader& reader, bool first) {
  if (!reader.HasBytes()) {  // Idle between requests: the request's own time has not begun.
    const IdleMark idle(server, stream);
    if (!co_await reader.AwaitRequest(server.limits_.idle_timeout)) co_return false;
  }
  ReadResult read = co_await reader.Read(server.limits_);
  if (read.end == ReadResult::End::kClosed) co_return false;
  const bool rejected = read.end == ReadResult::End::kRejected;
  if (!rejected && server.observer_ != nullptr)
    server.observer_->RequestRead(SizeOf(read.request), first);
  Exchange exchange(server, stream, std::move(read.request), read.keep_alive);
  if (rejected) {
    const RejectedRequest problem{read.status, read.reason, exchange.request().headers};
    co_await exchange.Respond(server.rejection_(problem));
    co_await Linger(stream);
    co_return false;
  }
  co_await RunHandler(server, exchange);
  if (!exchange.complete()) stream.close();
  co_return exchange.keep_alive() && exchange.complete() && !reader.evicted();
}

Awaitable<void> HttpServer::Impl::RunHandler(Impl& server, Exchange& exchange) {
  bool failed = false;
  std::string reason;
  try {
    co_await server.handler_(exchange);
  } catch (const std::exception& thrown) {
    failed = true;
    reason = thrown.what();
  }
  if (!failed || exchange.started()) co_return;
  const RejectedRequest rejected{http_status::kInternalError, reason, exchange.request().headers};
  co_await exchange.Respond(server.rejection_(rejected));
}

HttpServer::HttpServer(std::vector<asio::io_context*> contexts, const Endpoint& listen,
                       HttpServerLimits limits, HttpHandler handler, HttpRejection rejection)
    : impl_(std::make_shared<Impl>(std::move(contexts), listen, limits, std::move(handler),
                                   std::move(rejection))) {}

HttpServer::~HttpServer() { impl_->DestroyAcceptor(); }

void HttpServer::SetObserver(HttpServerObserver* observer) { impl_->SetObserver(observer); }
void HttpServer::SetMemory(std::shared_ptr<RequestMemory> memory) {
  impl_->SetMemory(std::move(memory));
}
void HttpServer::Start() { impl_->Start(); }
Endpoint HttpServer::endpoint() const { return impl_->endpoint(); }
void HttpServer::StopAccepting() { impl_->StopAccepting(); }
void HttpServer::UpdateLimits(const HttpServerLimits& limits) { impl_->UpdateLimits(limits); }
std::size_t HttpServer::PauseAccepting() { return impl_->PauseAccepting(); }
bool HttpServer::ResumeAccepting() { return impl_->ResumeAccepting(); }
void HttpServer::CloseIdle() { impl_->CloseIdle(); }
void HttpServer::CloseInactive(std::size_t count) { impl_->CloseInactive(count); }
void HttpServer::AnnounceClose() { impl_->AnnounceClose(); }
std::size_t HttpServer::active_requests() const { return impl_->active_requests(); }
std::size_t HttpServer::open_connections() const { return impl_->open_connections(); }

}  // namespace moorfold
