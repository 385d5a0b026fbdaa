#pragma once

#include <functional>
#include <string>

#include "common/event_log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/server_directory.h"
#include "http/http_types.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// The parts of a server's response that state something about the server itself.
struct ServerResponse {
  unsigned status = 0;
  const HttpHeaders& headers;
  SteadyTime sent_at{};   ///< When the request was sent.
  bool from_run = false;  ///< Whether the server executed the request.
};

/// Records what servers state about themselves in responses to requests, orders and queries, in
/// their Server objects. Not thread-safe.
class ServerStatements {
 public:
  using Handler = std::function<void(const Server& server)>;

  ServerStatements(const FleetProtocol& protocol, GatewayMetrics& metrics, EventLog& log)
      : protocol_(protocol), metrics_(metrics), log_(log) {}

  /// Sets the handler that is called when a server no longer states a rate limit.
  void OnLimitEnded(Handler handler) { limit_ended_handler_ = std::move(handler); }

  void Record(Server& server, const ServerResponse& answer);

 private:
  const FleetProtocol& protocol_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  Handler limit_ended_handler_;
};

}  // namespace moorfold
