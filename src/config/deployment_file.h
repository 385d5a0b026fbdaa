#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace moorfold {

/// How one kind of machine is spread: machines per zone.
using MachinesPerZone = std::map<ZoneName, std::uint32_t>;

struct EngineTraits {
  MebiBytes memory = 0;  ///< Accelerator memory of one server.
  std::uint32_t accelerators = 2;
  Duration first_token{0};  ///< Prefill of a prompt that is not cached.
  Duration between_tokens{0};
  std::uint32_t batch = 8;       ///< Requests run at once per replica at full speed.
  double memory_tier_speed = 0;  ///< GiB/s from the host's memory.
  double disk_tier_speed = 0;    ///< GiB/s from the local disk.
  double disk_cached_share = 0;  ///< Of the checkpoints, on each server's disk at the start.
  Duration report_lag{0};
};

struct WeightStoreTraits {
  double loads_per_second = 3;         ///< Starts admitted.
  std::uint32_t full_speed_loads = 6;  ///< At once, before they share the bandwidth.
  double speed = 1;                    ///< GiB/s of one load at full speed.
};

struct KeyValueTraits {
  double requests_per_second = 100;
  Duration latency{0};
};

struct ServiceTraits {
  std::string name;
  MachinesPerZone servers;
  Duration latency{0};
};

/// The platform under one deployment, as the stand-ins and the simulator play it.
struct Deployment {
  std::string name;
  std::vector<ZoneName> zones;
  std::uint32_t daemons_per_zone = 2;
  MachinesPerZone engines;
  EngineTraits engine;
  WeightStoreTraits weight_store;
  KeyValueTraits key_value;
  Duration machine_list_lag{0};
  Duration zone_distance{0};  ///< One way.
  std::vector<ServiceTraits> services;
};

/// @throws ConfigError with all mistakes.
Deployment ParseDeployment(const std::string& text, const std::string& file);
Deployment ReadDeploymentFile(const std::string& file);

/// @return the engine and service machines of a deployment, without addresses.
std::vector<Machine> ListMachines(const Deployment& deployment);

}  // namespace moorfold
