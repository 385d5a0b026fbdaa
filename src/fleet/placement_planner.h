#pragma once

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/boot_clock.h"
#include "fleet/fleet_demand.h"
#include "fleet/placement_value.h"
#include "fleet/routing_configuration.h"
#include "fleet/server_record.h"

namespace moorfold {

/// A model server as the planner sees it.
struct PlannedServer {
  std::string id;
  bool accepts_orders = false;  ///< Takes orders now: alive, not leaving, no order under way.
  bool serving = false;         ///< Alive and not leaving.
  std::vector<HeldModel> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  std::string loading_model;  ///< Model that was ordered and is not there yet.
  std::string reserved_for;   ///< Model for which room is being made.

  const HeldModel* Find(const std::string& model) const {
    for (const HeldModel& held : models)
      if (held.name == model) return &held;
    return nullptr;
  }
};

/// One step towards a better placement.
struct PlacementStep {
  ServerOrderKind kind = ServerOrderKind::kLoad;
  std::string server_id;
  ModelReference name;
  std::string reserved_for;        ///< Of an unload: the model for which room is made.
  bool from_weight_store = false;  ///< Of a load of a model.
  std::chrono::milliseconds expected{0};
};

struct PlannerLimits {
  double weight_store_loads = 0;  ///< Loads from the weight store that may begin now.
  /// Requests that one server runs at once and still answers in time.
  double requests_per_server = 1;
};

/// Decides which models and adapters go where. Pure: the same input gives the same steps. At most
/// one step for each server; steps never exceed a server's memory or adapter slots.
class PlacementPlanner {
 public:
  using Time = BootClock::time_point;

  PlacementPlanner(const EngineDescription& engine, std::map<ModelReference, ModelDemand> demand,
                   std::vector<PlannedServer> servers, PlannerLimits limits, Time now);

  std::vector<PlacementStep> Plan();
  /// Adapters alone. Where the servers given hold the models of those that are waited for, these
  /// are the steps that a plan over all servers takes for them.
  std::vector<PlacementStep> PlanAdaptersOnly();

 private:
  /// A model that would be worth one more server.
  struct ReplicaCandidate {
    const ModelDescription* model = nullptr;
    double gain = 0;       ///< Request-seconds a second.
    double late_gain = 0;  ///< The same, by answers that come late now.
  };
  /// A way to take a model to a server.
  struct Placement {
    PlannedServer* server = nullptr;
    double cost = 0;  ///< Request-seconds, over the horizon.
    std::vector<std::string> victims;
    bool evicts_last_replica = false;  ///< A victim would stand nowhere then.
  };

  void PlanAdapters();
  void PlanAdapter(const ModelReference& name, const ModelDemand& demand);
  void PlanModels();
  std::vector<ReplicaCandidate> RankCandidates() const;
  void PlaceModel(const ReplicaCandidate& candidate_model);
  bool ContinueReservation(PlannedServer& server);
  /// @return how to take the model there, or nothing if that cannot be done now.
  /// @param local_copy_exists whether some server could load the model without the weight store.
  std::optional<Placement> PlaceAt(PlannedServer& server, const ModelDescription& model,
                                   double gain, bool local_copy_exists);
  double RemovalLossOf(const std::string& model);
  double DemandSurvivalProbability(const std::string& model, double seconds) const;
  void CountReplicas();
  double LoadSeconds(const PlannedServer& server, const ModelDescription& model) const;
  bool LocalCopyExists(const std::string& model) const;
  bool FromWeightStore(const PlannedServer& server, const std::string& model) const;
  double FreeWeightMegabytes(const PlannedServer& server) const;
  std::size_t AdaptersOn(const PlannedServer& server) const;
  double HeldMegabytes(const HeldModel& held) const;
  std::size_t ReplicaCount(const std::string& model) const;
  bool HasPendingReplica(const std::string& model) const { return pending_models_.contains(model); }
  ModelDemand TotalDemand(const std::string& model) const;
  double RequestRateOf(const ModelReference& name) const;
  const ModelDescription* FindDescription(const std::string& model) const;
  void AddLoadStep(PlannedServer& server, const ModelDescription& model);
  void AddUnloadStep(PlannedServer& server, const std::string& model,
                     const std::string& reserved_for);

  const EngineDescription& engine_;
  std::unordered_map<std::string, const ModelDescription*> descriptions_;
  std::unordered_map<std::string, std::size_t> replica_counts_;
  std::unordered_set<std::string> pending_models_;  ///< Models with a copy that does not stand yet.
  std::unordered_map<std::string, double> removal_losses_;  ///< Of models, as far as asked for.
  std::map<ModelReference, ModelDemand> demand_;
  std::vector<PlannedServer> servers_;
  PlannerLimits limits_;
  PlacementValue value_;
  std::map<std::string, ModelDemand> demand_by_model_;
  std::vector<PlacementStep> steps_;
};

}  // namespace moorfold
