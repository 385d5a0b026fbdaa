#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/scenario_file.h"
#include "simulation/checkers.h"
#include "simulation/demand_generator.h"
#include "simulation/operators.h"
#include "simulation/simulated_daemon.h"

namespace moorfold {

enum class FaultMode : std::uint8_t { kNone, kScenario, kChaos };

struct SimulationOptions {
  std::uint64_t seed = 1;
  FaultMode faults = FaultMode::kNone;
  PlantedBugs bugs;
  /// Lets what is in progress come to its end before the verdict.
  bool settle = true;
  /// Chaos with just these kinds; empty: all of the scenario's.
  std::vector<FaultKind> only_faults;
};

struct SimulationResult {
  double virtual_seconds = 0;
  double wall_seconds = 0;
  std::uint64_t events = 0;
  std::uint64_t offered = 0;
  std::uint64_t served = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t dropped = 0;
  std::vector<double> cold_start_seconds;   ///< Sorted.
  std::vector<double> first_token_seconds;  ///< Sorted.
  EngineUsage usage;
  std::uint64_t configuration_changes = 0;
  std::vector<double> in_force_seconds;  ///< Sorted.
  std::map<FaultKind, std::uint64_t> faults;
  std::map<Invariant, std::uint64_t> violation_counts;
  std::vector<Violation> violations;
  std::vector<double> recovery_seconds;  ///< Leader's death until another can order loads; sorted.
  std::uint64_t suspicions = 0;
  std::uint64_t key_value_reads = 0;
  std::uint64_t key_value_writes = 0;
};

/// One run: everything is a function of the scenario and the options.
class Simulation {
 public:
  Simulation(const Scenario& scenario, const SimulationOptions& options);
  ~Simulation();
  SimulationResult Run();

 private:
  class Injector;

  void BuildPlatform();
  void BuildDaemons();
  void AddEngine(const Machine& machine);
  void ScheduleDemand(Timestamp from);
  void Deliver(const SimulatedRequestPtr& request);
  SimulatedDaemon* PickDaemon(const SimulatedRequest& request);
  void OnClientConnectionBroken(const SimulatedRequestPtr& request);
  void OnClientTimeout(const SimulatedRequestPtr& request, SimulatedDaemon* daemon,
                       std::uint64_t life);
  void End(const SimulatedRequestPtr& request, RequestEnd end);
  void KillDaemon(SimulatedDaemon& daemon);
  void ObserveCommit(const Transaction& transaction);
  bool HasRecovered(const ZoneName& zone) const;
  void WatchRecovery(const ZoneName& zone, Timestamp died);
  void CheckRegularly();
  void StartMeasuring();
  SimulationResult Collect();

  Scenario scenario_;
  SimulationOptions options_;
  Timestamp start_;
  Timestamp measured_from_;
  Timestamp end_;
  World world_;
  Checkers checkers_;
  EngineUsage usage_;
  EngineUsage usage_before_;
  SimulatedKeyValueService key_value_;
  LaggingMachineList machines_;
  SimulatedWeightStore store_;
  SimulatedEngines engines_;
  std::map<std::string, std::unique_ptr<SimulatedService>> services_;
  SimulatedNetwork network_;
  std::vector<std::unique_ptr<SimulatedDaemon>> daemons_;
  std::map<ZoneName, std::vector<SimulatedDaemon*>> daemons_by_zone_;
  DemandGenerator demand_;
  std::unique_ptr<SimulatedOperators> operators_;
  std::unique_ptr<Injector> injector_;
  SimulationResult result_;
  Revision last_head_ = 0;
};

}  // namespace moorfold
