#pragma once

#include <set>
#include <string>

#include "common/event_log.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_request.h"
#include "gateway/request_outcome.h"

namespace moorfold {

/// How one request ended.
struct RequestEnd {
  RequestOutcome outcome = RequestOutcome::kAnswered;
  EndReason reason = EndReason::kNone;
  unsigned status = 0;    ///< Sent to the client; 0: no response.
  std::string problem;    ///< Description of the last attempt's failure.
  std::string server_id;  ///< The last server it was sent to; empty: none.
  AttemptTrace trace;     ///< Of the last attempt.
};

/// Counts and logs request outcomes. Not thread-safe.
class RequestReporter {
 public:
  RequestReporter(const FleetView& view, GatewayMetrics& metrics, EventLog& log)
      : view_(view), metrics_(metrics), log_(log) {}

  void ReportEnd(const GatewayRequest& request, const RequestEnd& end);
  /// As ReportEnd, for a refusal that promises that the request did not run: its line is not left
  /// out and survives the end of the process.
  /// @return whether the log has it; if not, nothing is counted and the promise must not be given.
  bool TryReportRefusal(const GatewayRequest& request, const RequestEnd& end);
  void ReportFailedAttempt(const GatewayRequest& request, const Server& server,
                           const AttemptResult& result);
  /// Logs that the request is sent again.
  /// @param budget_left retries that this daemon may still send to the service.
  void ReportRetry(const GatewayRequest& request, const Server& server, double budget_left);
  /// Logs, once each, the IDs of requests that have been open for a while, so that the log names
  /// them if this process is killed.
  void LogOpenRequests(const std::set<GatewayRequest*>& active, SteadyTime now);

 private:
  void Count(const GatewayRequest& request, const RequestEnd& end);
  EventLine MakeEndLine(const GatewayRequest& request, const RequestEnd& end) const;

  const FleetView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
};

/// @param server_id server of the last attempt.
RequestEnd MakeRequestEnd(const GatewayRequest& request, const AttemptResult& result,
                          std::string server_id);

}  // namespace moorfold
