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
  unsigned status = 0;    ///< What the client got; 0: no answer.
  std::string problem;    ///< What the last attempt met with, in words.
  std::string server_id;  ///< The last server that had it; empty: none had.
};

/// Counts and logs what happens to requests; decides nothing. One thread.
class RequestReporter {
 public:
  RequestReporter(const FleetView& view, GatewayMetrics& metrics, EventLog& log)
      : view_(view), metrics_(metrics), log_(log) {}

  void NoteEnd(const GatewayRequest& request, const RequestEnd& end);
  void NoteFailedAttempt(const GatewayRequest& request, const Server& server,
                         const AttemptResult& result);
  /// Lists, once each, the requests that have been under way for a while: should this process end
  /// without a word, its log still names them.
  void LogOpenRequests(const std::set<GatewayRequest*>& active, SteadyTime now);

 private:
  void Count(const GatewayRequest& request, const RequestEnd& end);

  const FleetView& view_;
  GatewayMetrics& metrics_;
  EventLog& log_;
};

/// @param server_id of the last attempt.
RequestEnd DescribeEnd(const GatewayRequest& request, const AttemptResult& result,
                       std::string server_id);

}  // namespace moorfold
