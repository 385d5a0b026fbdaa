#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "request/call.h"
#include "request/claims/claim_service.h"
#include "request/retry_policy.h"
#include "request/worker_shared.h"

namespace moorfold {

/// Passes requests on to the ordinary back ends (/services/NAME/...) on one worker thread. A
/// request that may not be repeated goes out once; one with an Idempotency-Key is claimed first.
class ServiceRouter {
 public:
  /// @param claims outlives this object.
  ServiceRouter(boost::asio::io_context& context, WorkerShared& shared, ClaimService& claims);

  /// Answers any method on /services/NAME/....
  Awaitable<void> Handle(HttpServerExchange& exchange);

 private:
  struct Destination {
    ServiceRouteConstPtr route;
    std::string path;
  };
  std::optional<ApiError> Resolve(const HttpRequest& request, Call& call, Destination& destination);
  Awaitable<std::optional<ApiError>> Serve(HttpServerExchange& exchange, Call& call,
                                           const Destination& destination);
  Awaitable<std::optional<ApiError>> ServeClaimed(HttpServerExchange& exchange, Call& call,
                                                  const Destination& destination, std::string key);
  Awaitable<Attempt> TryTarget(HttpServerExchange& exchange, Call& call,
                               const Destination& destination, const Target& target);
  HttpRequest MakeRequest(const HttpRequest& original, const Destination& destination,
                          const Call& call) const;

  WorkerShared& shared_;
  ClaimService& claims_;
  RoutingTablePublisher::Reader tables_;
  HttpClient client_;
  RetryBudget retries_;
};

}  // namespace moorfold
