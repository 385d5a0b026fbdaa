#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/scenario_file.h"
#include "load/load_client.h"

namespace moorfold {

/// The daemons of a deployment, by zone.
using DaemonsByZone = std::map<ZoneName, std::vector<Endpoint>>;

/// Asks each daemon for its zone. @throws HttpError when one does not answer.
DaemonsByZone FindZones(const std::vector<Endpoint>& daemons);

struct LoadPlanOptions {
  std::uint64_t seed = 1;
  double start_hour = 9;              ///< Which part of the scenario's day.
  double speedup = 1;                 ///< Scenario seconds per real second.
  std::chrono::seconds duration{60};  ///< Real time.
  std::uint32_t max_tokens = 64;
};

/// The requests of a scenario's day, brought to real time and real daemons.
std::vector<LoadRequest> PlanFromScenario(const Scenario& scenario, const DaemonsByZone& daemons,
                                          const LoadPlanOptions& options);

/// For each of some models: a volley to several daemons while it is cold. Sending the plan a
/// second time measures it warm.
std::vector<LoadRequest> PlanVolleys(const Intent& intent, const DaemonsByZone& daemons,
                                     std::size_t models);

}  // namespace moorfold
