#pragma once

#include <map>
#include <string>
#include <vector>

#include "gateway/fleet_view.h"
#include "gateway/gateway_request.h"
#include "gateway/server_choice.h"
#include "quarantine/quarantine_service.h"

namespace moorfold {

/// Keeps requests that crash servers ("queries of death") away from servers, and reports the
/// evidence of attempts to the quarantine's CrashTracker. Not thread-safe.
class QuarantineFilter {
 public:
  QuarantineFilter(const FleetView& view, QuarantineService& quarantine)
      : view_(view), quarantine_(quarantine) {}

  /// @return whether there is evidence against the request or a part of its prompt.
  bool HasCase(const GatewayRequest& request) const;
  /// @return whether the request, or a part of its prompt, is quarantined for the software version
  /// of every known server of its service.
  bool IsQuarantined(const GatewayRequest& request) const;
  /// Excludes servers to which a suspected request must not be sent now.
  /// @return whether a server may be chosen at all; false while another attempt of the request is
  /// in flight.
  bool ExcludeServers(const GatewayRequest& request, ServerChoiceRequest& choice_request) const;
  /// @return whether the request may still be sent to the server that was chosen before a wait.
  bool MaySend(const GatewayRequest& request, const Server& server) const;
  /// @return the quarantined parts of the request's prompt for which it would be a trial on that
  /// server.
  std::vector<Fingerprint> QuarantinedParts(const GatewayRequest& request,
                                            const std::string& version) const;
  /// Reports to the CrashTracker what an attempt shows about its server and its request.
  void RecordAttempt(const GatewayRequest& request, const Server& server,
                     const AttemptResult& result, SteadyTime sent_at);

 private:
  /// @return the state that follows from the request as a whole and from the parts of its prompt.
  quarantine::QuarantineState StateFor(const GatewayRequest& request,
                                       const std::string& version) const;
  /// @return the states for all software versions of the request's service.
  std::map<std::string, quarantine::QuarantineState> StatesByVersion(
      const GatewayRequest& request) const;

  const FleetView& view_;
  QuarantineService& quarantine_;
};

}  // namespace moorfold
