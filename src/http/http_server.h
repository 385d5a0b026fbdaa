#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_server_limits.h"
#include "http/http_types.h"
#include "http/request_memory.h"

namespace moorfold {

/// A request being answered. Lives as long as its handler runs, on one thread.
class HttpServerExchange {
 public:
  virtual ~HttpServerExchange() = default;
  virtual const HttpRequest& request() const = 0;
  /// @return the request's body, which request() no longer has afterwards.
  virtual std::string TakeBody() = 0;
  virtual boost::asio::any_io_executor executor() = 0;
  /// @return the caller's end of the connection; empty if the connection has ended.
  virtual Endpoint remote() const = 0;
  /// Sends a whole answer. Exactly one of Respond and BeginStream is called.
  virtual Awaitable<void> Respond(HttpResponse response) = 0;
  virtual Awaitable<void> BeginStream(unsigned status, HttpHeaders headers) = 0;
  virtual Awaitable<void> Write(std::string data) = 0;
  virtual Awaitable<void> EndStream() = 0;
  /// Breaks the connection, so that the caller can see that the answer is not whole.
  virtual void Abort() = 0;
  virtual bool started() const = 0;
  /// Calls `callback` once if the caller closes its side before the answer is complete.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
};

/// Is told what the connections of a server bring. Called on the connections' threads.
class HttpServerObserver {
 public:
  virtual ~HttpServerObserver() = default;
  virtual void ConnectionAccepted() = 0;
  virtual void ConnectionClosed() = 0;
  /// @param bytes of its head and body.
  /// @param first whether it is the first one on its connection.
  virtual void RequestRead(std::size_t bytes, bool first) = 0;
  /// @param bytes of a response, or of one part of a stream.
  virtual void ResponseWritten(std::size_t bytes) = 0;
};

using HttpHandler = std::function<Awaitable<void>(HttpServerExchange&)>;
/// A request that gets no answer from its handler.
struct RejectedRequest {
  /// 400, 408, 413 or 431: it could not be read; 503: there was no memory for it; 500: its handler
  /// threw before it answered.
  unsigned status = 0;
  std::string reason;
  HttpHeaders headers;  ///< As far as they were read.
};
using HttpRejection = std::function<HttpResponse(const RejectedRequest&)>;

/// HTTP/1.1 server. Connections are dealt to the given contexts in turn and stay there; each
/// context is run by one thread. The handler is called on the connection's thread.
class HttpServer {
 public:
  /// @throws ListenError when the address cannot be bound.
  HttpServer(std::vector<boost::asio::io_context*> contexts, const Endpoint& listen,
             HttpServerLimits limits, HttpHandler handler, HttpRejection rejection);
  /// Only when no thread runs the contexts any more, or from the first one's own thread.
  ~HttpServer();

  void Start();
  /// Before Start. @param observer outlives the server.
  void SetObserver(HttpServerObserver* observer);
  /// Before Start: counts what connections hold. Only where one thread runs all contexts.
  void SetMemory(std::shared_ptr<RequestMemory> memory);
  Endpoint endpoint() const;
  /// For connections and requests from now on. The contexts' thread, if there is only one.
  void UpdateLimits(const HttpServerLimits& limits);
  /// Answers say "connection: close" from now on; new connections are still taken. Any thread.
  void AnnounceClose();
  /// Closes connections on which no request has begun, and from now on each other one after its
  /// answer. Only where one thread runs all contexts.
  void CloseIdle();
  /// Accepts no more; requests in progress go on and answers say "connection: close".
  void StopAccepting();
  /// Until ResumeAccepting, new connections are refused, and open ones are served. Only where one
  /// thread runs all contexts.
  /// @return number of connections that waited to be accepted and were closed unread.
  std::size_t PauseAccepting();
  /// @return whether the server listens again; not if another process has taken its port.
  bool ResumeAccepting();
  /// Closes up to `count` connections that are stalled in a request or have rested long. Only where
  /// one thread runs all contexts and memory is counted.
  void CloseInactive(std::size_t count);
  /// @return connections that are open now. Any thread.
  std::size_t open_connections() const;
  /// @return requests being answered now. Any thread.
  std::size_t active_requests() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace moorfold
