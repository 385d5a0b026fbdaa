#pragma once

#include <map>
#include <string>

#include "gateway/fleet_view.h"
#include "gateway/gateway_request.h"
#include "gateway/wait_policy.h"

namespace moorfold {

/// What the hold policy has to know of a request, from what this daemon has seen of its service and
/// its model. One thread.
class WaitEstimator {
 public:
  explicit WaitEstimator(const FleetView& view) : view_(view) {}

  WaitingRequest Describe(const GatewayRequest& request, NoServerReason reason) const;
  /// @return until when the request is held without a server.
  SteadyTime End(const GatewayRequest& request, NoServerReason reason) const;
  /// Takes the time from a send to the head of its answer into what is usual for the service.
  void NoteAnswerTime(const GatewayRequest& request, SteadyTime sent_at);

 private:
  const FleetView& view_;
  std::map<std::string, double> answer_ms_;  ///< Usual time to an answer's head, by service.
};

}  // namespace moorfold
