#pragma once

#include "gateway/fleet_view.h"
#include "gateway/gateway_request.h"
#include "gateway/server_choice.h"
#include "quarantine/quarantine_service.h"

namespace moorfold {

/// Keeps requests under which servers end away from servers, and tells the case book what attempts
/// show. One thread.
class QuarantineFilter {
 public:
  QuarantineFilter(const FleetView& view, QuarantineService& quarantine)
      : view_(view), quarantine_(quarantine) {}

  /// @return whether servers of every version that runs would end under the request.
  bool Quarantined(const GatewayRequest& request) const;
  /// Leaves out servers to which a suspected request is not to be sent now. @return whether any are
  /// left to be looked at.
  bool Limit(const GatewayRequest& request, ChoiceRequest& wanted) const;
  /// Tells the case book what an attempt has shown of its server and its request.
  void NoteEvidence(const GatewayRequest& request, const Server& server,
                    const AttemptResult& result, SteadyTime sent_at);

 private:
  const FleetView& view_;
  QuarantineService& quarantine_;
};

}  // namespace moorfold
