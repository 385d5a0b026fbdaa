#pragma once

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "config/scenario_file.h"
#include "simulation/simulated_request.h"

namespace moorfold {

/// Makes the requests of a scenario: for each model bursts at the rate of the hour, each with a
/// first volley at several routers and later requests spaced at random. The same seed gives the
/// same requests. Used by the simulator and by the load generator.
class DemandGenerator {
 public:
  DemandGenerator(const Scenario& scenario, Timestamp start, std::uint64_t seed);

  /// @return the requests that arrive in [from, from + length), in order of arrival.
  std::vector<SimulatedRequest> Generate(Timestamp from, Duration length);

 private:
  struct Stream {
    const ModelDemandTraits* traits = nullptr;
    const ModelIntent* model = nullptr;
  };
  double RateAt(const HourWeights& hours, double weekend, Timestamp when) const;
  void AddModelRequests(const Stream& stream, Timestamp from, Duration length,
                        std::vector<SimulatedRequest>& requests);
  void AddBurst(const Stream& stream, Timestamp when, std::vector<SimulatedRequest>& requests);
  void AddServiceRequests(const ServiceDemandTraits& traits, Timestamp from, Duration length,
                          std::vector<SimulatedRequest>& requests);
  void AddNightBursts(Timestamp from, Duration length, std::vector<SimulatedRequest>& requests);
  double Uniform();
  std::uint64_t Poisson(double mean);

  const Scenario& scenario_;
  Timestamp start_;
  std::mt19937_64 random_;
  std::vector<Stream> streams_;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_key_ = 1;
};

}  // namespace moorfold
