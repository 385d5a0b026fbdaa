#pragma once

#include <optional>
#include <string>

#include "core/settings.h"
#include "http/http_types.h"

namespace moorfold {

/// What one daemon is told at its start: by its settings file, and by flags, which win.
struct DaemonSettings {
  DaemonName name;
  ZoneName zone;
  Endpoint listen{"127.0.0.1", 0};       ///< Callers' and operators' API. Port 0: any.
  Endpoint peer_listen{"127.0.0.1", 0};  ///< UDP and TCP from other daemons.
  Endpoint key_value;
  Endpoint machine_list;
  std::string peer_key;  ///< Shared by all daemons of a deployment; authenticates messages.
  std::uint32_t threads = 2;
  Duration machine_list_interval = std::chrono::seconds(1);
  std::uint32_t max_queued_per_model = 1'000;
  std::uint64_t max_queued_bytes = 64ULL * 1024 * 1024;
  std::uint32_t max_requests_per_caller = 1'000;  ///< In flight at once, per caller address.
  Duration drain_timeout = std::chrono::minutes(5);
  CoreSettings core;
};

/// @throws ConfigError with all mistakes.
DaemonSettings ParseSettings(const std::string& text, const std::string& file);
DaemonSettings ReadSettingsFile(const std::string& file);

}  // namespace moorfold
