#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <optional>
#include <string>

#include "http/http_server_limits.h"
#include "http/http_types.h"
#include "http/request_memory.h"

namespace moorfold {

/// A body whose string grows only as its reader is told to; no length that a peer states takes
/// memory by itself.
struct GrowingStringBody {
  using value_type = std::string;

  // NOLINTNEXTLINE(readability-identifier-naming): Beast names what a body has.
  class reader {
   public:
    template <bool IsRequest, typename Fields>
    reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) {
      error = {};
    }
    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      std::size_t taken = 0;
      for (const boost::asio::const_buffer piece : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(piece.data()), piece.size());
        taken += piece.size();
      }
      return taken;
    }
    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

/// What reading a request has come to.
struct ReadResult {
  enum class End : std::uint8_t {
    kRequest,   ///< `request` is whole.
    kClosed,    ///< The peer closed, or nothing came; there is nobody to answer.
    kRejected,  ///< `status` and `reason` say why; `request` has the headers as far as they came.
  };
  End end = End::kClosed;
  HttpRequest request = {};
  bool keep_alive = false;
  unsigned status = 0;
  std::string reason = {};
};

/// Reads the requests of one server connection one after the other. All bytes that it holds are
/// charged to the process's account first. Lives as long as the connection; one thread.
class RequestReader : public RequestMemory::Holder {
 public:
  /// @param memory null: nothing is counted.
  /// @param group the server that the connection belongs to.
  RequestReader(boost::beast::tcp_stream& stream, std::shared_ptr<RequestMemory> memory,
                const void* group);

  /// Charges what every connection costs.
  /// @param receive_buffer bytes that the kernel was asked to hold unread.
  /// @return whether there is memory for it.
  bool Open(std::size_t receive_buffer);
  /// Waits for the first bytes of a request.
  /// @return false if the connection has ended or rested too long.
  Awaitable<bool> AwaitRequest(std::chrono::milliseconds idle_timeout);
  /// @return whether bytes of the next request have been read already.
  bool HasBytes() const { return buffer_.size() > 0; }
  Awaitable<ReadResult> Read(const HttpServerLimits& limits);
  /// The request that was read has been answered, and its memory freed.
  void EndRequest();
  /// @return whether the connection had to give its place to others; no request is read any more.
  bool evicted() const { return eviction_.has_value(); }

 private:
  using Parser = boost::beast::http::request_parser<GrowingStringBody>;
  using ErrorCode = boost::system::error_code;

  void Evict(EvictionReason reason) override;
  /// @return false if the account cannot hold it.
  bool Charge(std::size_t bytes);
  /// What the account holds beside the body.
  std::size_t BytesBesideBody() const;
  /// Parses what has been read.
  /// @return whether more bytes are needed; sets `error` otherwise, or when the request is broken.
  bool Parse(Parser& parser, const HttpServerLimits& limits, ErrorCode& error);
  /// Charges the fields of a head, or of a head and trailers. @return whether there is memory.
  bool ChargeFields(const Parser& parser);
  /// Grows the body's string for the bytes in the buffer. @return whether there is memory.
  bool GrowBody(Parser& parser, std::uint64_t body_limit);
  Awaitable<void> ReadMore(const Parser& parser, ErrorCode& error);
  Awaitable<void> ReadMessage(Parser& parser, const HttpServerLimits& limits, ErrorCode& error);
  ReadResult MakeResult(Parser& parser, const ErrorCode& error);

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer buffer_;
  std::string* body_ = nullptr;  ///< Of the request that is being read.
  std::size_t connection_bytes_ = 0;
  std::size_t head_bytes_ = 0;  ///< Held for the head, and for what comes behind the last chunk.
  bool out_of_memory_ = false;
  std::optional<EvictionReason> eviction_;
  std::optional<RequestMemory::Account> account_;
};

}  // namespace moorfold
