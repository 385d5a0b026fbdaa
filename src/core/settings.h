#pragma once

#include <cstdint>
#include <string>

#include "core/types.h"

namespace moorfold {

enum class PolicyKind : std::uint8_t {
  kOnDemand,
  kAlwaysLoaded,
  kFixedKeepAlive,
  kHistogramKeepAlive,
  kCostAware
};

/// The timing of one daemon's decisions. All durations are positive.
struct CoreSettings {
  Duration probe_interval = std::chrono::seconds(1);
  Duration probe_timeout = std::chrono::milliseconds(400);
  Duration suspicion_timeout = std::chrono::seconds(3);
  std::uint32_t indirect_probes = 2;
  Duration poll_interval = std::chrono::seconds(2);
  Duration load_share_interval = std::chrono::seconds(2);
  Duration leader_patience = std::chrono::seconds(3);
  Duration ledger_read_interval = std::chrono::seconds(5);
  Duration configuration_read_interval = std::chrono::seconds(10);
  Duration zone_digest_interval = std::chrono::seconds(3);
  Duration demand_expiry = std::chrono::seconds(6);
  Duration order_retry = std::chrono::seconds(3);
  std::uint32_t watchers_per_zone = 2;
  std::uint32_t claim_owners_per_zone = 2;
  /// How often idle replicas and expected demand are looked at.
  Duration plan_interval = std::chrono::seconds(1);
  PolicyKind policy = PolicyKind::kCostAware;
  Duration keep_alive = std::chrono::minutes(10);  ///< For kFixedKeepAlive.
  /// Load time assumed for a model that was never loaded.
  Duration assumed_load_time = std::chrono::seconds(30);
};

/// Who this daemon is. The incarnation is its boot time in microseconds, so it rises by itself.
struct Identity {
  DaemonName name;
  ZoneName zone;
  Incarnation incarnation = 0;
};

}  // namespace moorfold
