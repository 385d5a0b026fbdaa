#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/routing_configuration.h"
#include "gateway/prompt.h"
#include "gateway/refusal.h"
#include "gateway/route_table.h"
#include "gateway/server_choice.h"
#include "gateway/server_directory.h"
#include "http/http_types.h"
#include "http/upstream_connection.h"
#include "quarantine/fingerprint.h"
#include "tenants/credit_balance.h"

namespace moorfold {

/// A server that refused a request though it had places.
struct ServerRefusal {
  std::string server_id;
  SteadyTime until;  ///< Not asked again before.
};

/// One client attempt on its way through the gateway. One thread.
struct GatewayRequest {
  std::string id;
  RouteTableConstPtr table;  ///< Keeps `route` alive: the configuration at the request's arrival.
  const Route* route = nullptr;
  const Tenant* tenant = nullptr;       ///< Whose key it shows, in `table`; null: it needs none.
  KeyDigest key;                        ///< Where it has a tenant.
  double units = 0;                     ///< That it counts against its tenant's limit.
  std::optional<quota::Credit> credit;  ///< Taken for it, and not used yet.
  bool keys_in_use = false;             ///< Callers show keys: they are not for servers to see.
  std::uint32_t priority = 0;           ///< 0 is the most urgent.
  std::string service;
  ModelReference model;  ///< Empty where the service holds no models.
  std::vector<PromptPart> parts;
  std::shared_ptr<const std::string> body;
  Fingerprint fingerprint;  ///< The same for each try of the same request.
  SteadyTime arrival;
  /// How old this daemon's knowledge of the configuration was when the request was routed.
  std::chrono::milliseconds configuration_age{0};
  SteadyTime end;  ///< The earlier of the client's deadline and the route's time-out.
  bool client_left = false;
  bool counted = false;                 ///< In the demand for its model.
  bool head_sent = false;               ///< The client has the head of an answer.
  bool listed_open = false;             ///< The log has told that it is under way.
  double expected_ms = 0;               ///< For which its server was chosen: time to a first byte.
  SteadyTime head_at{};                 ///< When the client got the head of its answer.
  std::chrono::milliseconds waited{0};  ///< Without a server that could be asked.
  std::chrono::milliseconds longest_gap{0};  ///< Between two deliveries of a stream's events.
  std::string last_event;                    ///< Last whole event that the client has.
  std::uint32_t sends = 0;                   ///< Servers that it was sent to.
  NoServerReason no_server = NoServerReason::kNone;  ///< Why it found none, last.
  SteadyTime free_at{};      ///< When the first server takes more, where all are at their limits.
  bool alternative = false;  ///< Another server than the chosen one could take it.
  std::uint32_t may_have_run = 0;  ///< Servers on which it may have run.
  UpstreamConnectionPtr upstream;  ///< Of the attempt under way.
  std::vector<std::string> failed_servers;
  std::vector<ServerRefusal> refusals;
  std::optional<Refusal> refusal;  ///< Why it must not be sent any more.

  /// @return whether its answer missed what its route aims at: the first part late, or a pause in
  /// the stream too long.
  bool Late() const {
    const bool first_late = route->target.count() > 0 && head_at - arrival > route->target;
    const bool gap_late = route->gap_target.count() > 0 && longest_gap > route->gap_target;
    return first_late || gap_late;
  }
  /// @return whether it was late by what its server did, not by waiting for one.
  bool LateAtServer() const {
    const bool first_late = route->target.count() > 0 && head_at - arrival - waited > route->target;
    const bool gap_late = route->gap_target.count() > 0 && longest_gap > route->gap_target;
    return first_late || gap_late;
  }
  /// Whether it may run again after an attempt that may have run.
  bool Repeatable() const {
    return route->type == RouteType::kRepeatable ||
           (route->type == RouteType::kStream && route->resumable);
  }
};

/// How one attempt at a server ended.
enum class ForwardEnd : std::uint8_t {
  kAnswered,    ///< The client has a whole answer.
  kNotRun,      ///< The server said so, or no connection came up.
  kMayHaveRun,  ///< No usable answer came; nothing of one went to the client.
  kBrokenOff,   ///< Part of an answer is with the client.
  kClientLeft   ///< The client went away meanwhile.
};

/// Why an attempt did not answer. For logs.
struct ForwardResult {
  ForwardEnd end = ForwardEnd::kNotRun;
  unsigned status = 0;  ///< Of the server's answer; 0: none.
  std::string problem;
  /// By the server's side, before the answer was whole; or nobody listens there.
  bool link_ended = false;
  /// The server had places, and refused it all the same.
  bool refused_alone = false;
};

}  // namespace moorfold
