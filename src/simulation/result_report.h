#pragma once

#include <ostream>
#include <string>

#include "simulation/simulation.h"

namespace moorfold {

/// @return the value at `share` of a sorted series; 0 for an empty one.
double Percentile(const std::vector<double>& sorted, double share);

/// The result as one JSON object; its keys are stable, see docs/OPERATIONS.md.
std::string ToJsonText(const Scenario& scenario, const SimulationOptions& options,
                       const SimulationResult& result);
void PrintReport(std::ostream& stream, const Scenario& scenario, const SimulationOptions& options,
                 const SimulationResult& result);

}  // namespace moorfold
