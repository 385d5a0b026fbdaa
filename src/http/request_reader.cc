#include "http/request_reader.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <limits>
#include <utility>

#include "http/http_status.h"
#include "http/read_timeout.h"

namespace moorfold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::use_awaitable;
using boost::system::error_code;

namespace {

constexpr std::size_t kFirstRead = 4 * 1024;
constexpr std::size_t kBodyRead = 16 * 1024;
constexpr std::size_t kLargestRead = 64 * 1024;
/// State of a connection and of the coroutines that serve it, with its first read.
constexpr std::size_t kConnectionBytes = 16 * 1024;
/// The kernel grants twice the receive buffer that is asked for.
constexpr std::size_t kReceiveBufferFactor = 2;
/// A head is held by the parser, as a list of headers, and as what is forwarded.
constexpr std::size_t kHeadCopies = 4;
/// Of one field in all copies, beside its text.
constexpr std::size_t kFieldOverheadBytes = 512;
constexpr std::size_t kSmallestBody = 4 * 1024;

HttpHeaders HeadersOf(const http::request<GrowingStringBody>& message) {
  HttpHeaders headers;
  for (const auto& field : message)
    headers.push_back({std::string(field.name_string()), std::string(field.value())});
  return headers;
}

HttpRequest TakeRequest(http::request<GrowingStringBody>&& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = HeadersOf(message);
  request.body = std::move(message.body());
  return request;
}

unsigned RejectionStatus(const error_code& code) {
  if (code == beast::error::timeout) return http_status::kRequestTimeout;
  if (code == http::error::body_limit) return http_status::kTooLarge;
  if (code == http::error::header_limit || code == http::error::buffer_overflow)
    return http_status::kHeadersTooLarge;
  return http_status::kBadRequest;
}

/// @return bytes of the body that are still to come; nothing if that is not known.
std::optional<std::uint64_t> RemainingLength(
    const http::request_parser<GrowingStringBody>& parser) {
  const auto remaining = parser.content_length_remaining();
  return remaining ? std::optional<std::uint64_t>(*remaining) : std::nullopt;
}

}  // namespace

RequestReader::RequestReader(beast::tcp_stream& stream, std::shared_ptr<RequestMemory> memory,
                             const void* group)
    : stream_(stream) {
  if (memory) account_.emplace(std::move(memory), *this, group);
}

bool RequestReader::Open(std::size_t receive_buffer) {
  connection_bytes_ = kConnectionBytes + kReceiveBufferFactor * receive_buffer;
  return Charge(connection_bytes_);
}

bool RequestReader::Charge(std::size_t bytes) { return !account_ || account_->Resize(bytes); }

std::size_t RequestReader::BytesBesideBody() const {
  return connection_bytes_ + buffer_.capacity() + head_bytes_;
}

void RequestReader::Evict(EvictionReason reason) {
  eviction_ = reason;
  if (body_ != nullptr) {
    std::string().swap(*body_);
    Charge(BytesBesideBody());
  }
  error_code ignored;
  stream_.socket().cancel(ignored);
}

Awaitable<bool> RequestReader::AwaitRequest(std::chrono::milliseconds idle_timeout) {
  error_code error;
  stream_.expires_after(idle_timeout);
  const std::size_t got = co_await stream_.async_read_some(
      buffer_.prepare(kFirstRead), asio::redirect_error(use_awaitable, error));
  buffer_.commit(got);
  co_return !error && !evicted();
}

bool RequestReader::GrowBody(Parser& parser, std::uint64_t body_limit) {
  std::string& body = parser.get().body();
  std::uint64_t needed = body.size() + buffer_.size();
  const std::optional<std::uint64_t> remaining = RemainingLength(parser);
  const std::uint64_t whole = remaining ? body.size() + *remaining : body_limit;
  needed = std::min(needed, whole);
  if (needed <= body.capacity()) return true;
  const std::uint64_t doubled = std::max<std::uint64_t>(kSmallestBody, 2 * body.capacity());
  const auto capacity = static_cast<std::size_t>(std::max(needed, std::min(doubled, whole)));
  // Both strings exist while the bytes move.
  if (!Charge(BytesBesideBody() + body.capacity() + capacity)) return false;
  body.reserve(capacity);
  return Charge(BytesBesideBody() + body.capacity());
}

bool RequestReader::ChargeFields(const Parser& parser) {
  std::size_t text = parser.get().target().size();
  std::size_t fields = 0;
  for (const auto& field : parser.get()) {
    text += field.name_string().size() + field.value().size();
    ++fields;
  }
  head_bytes_ = text * kHeadCopies + fields * kFieldOverheadBytes;
  return Charge(BytesBesideBody() + parser.get().body().capacity());
}

bool RequestReader::Parse(Parser& parser, const HttpServerLimits& limits, error_code& error) {
  while (buffer_.size() > 0 && !error && !parser.is_done()) {
    const bool in_head = !parser.is_header_done();
    if (!in_head && !GrowBody(parser, limits.body_bytes)) {
      out_of_memory_ = true;
      return false;
    }
    parser.eager(!in_head);
    const std::size_t used = parser.put(buffer_.data(), error);
    buffer_.consume(used);
    const bool fields_came = (in_head && parser.is_header_done()) || parser.is_done();
    if (fields_came && !ChargeFields(parser)) {
      out_of_memory_ = true;
      return false;
    }
    if (error == http::error::need_more) {
      error = {};
      // Of a body, only the framing of a chunk or the trailers stay in the buffer.
      const std::size_t longest = in_head ? buffer_.max_size() : limits.header_bytes;
      if (buffer_.size() >= longest) error = http::error::buffer_overflow;
      return !error;
    }
  }
  return !error && !parser.is_done();
}

Awaitable<void> RequestReader::ReadMore(const Parser& parser, error_code& error) {
  std::size_t size = kFirstRead;
  if (parser.is_header_done()) {
    const std::uint64_t wanted = RemainingLength(parser).value_or(kBodyRead);
    size = static_cast<std::size_t>(std::clamp<std::uint64_t>(wanted, kFirstRead, kLargestRead));
  }
  size = std::min(size, buffer_.max_size() - buffer_.size());
  const std::size_t capacity = std::max(buffer_.capacity(), buffer_.size() + size);
  const std::size_t body = parser.get().body().capacity();
  if (!Charge(connection_bytes_ + buffer_.capacity() + capacity + head_bytes_ + body)) {
    out_of_memory_ = true;
    co_return;
  }
  buffer_.reserve(capacity);
  Charge(BytesBesideBody() + body);
  const std::size_t got = co_await stream_.async_read_some(
      buffer_.prepare(size), asio::redirect_error(use_awaitable, error));
  buffer_.commit(got);
  if (account_) account_->RecordProgress();
  if (error == asio::error::eof)
    error = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
}

Awaitable<void> RequestReader::ReadMessage(Parser& parser, const HttpServerLimits& limits,
                                           error_code& error) {
  const auto is_over = [&] { return out_of_memory_ || evicted() || error; };
  std::optional<ReadTimeout> timeout(std::in_place, stream_, limits.header_timeout);
  bool in_head = true;
  while (Parse(parser, limits, error)) {
    if (in_head && parser.is_header_done()) {
      in_head = false;
      timeout.emplace(stream_, limits.request_timeout);
    }
    co_await ReadMore(parser, error);
    if (timeout->passed()) error = beast::error::timeout;
    if (is_over()) break;
  }
}

ReadResult RequestReader::MakeResult(Parser& parser, const error_code& error) {
  ReadResult result;
  if (error == http::error::end_of_stream || error == asio::error::connection_reset) return result;
  if (evicted() || out_of_memory_) {
    result.status = http_status::kUnavailable;
    result.reason = evicted() ? std::string("its connection was ") + Name(*eviction_) +
                                    " while memory was short"
                              : "no memory for it";
  } else if (error) {
    result.status = RejectionStatus(error);
    result.reason = error.message();
  } else {
    result.end = ReadResult::End::kRequest;
    result.keep_alive = parser.get().keep_alive();
    result.request = TakeRequest(parser.release());
    return result;
  }
  result.end = ReadResult::End::kRejected;
  result.request.headers = HeadersOf(parser.get());
  return result;
}

Awaitable<ReadResult> RequestReader::Read(const HttpServerLimits& limits) {
  if (account_) account_->SetPhase(RequestMemory::Phase::kReading);
  stream_.expires_never();
  buffer_.max_size(std::max<std::size_t>(limits.header_bytes, kLargestRead));
  Parser parser;
  parser.header_limit(limits.header_bytes);
  parser.body_limit(limits.body_bytes);
  body_ = &parser.get().body();
  error_code error;
  co_await ReadMessage(parser, limits, error);
  body_ = nullptr;
  if (account_) account_->SetPhase(RequestMemory::Phase::kServing);
  if (buffer_.size() == 0) buffer_.shrink_to_fit();  // Idle connections keep no large buffer.
  ReadResult result = MakeResult(parser, error);
  Charge(BytesBesideBody() + result.request.body.capacity());
  co_return result;
}

void RequestReader::EndRequest() {
  head_bytes_ = 0;
  out_of_memory_ = false;
  Charge(BytesBesideBody());
  if (account_) account_->SetPhase(RequestMemory::Phase::kIdle);
}

}  // namespace moorfold
