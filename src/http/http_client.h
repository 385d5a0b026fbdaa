#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace moorfold {

class HttpConnection;
class HttpConnectionPool;

/// One request and its answer. The connection goes back to the pool only when the whole answer
/// was read; an abandoned exchange closes it, so no later request can meet a stray answer.
class HttpExchange {
 public:
  HttpExchange(std::unique_ptr<HttpConnection> connection,
               std::shared_ptr<HttpConnectionPool> pool);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;

  unsigned status() const;
  HttpHeaders headers() const;
  /// @return the next bytes of the body as they arrive; empty at its end.
  /// @throws HttpError (kReadingAnswer) when the answer breaks off or the deadline passes.
  Awaitable<std::string> ReadSome();
  /// Closes the connection; a pending ReadSome fails. Call from the exchange's own thread.
  void Cancel();

 private:
  std::unique_ptr<HttpConnection> connection_;
  std::shared_ptr<HttpConnectionPool> pool_;
};

struct HttpSendOptions {
  Deadline deadline = Deadline::max();
  /// Once the head of the answer is there, `deadline` binds no more: each further piece has to come
  /// within this time, and all of them within `longest_answer`. 0: `deadline` bounds the whole.
  std::chrono::milliseconds progress_timeout{0};
  std::chrono::milliseconds longest_answer{0};  ///< Of no meaning without `progress_timeout`.
  std::uint64_t most_body_bytes = 256ULL * 1024 * 1024;  ///< A longer answer is given up.
  /// Header by which a response names its request, with the request's value. A response that
  /// carries another value belongs to another call: the exchange fails.
  std::optional<HttpHeader> response_id;
  /// For requests that must not run twice: never reuses a connection that the peer may have
  /// closed meanwhile, so a failure before the answer is never caused by the pool.
  bool fresh_connection = false;
};

/// HTTP/1.1 client with a pool of idle connections. Belongs to one io_context that one thread
/// runs; not thread-safe.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& context);

  /// Sends `request` and waits for the head of the answer. A pooled connection that proves dead
  /// before any byte of an answer is replaced once by a fresh one. One that stays silent until the
  /// deadline takes the other pooled ones of its endpoint with it: the next call uses a fresh one.
  /// @throws HttpError.
  Awaitable<std::unique_ptr<HttpExchange>> Open(Endpoint endpoint, HttpRequest request,
                                                HttpSendOptions options);
  /// Sends `request` and reads the whole answer.
  /// @throws HttpError.
  Awaitable<HttpResponse> Send(Endpoint endpoint, HttpRequest request, HttpSendOptions options);

 private:
  boost::asio::io_context& context_;
  std::shared_ptr<HttpConnectionPool> pool_;
};

}  // namespace moorfold
