#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/ledger.h"
#include "simulation/simulated_request.h"
#include "simulation/world.h"

namespace moorfold {

enum class Invariant : std::uint8_t {
  kReplicasOverDecided,
  kMemoryOvercommitted,
  kRequestDropped,
  kAnswerMismatched,
  kRefusedButRun,
  kRanTwice,
  kWorkToLeaving,
  kStreamCutByPlannedStop,
  kConfigurationReverted,
  kConfigurationLate,
};
constexpr std::size_t kInvariants = 10;
const char* ToString(Invariant invariant);

struct Violation {
  Timestamp when{};
  Invariant invariant = Invariant::kReplicasOverDecided;
  std::string what;
  std::vector<std::string> chain;  ///< The latest notable events before it.
};

/// Watches the modelled engines, back ends and key-value service for breaches of the promises. It
/// never asks the daemons what they believe.
class Checkers {
 public:
  explicit Checkers(World& world) : world_(world) {}

  /// A notable event, kept for the chain of a violation.
  void Note(std::string event);

  void OnLedgerCommitted(const ZoneName& zone, const Ledger& ledger);
  void OnReplicaAdded(const ZoneName& zone, const ServerName& server, const ModelVersion& servable,
                      MebiBytes used, MebiBytes total);
  void OnReplicaRemoved(const ZoneName& zone, const ServerName& server,
                        const ModelVersion& servable);

  void OnExecuted(SimulatedRequest& request);
  void OnEnded(const SimulatedRequest& request);
  void OnAnswerPassedOn(const SimulatedRequest& request, std::uint64_t answers_request);
  /// At the end of the run, or when a request's time is long over.
  void OnOverdue(const SimulatedRequest& request);
  void OnWorkArrived(const std::string& server, Timestamp leaving_since);
  void OnCutByPlannedStop(const SimulatedRequest& request);

  void OnConfigurationCommitted(Revision revision);
  /// A daemon's revision in force, in one life of its process.
  void OnConfigurationInForce(const DaemonName& daemon, std::uint64_t life, Revision revision);
  void OnDaemonStarted(const DaemonName& daemon);
  void OnDaemonStopped(const DaemonName& daemon);
  /// Until now something kept configuration from spreading: the time starts anew.
  void OnDisturbance() { last_disturbance_ = world_.queue.Now(); }
  void CheckConfigurationLate();

  const std::map<Invariant, std::uint64_t>& counts() const { return counts_; }
  const std::vector<Violation>& violations() const { return violations_; }
  /// Seconds from confirmation until the last live daemon had it, of completed changes.
  const std::vector<double>& in_force_seconds() const { return in_force_seconds_; }
  std::uint64_t configuration_changes() const { return changes_.size(); }

 private:
  struct Change {
    Timestamp committed{};
    std::set<DaemonName> pending;
    bool complete = false;
    bool reported = false;
  };
  struct DaemonView {
    bool running = false;
    Timestamp started{};
    std::uint64_t life = 0;
    Revision revision = 0;
  };
  void Violate(Invariant invariant, std::string what);
  void CompleteChange(Change& change);

  World& world_;
  std::vector<std::string> notes_;
  std::size_t next_note_ = 0;
  std::map<Invariant, std::uint64_t> counts_;
  std::vector<Violation> violations_;
  std::map<ZoneName, std::map<ModelVersion, std::uint32_t>> decided_;
  std::map<ZoneName, std::map<ModelVersion, std::set<ServerName>>> loaded_;
  std::map<std::string, std::uint32_t> executions_by_key_;
  std::map<Revision, Change> changes_;
  std::map<DaemonName, DaemonView> daemons_;
  Timestamp last_disturbance_{};
  std::vector<double> in_force_seconds_;
};

}  // namespace moorfold
