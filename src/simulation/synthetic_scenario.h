#pragma once

#include <cstdint>

#include "config/scenario_file.h"

namespace moorfold {

/// The size of a deployment, for measuring how costs grow.
struct DeploymentSize {
  std::uint32_t daemons = 410;
  std::uint32_t zones = 14;
  std::uint32_t servers = 2'400;
  std::uint32_t models = 270;
  std::uint32_t adapters = 1'200;
  double changes_per_day = 5'300;
  double woken_share_per_hour = 0.22;  ///< Of the models, in each hour.
};

/// A scenario of that size: equal zones, each model allowed one replica in every zone.
Scenario MakeSyntheticScenario(const DeploymentSize& size);

}  // namespace moorfold
