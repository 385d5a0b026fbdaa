#pragma once

#include <functional>
#include <string>

#include "common/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/server_directory.h"
#include "http/http_types.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// One answer of a server, as far as it tells of the server itself.
struct ServerResponse {
  unsigned status = 0;
  const HttpHeaders& headers;
  SteadyTime sent_at{};   ///< When its request was sent.
  bool from_run = false;  ///< The server ran the request.
};

/// Hears what servers say of themselves in answers to requests, orders and questions, and notes it
/// with the server. One thread.
class ServerStatements {
 public:
  using Handler = std::function<void(const Server& server)>;

  ServerStatements(const FleetProtocol& protocol, GatewayMetrics& metrics, EventLog& log)
      : protocol_(protocol), metrics_(metrics), log_(log) {}

  /// Hears of servers that name no limit any more.
  void OnLimitEnded(Handler handler) { limit_ended_handler_ = std::move(handler); }

  void Record(Server& server, const ServerResponse& answer);

 private:
  const FleetProtocol& protocol_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  Handler limit_ended_handler_;
};

}  // namespace moorfold
