#pragma once

#include <string>
#include <vector>

#include "gateway/server_directory.h"

namespace moorfold {

/// What is known of a request when a server is chosen for it.
struct ChoiceRequest {
  std::string service;
  ModelReference model;  ///< Empty: the service has no models.
  std::vector<PromptPart> parts;
  std::string zone;                   ///< Of this daemon.
  std::vector<std::string> excluded;  ///< Servers that have failed this request.
  /// Of the servers' software: such servers end under this request.
  std::vector<std::string> excluded_versions = {};
  std::string chooser = {};  ///< Name of this daemon.
};

/// Why there is no server for a request.
enum class NoServerReason : std::uint8_t {
  kNone,
  kUnknownService,
  kModelNotHeld,
  kAllUnusable,
  kAtLimit,     ///< Each has said how much it takes, or for how long nothing, and that is used up.
  kQuarantined  ///< Whichever holds the model would end under it.
};

struct Choice {
  ServerPtr server;
  NoServerReason reason = NoServerReason::kNone;
  double cost_ms = 0;
  bool alternative = false;  ///< Another server could take it that names no limit.
  SteadyTime capacity_at{};  ///< Where all are at their limits: when the first takes more.
};

/// Picks the server with the least expected time to a first byte: its queue, the part of the prompt
/// that it has not read yet, the way there, and what its failures cost. Pure.
Choice ChooseServer(const ServerDirectory& directory, const ChoiceRequest& request, SteadyTime now);

}  // namespace moorfold
