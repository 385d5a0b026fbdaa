#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "http/http_types.h"
#include "streams/stream_lifetimes.h"

namespace moorfold {

/// Where a gateway exposes its metrics.
struct MetricsEndpoint {
  std::uint16_t port = 0;
  std::string path;  ///< Begins with a slash.
};

/// The settings file of one gateway.
struct GatewaySettings {
  std::string name;
  std::string zone;
  Endpoint listen;     ///< For client requests.
  Endpoint readiness;  ///< For readiness probes of the load balancer.
  Endpoint peer;       ///< For datagrams and forwarded requests of other daemons.
  Endpoint store;      ///< The platform's metadata store.
  std::optional<MetricsEndpoint> metrics;
  std::chrono::milliseconds retry_window{10'000};
  double retry_ratio = 0.2;  ///< Maximum retries per request, over the whole fleet.
  double retry_minimum = 0;  ///< Retries that the whole fleet may always send per window.
  std::chrono::milliseconds order_handover{3'000};
  std::chrono::milliseconds load_window{5'000};
  std::chrono::milliseconds drain_timeout{8'000};
  streams::StreamLifetimes stream_lifetimes = {};  ///< Not read from the settings file.
  /// Maximum time from the store's record that a server is leaving until no request is sent to it.
  std::chrono::milliseconds staleness_bound{2'000};
  /// Maximum time from a configuration's arrival in the store until it is active.
  std::chrono::milliseconds configuration_bound{2'000};
  /// Fleet size from which the other daemons follow the leader's reads of the store; 0: never. A
  /// leader with followers reads five times as often, so a small fleet would save little. The value
  /// is derived from this ratio; other sizes were not simulated.
  std::uint32_t relay_from_daemons = 16;
  /// Fleet size from which relays watch the store and the other daemons poll the relays instead of
  /// the leader; 0: never. A leader alone serves a few hundred daemons with a fifth to a quarter of
  /// a core (docs/CAPACITY.md).
  std::uint32_t relays_from_daemons = 400;
  /// Number of servers that may crash while processing one request before the request is
  /// quarantined; 0 disables the quarantine. The platform's documentation limits it to three.
  std::uint32_t quarantine_servers = 3;
  /// How long a request stays quarantined after the last crash that it caused. Long enough that a
  /// client that retries every minute does not crash servers at that rate, short enough that a
  /// repaired server gets the request again within the hour without an operator.
  std::chrono::milliseconds quarantine_time{600'000};
  /// Maximum log lines per second: a tenth of it for normally served requests, and twice as many
  /// when something fails. 0: no log.
  std::uint32_t log_lines_per_second = 200;
  /// Window in which a tenant's limit may be exceeded, over the whole fleet, by at most
  /// quota_overshoot and quota_slack. Source: the platform's bounds.
  std::chrono::milliseconds quota_window{8'000};
  double quota_overshoot = 0.1;  ///< Share of what the limit allows in a window.
  double quota_slack = 0;        ///< In requests or tokens, whichever the limit counts.
  /// Whether long prompts and paced streams prefer different servers, for services whose routes
  /// call for it (balancing/separation_policy.h).
  bool prompt_separation = true;
  /// Whether the leader announces when models that need the weight store can be ready, so that
  /// requests that cannot wait that long are rejected at once.
  bool load_outlook = true;
  double cpu_share = 1;  ///< CPU cores available; larger daemons stand for election earlier.
  /// Bandwidth of the machine's link in each direction, in megabits per second; 0: unknown.
  double link_mbps = 0;
  std::uint32_t memory_mb = 0;  ///< Memory that this process may use; 0: unknown.
  /// Memory that the connections of this process may hold for requests, in megabytes; 0: half of
  /// memory_mb.
  std::uint32_t request_memory_mb = 0;
  /// Time without a byte after which a connection that owes a part of a request is closed first
  /// when memory or connections are short.
  std::chrono::milliseconds stalled_after{1'000};
  /// Bytes that the kernel is asked to hold in each direction of a connection, in kilobytes; 0: as
  /// it likes.
  std::uint32_t socket_buffer_kb = 32;
  /// File descriptors that this process may have open; 0: unknown.
  std::uint32_t max_descriptors = 0;
};

/// @throws ConfigError listing all errors in the file.
GatewaySettings ParseGatewaySettings(const std::string& text, const std::string& file);
GatewaySettings ReadGatewaySettings(const std::string& file);

}  // namespace moorfold
