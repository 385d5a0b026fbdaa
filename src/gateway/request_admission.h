#pragma once

#include <optional>
#include <string>

#include "gateway/fleet_view.h"
#include "gateway/gateway_request.h"
#include "gateway/request_outcome.h"
#include "gateway/route_table.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// What a client is told that gets no server's answer.
struct Refusal {
  unsigned status = 503;
  EndReason reason = EndReason::kNone;
  std::string remedy;
  bool may_have_run = false;
  double retry_after_s = 0;  ///< 0: none is stated.
};

/// Reads what a request asks for: its route, its part of a split, its model and its time. One
/// thread.
class RequestAdmission {
 public:
  RequestAdmission(const FleetProtocol& protocol, const FleetView& view)
      : protocol_(protocol), view_(view) {}

  /// Fills `request` in. @return why it cannot be served, if so.
  std::optional<Refusal> Resolve(const HttpRequest& http, GatewayRequest& request);

 private:
  const FleetProtocol& protocol_;
  const FleetView& view_;
  SplitDealer splits_;
};

}  // namespace moorfold
