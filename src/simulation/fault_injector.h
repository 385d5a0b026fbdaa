#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "config/scenario_file.h"
#include "simulation/simulated_daemon.h"

namespace moorfold {

/// Brings about the faults of a scenario, at planned times or at random ones. Subclasses give it
/// access to what it breaks.
class FaultInjector {
 public:
  FaultInjector(World& world, std::uint64_t seed) : world_(world), random_(seed) {}
  virtual ~FaultInjector() = default;

  void Plan(const PlannedFault& fault, Timestamp start);
  /// Injects `kind` at random from `from` until `end`, `per_day` times a day on average.
  void StartChaos(FaultKind kind, double per_day, Timestamp from, Timestamp end);
  /// Calls `action` at random times, `mean` apart on average.
  void Repeat(Duration mean, Timestamp from, Timestamp end, std::function<void()> action);
  /// No more faults: those in force end.
  void Stop();
  /// Whether a fault is in force that keeps news from spreading in time.
  bool Disturbing() const { return disturbances_ > 0; }
  Timestamp last_resume() const { return last_resume_; }

 protected:
  virtual std::vector<SimulatedDaemon*> Daemons() = 0;
  virtual void KillDaemon(SimulatedDaemon& daemon) = 0;
  virtual SimulatedEngines& Engines() = 0;
  virtual std::map<std::string, std::unique_ptr<SimulatedService>>& Services() = 0;
  virtual void AddEngine(const Machine& machine) = 0;
  virtual LaggingMachineList& MachineListModel() = 0;
  virtual SimulatedWeightStore& Store() = 0;
  virtual SimulatedKeyValueService& KeyValue() = 0;
  virtual const std::vector<ZoneName>& Zones() = 0;
  virtual void RaceOperators() = 0;
  virtual void Note(const std::string& text) = 0;
  virtual void Count(FaultKind kind) = 0;

 private:
  void Inject(FaultKind kind, Duration lasts);
  void KillProcess(Duration lasts);
  void KillEngine(Duration lasts);
  void AbortLoad();
  void SlowWeightStore(Duration lasts);
  void ReclaimMachine(Duration lasts);
  void TakeKeyValueDown(Duration lasts);
  void SlowKeyValue(Duration lasts);
  void PauseCoordinator(Duration lasts);
  void CutZone(Duration lasts);
  void LoseMessages(Duration lasts);
  void StopDaemon(Duration lasts);
  void LagList(Duration lasts);
  /// Counts as a disturbance until `lasts` has passed, then calls `undo`.
  void DisturbFor(Duration lasts, std::function<void()> undo);
  SimulatedEngine* PickEngine();
  std::size_t Pick(std::size_t count) { return static_cast<std::size_t>(random_() % count); }
  Duration Between(Duration low, Duration high);

  World& world_;
  std::mt19937_64 random_;
  int disturbances_ = 0;
  int slow_stores_ = 0;
  int outages_ = 0;
  int slow_key_values_ = 0;
  int losses_ = 0;
  std::map<ZoneName, int> cuts_;
  bool stopped_ = false;
  std::uint64_t next_machine_ = 100;
  Timestamp last_resume_{};
};

}  // namespace moorfold
