#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "common/async_signal.h"
#include "request/admission_queue.h"
#include "request/call.h"
#include "request/retry_policy.h"
#include "request/worker_shared.h"

namespace moorfold {

/// Serves completions on one worker thread: finds a replica, waits for one when the model is cold
/// or busy, passes the answer on, and tries another replica when that is safe. Every request ends
/// with an answer, a refusal, or a cut connection when part of an answer was out already.
class ModelRouter {
 public:
  ModelRouter(boost::asio::io_context& context, WorkerShared& shared);

  /// Answers POST /v1/chat/completions and /v1/completions.
  Awaitable<void> Handle(HttpServerExchange& exchange);
  /// Lets waiting requests look again: the table changed, or a replica has room.
  void WakeWaiting();
  const RoutingTableConstPtr& Table() { return tables_.Get(); }

 private:
  struct Waiting {
    explicit Waiting(const boost::asio::any_io_executor& executor) : signal(executor) {}
    AdmissionQueue queue;
    AsyncSignal signal;
  };
  using CallerCounts = std::unordered_map<std::string, std::uint32_t>;
  class CallerSlot;
  class QueuedRequest;

  std::optional<ApiError> Parse(const HttpRequest& request, Call& call);
  Awaitable<std::optional<ApiError>> Serve(HttpServerExchange& exchange, Call& call);
  /// Waits for a replica with room and takes a slot on it.
  Awaitable<std::optional<Target>> AcquireTarget(Call& call, std::uint64_t body_bytes,
                                                 const std::set<std::string>& excluded);
  /// One attempt, with its bookkeeping; the slot on `target` is released.
  Awaitable<Attempt> TryTarget(HttpServerExchange& exchange, Call& call, const ModelRoute& route,
                               const Target& target);
  void ObserveFirstByte(const Call& call);
  std::optional<ApiError> RefuseEarly(const ModelRoute& route, const Call& call,
                                      std::size_t position) const;
  HttpRequest MakeRequest(const HttpRequest& original, const ModelRoute& route,
                          const Call& call) const;
  void RecordEnd(const Call& call, const std::optional<ApiError>& error);
  ModelRouteConstPtr FindRoute(const std::string& name);
  std::shared_ptr<Waiting> WaitingFor(const std::string& name);

  boost::asio::io_context& context_;
  WorkerShared& shared_;
  RoutingTablePublisher::Reader tables_;
  HttpClient client_;
  RetryBudget retries_;
  std::map<std::string, std::shared_ptr<Waiting>> waiting_;
  /// Requests in progress by caller. Shared with the requests, which may outlive this object.
  std::shared_ptr<CallerCounts> callers_ = std::make_shared<CallerCounts>();
};

}  // namespace moorfold
