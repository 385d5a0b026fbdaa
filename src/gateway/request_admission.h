#pragma once

#include <optional>
#include <string>

#include "gateway/fleet_view.h"
#include "gateway/gateway_request.h"
#include "gateway/refusal.h"
#include "gateway/route_table.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// Reads what a request asks for and who asks: its route, its tenant, its part of a split, its
/// model and its time. One thread.
class RequestAdmission {
 public:
  RequestAdmission(const FleetProtocol& protocol, const FleetView& view)
      : protocol_(protocol), view_(view) {}

  /// Fills `request` in. @pre its arrival is set. @return why it cannot be served, if so.
  std::optional<Refusal> Resolve(const HttpRequest& http, GatewayRequest& request);
  /// A request that waited, or is sent once more, may have lost its key meanwhile. Answers that
  /// have begun go on to their end.
  /// @return why it must not be sent now, if so.
  std::optional<Refusal> Recheck(const GatewayRequest& request) const;

 private:
  std::optional<Refusal> FindRoute(const HttpRequest& http, GatewayRequest& request);
  std::optional<Refusal> Identify(const HttpRequest& http, GatewayRequest& request) const;
  /// @return `refusal`, or another one where a configuration that this daemon does not know yet
  /// may allow the request.
  Refusal UnlessMayBeOld(Refusal refusal) const;

  const FleetProtocol& protocol_;
  const FleetView& view_;
  WeightedRoundRobin splits_;
};

}  // namespace moorfold
