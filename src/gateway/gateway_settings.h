#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "http/http_types.h"

namespace moorfold {

/// Where a gateway tells its figures.
struct MetricsEndpoint {
  std::uint16_t port = 0;
  std::string path;  ///< Begins with a slash.
};

/// What one gateway is told at its start, by its settings file.
struct GatewaySettings {
  std::string name;
  std::string zone;
  Endpoint listen;     ///< Clients' requests.
  Endpoint readiness;  ///< Whoever deals connections asks here whether this daemon is ready.
  Endpoint peer;       ///< Datagrams of other daemons.
  Endpoint store;      ///< The platform's metadata store.
  std::optional<MetricsEndpoint> metrics;
  std::chrono::milliseconds retry_window{10'000};
  double retry_ratio = 0.2;  ///< Most repeats for each request, over the whole fleet.
  double retry_minimum = 0;  ///< Repeats that the whole fleet may send in a window in any case.
  std::chrono::milliseconds order_handover{3'000};
  std::chrono::milliseconds load_window{5'000};
  std::chrono::milliseconds drain_timeout{8'000};
  /// A leaving server must be unused so soon after the store has it.
  std::chrono::milliseconds staleness_bound{2'000};
  /// A configuration must be in force so soon after the store has it.
  std::chrono::milliseconds configuration_bound{2'000};
  /// In a fleet of at least so many daemons the others follow the leader's reads of the store; 0:
  /// in none. A leader that is followed reads five times as often, so that few daemons together
  /// would save little. From that arithmetic; other sizes were not played.
  std::uint32_t relay_from_daemons = 16;
  /// In a fleet of at least so many daemons relays watch the store, and the others ask these in
  /// place of the leader; 0: in none. The leader alone answers a few hundred with a fifth to a
  /// quarter of a core (docs/CAPACITY.md).
  std::uint32_t relays_from_daemons = 400;
  /// Servers that may end under one request before it is sent to none; 0: it is never kept from
  /// them. The platform's pages bound it by three.
  std::uint32_t quarantine_servers = 3;
  /// How long such a request stays out after the last server that ended under it. Long enough that
  /// a caller that repeats it each minute does not end servers at that pace, short enough that a
  /// repaired server is used again the same hour without an operator.
  std::chrono::milliseconds quarantine_time{600'000};
  /// Lines of the log in a second; a tenth of it for ordinary served requests, twice as many when
  /// something fails. 0: no log.
  std::uint32_t log_lines_per_second = 200;
  /// Of limits of tenants: in no window more than the limit and so much beyond it, over the whole
  /// fleet. Source: the platform's bounds.
  std::chrono::milliseconds quota_window{8'000};
  double quota_overshoot = 0.1;  ///< Of what the limit allows in a window.
  double quota_slack = 0;        ///< Units: requests or tokens, as the limit counts.
  double cpu_share = 1;  ///< Of a core, that this machine gives; the strong lead before the weak.
};

/// @throws ConfigError with all mistakes.
GatewaySettings ParseGatewaySettings(const std::string& text, const std::string& file);
GatewaySettings ReadGatewaySettings(const std::string& file);

}  // namespace moorfold
