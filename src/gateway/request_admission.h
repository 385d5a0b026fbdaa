#pragma once

#include <optional>
#include <string>

#include "gateway/fleet_view.h"
#include "gateway/gateway_request.h"
#include "gateway/refusal.h"
#include "gateway/route_table.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// Determines a request's route, tenant, service, model and deadline, and rejects requests that
/// cannot be served. Not thread-safe.
class RequestAdmission {
 public:
  RequestAdmission(const FleetProtocol& protocol, const FleetView& view)
      : protocol_(protocol), view_(view) {}

  /// Fills in `request`. @pre its arrival is set. @return the refusal, if it cannot be served.
  std::optional<Refusal> Admit(const HttpRequest& http, GatewayRequest& request);
  /// Sets the service, and the model if the service holds models.
  static void AssignService(GatewayRequest& request, std::string service);
  /// Checks the API key again before a send: it may have been revoked while the request waited or
  /// was being retried. Responses in progress are not affected.
  /// @return the refusal, if the request must not be sent.
  std::optional<Refusal> RecheckKey(const GatewayRequest& request) const;

 private:
  std::optional<Refusal> FindRoute(const HttpRequest& http, GatewayRequest& request);
  std::optional<Refusal> IdentifyTenant(const HttpRequest& http, GatewayRequest& request) const;
  /// @return `refusal`, or a retryable one if this daemon's configuration may be outdated and a
  /// newer one may allow the request.
  Refusal UnlessConfigurationStale(Refusal refusal) const;

  const FleetProtocol& protocol_;
  const FleetView& view_;
  WeightedRoundRobin service_selector_;
};

}  // namespace moorfold
