#pragma once

#include <map>
#include <string>

#include "gateway/fleet_view.h"
#include "gateway/gateway_request.h"
#include "gateway/wait_policy.h"

namespace moorfold {

/// Supplies the inputs of the wait policy from what this daemon has observed of a request's service
/// and model. Not thread-safe.
class WaitEstimator {
 public:
  explicit WaitEstimator(const FleetView& view) : view_(view) {}

  WaitingRequest MakeWaitingRequest(const GatewayRequest& request, NoServerReason reason) const;
  /// @return until when the request may wait for a server.
  SteadyTime WaitUntil(const GatewayRequest& request, NoServerReason reason) const;
  /// Adds the time from a send to the response head to the service's moving average.
  void RecordResponseTime(const GatewayRequest& request, SteadyTime sent_at);

 private:
  const FleetView& view_;
  std::map<std::string, double> response_ms_;  ///< Average time to the response head, by service.
};

}  // namespace moorfold
