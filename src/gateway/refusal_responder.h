#pragma once

#include "gateway/gateway_metrics.h"
#include "gateway/gateway_request.h"
#include "gateway/refusal.h"
#include "gateway/request_reporter.h"
#include "http/http_server.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// Sends the error responses that the gateway makes itself, and reports the requests that end with
/// them. A refusal that promises that the request did not run is logged before it is sent; if the
/// log does not take it, the client gets a failure that promises nothing. Not thread-safe.
class RefusalResponder {
 public:
  RefusalResponder(const FleetProtocol& protocol, RequestReporter& reporter,
                   GatewayMetrics& metrics)
      : protocol_(protocol), reporter_(reporter), metrics_(metrics) {}

  /// @param last_attempt its problem, server and trace, which led to the refusal. The reported
  /// outcome, reason and status are those of the refusal.
  Awaitable<void> Refuse(HttpServerExchange& exchange, const GatewayRequest& request,
                         const Refusal& refusal, const RequestEnd& last_attempt);
  /// Reports a request that the HTTP server does not pass on. @return its response.
  HttpResponse Reject(const RejectedRequest& rejected);
  /// As Reject, for a request that another daemon has sent.
  HttpResponse RejectDetour(const RejectedRequest& rejected);

 private:
  Awaitable<void> Respond(HttpServerExchange& exchange, const GatewayRequest& request,
                          const Refusal& refusal);
  /// Waits a moment if the log's output is full. @return whether the log has the refusal's line.
  Awaitable<bool> LogRefusal(const GatewayRequest& request, const RequestEnd& end);

  const FleetProtocol& protocol_;
  RequestReporter& reporter_;
  GatewayMetrics& metrics_;
};

}  // namespace moorfold
