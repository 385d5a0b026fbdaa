#pragma once

#include <optional>
#include <string>
#include <vector>

#include "balancing/separation_policy.h"
#include "gateway/server_directory.h"

namespace moorfold {

/// Properties of a request that the choice of a server depends on.
struct ServerChoiceRequest {
  std::string service;
  ModelReference model;  ///< Empty: the service holds no models.
  std::vector<PromptPart> parts;
  std::string zone;                   ///< Zone of this daemon.
  std::vector<std::string> excluded;  ///< IDs of servers not to be used.
  /// Software versions whose servers crash while processing this request.
  std::vector<std::string> excluded_versions = {};
  /// If set, only servers of this software version can take the request.
  std::optional<std::string> required_version = {};
  std::string daemon_name = {};  ///< Of the daemon that chooses.
  balancing::RequestWork work = balancing::RequestWork::kNeutral;
};

/// Why no server can take a request.
enum class NoServerReason : std::uint8_t {
  kNone,
  kUnknownService,
  kModelNotHeld,
  kAllUnusable,
  kAtLimit,          ///< Every server is at its stated limit or in a pause that it asked for.
  kQuarantined,      ///< Every server that holds the model would crash while processing it.
  kVersionNotServed  ///< The service has no server of the required software version.
};

struct ServerChoice {
  ServerPtr server;
  NoServerReason reason = NoServerReason::kNone;
  double cost_ms = 0;
  /// The server is in the pool of the other kind of work. False for neutral requests.
  bool other_pool = false;
  bool has_alternative = false;  ///< Another usable server without a limit exists.
  SteadyTime capacity_at{};  ///< If all servers are at their limits: when the first has capacity.
};

/// Chooses the server with the lowest expected time to first byte. The estimate covers the server's
/// queue, the part of the prompt that is not in its cache, the network distance and a penalty for
/// failures. Of a request that is not neutral, the servers of the other pool cost more. Pure
/// function.
ServerChoice ChooseServer(const ServerDirectory& directory, const ServerChoiceRequest& request,
                          SteadyTime now);

/// @return the IDs of servers that could take the request if this daemon could connect to them.
/// Pure function.
std::vector<std::string> UnreachableCandidates(const ServerDirectory& directory,
                                               const ServerChoiceRequest& request, SteadyTime now);

}  // namespace moorfold
