#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "detour/detour_headers.h"
#include "detour/detour_peers.h"
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

/// A server that refused a request although it had free capacity.
struct ServerRefusal {
  std::string server_id;
  SteadyTime until;  ///< The request is not sent to this server before this time.
};

/// Whose request ID the last response to an attempt carried.
enum class ResponseIdentity : std::uint8_t { kNoResponse, kOwn, kOther, kAbsent };

/// Over which connection an attempt went and what came back, for logs.
struct AttemptTrace {
  std::uint64_t connection = 0;  ///< Number of the connection; 0: none came up.
  std::uint32_t carried = 0;     ///< Requests that the connection had carried before.
  ResponseIdentity response = ResponseIdentity::kNoResponse;
};

/// An attempt that has ended, for logs.
struct RecordedAttempt {
  std::string server_id;  ///< Or the address of the daemon through which the request was sent.
  unsigned status = 0;    ///< Of the response; 0: none.
  AttemptTrace trace;
};

/// State of one client request while the gateway processes it. Not thread-safe.
struct GatewayRequest {
  std::string id;
  RouteTableConstPtr table;  ///< Configuration at the request's arrival; keeps `route` alive.
  const Route* route = nullptr;
  const Tenant* tenant = nullptr;       ///< Owner of the API key, in `table`; null: no key needed.
  KeyDigest key;                        ///< Set if `tenant` is.
  double units = 0;                     ///< Counted against the tenant's limit.
  std::optional<quota::Credit> credit;  ///< Acquired for this request and not used yet.
  bool strip_credentials = false;       ///< Do not forward the API key to servers.
  std::uint32_t priority = 0;           ///< 0 is the most urgent.
  std::string service;
  ModelReference named_model;  ///< As the client names it.
  ModelReference model;        ///< Empty if the service holds no models.
  std::vector<PromptPart> parts;
  std::shared_ptr<const std::string> body;
  Fingerprint fingerprint;  ///< The same for each attempt at the same request.
  /// Of the parts of its prompt that other requests may share.
  std::vector<Fingerprint> part_fingerprints;
  SteadyTime arrival;
  /// Age of this daemon's knowledge of the configuration when the request was routed.
  std::chrono::milliseconds configuration_age{0};
  SteadyTime expires_at;  ///< The earlier of the client's deadline and the route's timeout.
  bool client_left = false;
  bool counted_as_demand = false;            ///< Already counted as an arrival for its model.
  bool head_sent = false;                    ///< The client has received the response head.
  bool logged_open = false;                  ///< Already listed in the log as in progress.
  double expected_ms = 0;                    ///< Time to first byte expected of the chosen server.
  SteadyTime head_at{};                      ///< When the response head was sent to the client.
  std::chrono::milliseconds waited{0};       ///< Time spent without a usable server.
  std::chrono::milliseconds longest_gap{0};  ///< Between two writes of stream events.
  std::string last_event_id;                 ///< Last complete event that the client received.
  /// Of a client that resumes a stream: the last event that it has, and the ID of the attempt that
  /// brought the first one; empty if the client states none.
  std::string client_last_event;
  std::string resumes;
  /// Software version of the server whose events the client has; empty: not known yet, or none.
  std::optional<std::string> stream_version;
  std::string attempt_version;  ///< Software version of the server of the current attempt.
  std::uint32_t sends = 0;      ///< Number of servers that it was sent to.
  NoServerReason no_server_reason = NoServerReason::kNone;  ///< Of the latest failed choice.
  SteadyTime capacity_at{};  ///< If all servers are at their limits: when the first has capacity.
  /// What it does to other requests at its server; set by each choice of a server.
  balancing::RequestWork work = balancing::RequestWork::kNeutral;
  bool other_pool = false;         ///< The chosen server is of the pool of the other work.
  bool has_alternative = false;    ///< A server other than the chosen one could take it.
  std::uint32_t may_have_run = 0;  ///< Number of servers on which it may have run.
  UpstreamConnectionPtr upstream;  ///< Connection of the current attempt.
  /// Of the current attempt.
  ResponseIdentity last_response = ResponseIdentity::kNoResponse;
  std::vector<RecordedAttempt> attempts;  ///< Oldest first.
  std::vector<std::string> failed_servers;
  std::vector<ServerRefusal> refusals;
  /// Set if another daemon, which cannot reach the servers, took it from the client.
  std::optional<detour::Origin> detour_origin;
  std::string origin_address;  ///< IP number of that daemon.
  /// Set if the current attempt goes through another daemon.
  std::optional<detour::Target> detour_target;
  bool sent_through_daemon =
      false;  ///< An earlier or the current attempt went through another one.
  bool first_attempt_counted = false;  ///< In the retry budget, here or at another daemon.
  /// If the current attempt is a retry: when it must have been sent.
  std::optional<SteadyTime> retry_valid_until;
  bool arrived = false;            ///< A server, or a daemon that took it, has received it.
  std::optional<Refusal> refusal;  ///< Why it must not be sent again.

  /// @return whether the client has events of its stream, from this attempt or an earlier one.
  bool StreamHasBegun() const {
    return !last_event_id.empty() || !client_last_event.empty() || !resumes.empty();
  }
  /// @return whether its first event is the first one of a stream that can be resumed.
  bool BeginsResumableStream() const {
    return route->type == RouteType::kStream && route->resumable && !StreamHasBegun();
  }
  /// @return whether another daemon may have passed on, or recorded, a first event of it.
  bool MayHaveBegunElsewhere() const {
    return sent_through_daemon || (detour_origin && (detour_origin->arrived || may_have_run > 0));
  }
  /// @return number of servers on which it may have run because of this daemon.
  std::uint32_t MayHaveRunHere() const {
    return may_have_run - (detour_origin ? detour_origin->may_have_run : 0);
  }
  /// @return whether the response missed the route's target: the first byte was late, or a gap in
  /// the stream was too long.
  bool MissedTarget() const {
    const bool first_byte_late = route->target.count() > 0 && head_at - arrival > route->target;
    const bool gap_late = route->gap_target.count() > 0 && longest_gap > route->gap_target;
    return first_byte_late || gap_late;
  }
  /// @return whether it missed the target even without the time spent waiting for a server.
  bool MissedTargetAtServer() const {
    const bool first_byte_late =
        route->target.count() > 0 && head_at - arrival - waited > route->target;
    const bool gap_late = route->gap_target.count() > 0 && longest_gap > route->gap_target;
    return first_byte_late || gap_late;
  }
  /// @return whether it may run again after an attempt that may have run.
  bool Repeatable() const {
    return route->type == RouteType::kRepeatable ||
           (route->type == RouteType::kStream && route->resumable);
  }
};

/// How one attempt at a server ended.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,    ///< The client has the complete response.
  kNotRun,      ///< The server reported that it did not run it, or no connection was made.
  kMayHaveRun,  ///< No usable response; the client received nothing of one.
  kBrokenOff,   ///< The client received part of a response.
  kClientLeft   ///< The client disconnected during the attempt.
};

/// Result of one attempt, with details for logs.
struct AttemptResult {
  AttemptOutcome attempt_outcome = AttemptOutcome::kNotRun;
  unsigned status = 0;  ///< Of the server's response; 0: none.
  std::string problem;
  /// The server closed the connection before the response was complete, or refused to connect.
  bool connection_lost = false;
  /// The server had free capacity and refused this request nevertheless.
  bool refused_with_capacity = false;
  /// Number of servers on which it may have run, if the outcome is that it may have run.
  std::uint32_t runs = 1;
  /// False: an attempt without a complete response that says nothing about the server.
  bool server_fault = true;
  AttemptTrace trace;
};

}  // namespace moorfold
