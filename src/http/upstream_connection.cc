#include "http/upstream_connection.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "common/boot_clock.h"
#include "http/connection_liveness.h"

namespace moorfold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kReadChunk = 8 * 1024;
/// Refused requests that one connection remembers.
constexpr std::size_t kMaxRefusedRequests = 64;
/// Unread bytes of one connection: a head, or the framing of a chunk.
constexpr std::size_t kMaxBufferBytes = 16 * 1024;
using RequestMessage = http::request<http::span_body<char const>>;

std::uint64_t NextNumber() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

/// @return whether the other side closed, reset or refused the connection.
bool PeerEnded(const error_code& error) {
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe || error == asio::error::connection_aborted ||
         error == asio::error::connection_refused || error == http::error::end_of_stream ||
         error == http::error::partial_message;
}
}  // namespace

/// Outlives the connection while an operation on the socket still ends.
struct UpstreamConnection::State {
  State(asio::io_context& context, Endpoint to, std::size_t buffer_bytes)
      : socket(context),
        timer(context),
        endpoint(std::move(to)),
        socket_buffer_bytes(static_cast<int>(buffer_bytes)) {}

  tcp::socket socket;
  BootTimer timer;
  Endpoint endpoint;
  int socket_buffer_bytes;
  beast::flat_buffer buffer{kMaxBufferBytes};
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::shared_ptr<RequestMessage> message;
  std::shared_ptr<const std::string> body;
  bool sending = false;
  bool send_failed = false;
  bool sent_everything_before_answer = true;
  CancelReason cancelled = CancelReason::kNone;
  std::chrono::milliseconds rested{0};
  const std::uint64_t number = NextNumber();
  std::uint32_t sent = 0;
  std::size_t body_bytes_on_wire = 0;  ///< Of the current response, with the framing of chunks.
  std::vector<std::size_t> refused;    ///< Hashes of request IDs.

  HttpError Failure(HttpStage stage, const error_code& error) const {
    const bool timed_out = cancelled == CancelReason::kTimeLimit;
    const bool peer_ended = cancelled == CancelReason::kNone && PeerEnded(error);
    return {stage, timed_out, ToString(endpoint) + ": " + error.message(), peer_ended};
  }

  /// Before the connection is made: what is received later follows the size announced then.
  void BoundBuffers() {
    if (socket_buffer_bytes == 0) return;
    error_code ignored;  // A connection without these bounds works as well.
    socket.open(tcp::v4(), ignored);
    socket.set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes), ignored);
  }

  /// Closing by a reset: nothing that still lies in buffers may arrive later.
  void Reset() {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
};

UpstreamConnection::UpstreamConnection(asio::io_context& context, Endpoint endpoint,
                                       std::size_t socket_buffer_bytes)
    : state_(std::make_shared<State>(context, std::move(endpoint), socket_buffer_bytes)) {}

UpstreamConnection::~UpstreamConnection() {
  if (state_->sending) {
    state_->Reset();
    return;
  }
  error_code ignored;
  state_->socket.close(ignored);
}

Awaitable<void> UpstreamConnection::Connect(Deadline deadline) {
  const std::shared_ptr<State> state = state_;
  error_code error;
  const asio::ip::address address = asio::ip::make_address(state->endpoint.address, error);
  if (error) throw state->Failure(HttpStage::kConnecting, error);
  state->timer.expires_at(deadline);
  state->timer.async_wait([state](const error_code& cancelled) {
    if (cancelled) return;
    state->cancelled = CancelReason::kTimeLimit;
    state->Reset();
  });
  const tcp::endpoint target(address, state->endpoint.port);
  if (address.is_v4()) state->BoundBuffers();
  co_await state->socket.async_connect(target, asio::redirect_error(use_awaitable, error));
  state->timer.cancel();
  if (!error && state->cancelled != CancelReason::kNone) error = asio::error::operation_aborted;
  if (error) throw state->Failure(HttpStage::kConnecting, error);
  error_code ignored;
  state->socket.set_option(tcp::no_delay(true), ignored);
  EndWhenPeerIsSilent(state->socket);
}

void UpstreamConnection::BeginSend(const HttpRequest& head,
                                   std::shared_ptr<const std::string> body) {
  auto message = std::make_shared<RequestMessage>();
  message->version(kHttp11);
  message->method_string(head.method);
  message->target(head.target);
  for (const HttpHeader& header : head.headers) message->insert(header.name, header.value);
  message->body() = beast::span<char const>(body->data(), body->size());
  message->prepare_payload();
  state_->message = message;
  state_->body = std::move(body);
  state_->parser.reset();
  state_->sending = true;
  ++state_->sent;
  state_->send_failed = false;
  http::async_write(state_->socket, *message,
                    [state = state_, message](const error_code& error, std::size_t) {
                      state->sending = false;
                      state->send_failed = static_cast<bool>(error);
                      state->message.reset();
                      state->body.reset();
                    });
}

Awaitable<void> UpstreamConnection::ReadHead() {
  const std::shared_ptr<State> state = state_;
  state->parser.emplace();
  state->body_bytes_on_wire = 0;
  state->parser->body_limit(boost::none);  // Callers bound what they keep.
  error_code error;
  co_await http::async_read_header(state->socket, state->buffer, *state->parser,
                                   asio::redirect_error(use_awaitable, error));
  state->sent_everything_before_answer = !state->sending && !state->send_failed;
  if (!error && state->cancelled != CancelReason::kNone) error = asio::error::operation_aborted;
  if (error) throw state->Failure(HttpStage::kAwaitingAnswer, error);
}

bool UpstreamConnection::HasHead() const {
  return state_->parser && state_->parser->is_header_done();
}

unsigned UpstreamConnection::status() const { return state_->parser->get().result_int(); }

HttpHeaders UpstreamConnection::headers() const {
  HttpHeaders headers;
  for (const auto& field : state_->parser->get())
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  return headers;
}

Awaitable<std::string> UpstreamConnection::ReadSome() {
  const std::shared_ptr<State> state = state_;
  std::string chunk(kReadChunk, '\0');
  while (!state->parser->is_done()) {
    state->parser->get().body().data = chunk.data();
    state->parser->get().body().size = chunk.size();
    error_code error;
    state->body_bytes_on_wire += co_await http::async_read_some(
        state->socket, state->buffer, *state->parser, asio::redirect_error(use_awaitable, error));
    if (state->cancelled != CancelReason::kNone) error = asio::error::operation_aborted;
    if (error && error != http::error::need_buffer)
      throw state->Failure(HttpStage::kReadingAnswer, error);
    const std::size_t got = chunk.size() - state->parser->get().body().size;
    if (got == 0) continue;
    chunk.resize(got);
    co_return chunk;
  }
  // The failed write has taken the socket's error, so a reset looks like the end of the stream.
  if (state->parser->need_eof() && state->send_failed)
    throw state->Failure(HttpStage::kReadingAnswer, asio::error::connection_reset);
  co_return std::string();
}

Awaitable<std::string> UpstreamConnection::ReadUpTo(std::size_t enough) {
  std::string body;
  while (state_->body_bytes_on_wire < enough) {
    const std::string chunk = co_await ReadSome();
    if (chunk.empty()) break;
    body += chunk;
  }
  co_return body;
}

Awaitable<bool> UpstreamConnection::Discard(std::size_t most_bytes,
                                            std::chrono::milliseconds longest) {
  const std::shared_ptr<State> state = state_;
  const auto ended = std::make_shared<bool>(false);
  state->timer.expires_after(longest);
  state->timer.async_wait([state, ended](const error_code& error) {
    if (!error && !*ended) state->Reset();
  });
  const std::size_t already_read = state->body_bytes_on_wire;
  try {
    while (!Complete() && state->body_bytes_on_wire - already_read < most_bytes)
      co_await ReadSome();
  } catch (const HttpError&) {  // The caller learns of it from the result.
  }
  *ended = true;
  state->timer.cancel();
  co_return Complete() && state->socket.is_open();
}

bool UpstreamConnection::Complete() const { return state_->parser && state_->parser->is_done(); }

void UpstreamConnection::Cancel(CancelReason reason) {
  if (state_->cancelled == CancelReason::kNone) state_->cancelled = reason;
  state_->Reset();
}

CancelReason UpstreamConnection::cancelled() const { return state_->cancelled; }

void UpstreamConnection::RecordRefused(std::string_view request_id) {
  state_->refused.push_back(std::hash<std::string_view>{}(request_id));
}

bool UpstreamConnection::HasRefused(std::string_view request_id) const {
  const std::vector<std::size_t>& refused = state_->refused;
  return std::find(refused.begin(), refused.end(), std::hash<std::string_view>{}(request_id)) !=
         refused.end();
}

bool UpstreamConnection::Reusable() const {
  return state_->refused.size() < kMaxRefusedRequests && state_->cancelled == CancelReason::kNone &&
         state_->socket.is_open() && state_->sent_everything_before_answer && !state_->sending &&
         state_->parser && state_->parser->is_done() && state_->parser->keep_alive() &&
         !state_->parser->need_eof() && state_->buffer.size() == 0;
}

bool UpstreamConnection::Idle() { return IsQuiet(state_->socket); }

const Endpoint& UpstreamConnection::endpoint() const { return state_->endpoint; }

std::chrono::milliseconds UpstreamConnection::rested() const { return state_->rested; }

void UpstreamConnection::set_rested(std::chrono::milliseconds rested) { state_->rested = rested; }

std::uint64_t UpstreamConnection::number() const { return state_->number; }

std::uint32_t UpstreamConnection::carried() const { return std::max(state_->sent, 1U) - 1; }

UpstreamConnectionPtr UpstreamPool::Take(const std::string& server_id, std::string_view request_id,
                                         std::chrono::milliseconds longest_rest) {
  const auto found = idle_.find(server_id);
  if (found == idle_.end()) return nullptr;
  std::vector<Resting>& resting = found->second;
  const auto now = BootClock::now();
  for (std::size_t after = resting.size(); after > 0; --after) {
    const auto each = resting.begin() + static_cast<std::ptrdiff_t>(after) - 1;
    if (each->connection->HasRefused(request_id)) continue;
    const Resting taken = std::move(*each);
    resting.erase(each);
    const auto rested = std::chrono::duration_cast<std::chrono::milliseconds>(now - taken.since);
    if (now >= taken.until || rested > longest_rest || !taken.connection->Idle()) continue;
    taken.connection->set_rested(std::max(rested, std::chrono::milliseconds(1)));
    return taken.connection;
  }
  return nullptr;
}

void UpstreamPool::Give(const std::string& server_id, UpstreamConnectionPtr connection,
                        std::chrono::milliseconds keep) {
  const auto now = BootClock::now();
  idle_[server_id].push_back({std::move(connection), now, now + keep});
}

void UpstreamPool::Sweep() {
  const auto now = BootClock::now();
  for (auto server = idle_.begin(); server != idle_.end();) {
    std::erase_if(server->second, [&](const Resting& resting) { return resting.until <= now; });
    server = server->second.empty() ? idle_.erase(server) : std::next(server);
  }
}

}  // namespace moorfold
