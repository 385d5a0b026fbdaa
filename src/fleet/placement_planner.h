#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/boot_clock.h"
#include "fleet/fleet_demand.h"
#include "fleet/placement_value.h"
#include "fleet/routing_configuration.h"
#include "fleet/server_record.h"
#include "fleet/version_demand.h"

namespace moorfold {

/// The planner's view of a model server.
struct PlannedServer {
  std::string id;
  /// Serving, with no order in progress and no backoff or wait that forbids an order.
  bool accepts_orders = false;
  bool serving = false;  ///< Alive and not leaving.
  std::vector<LoadedModel> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  std::string loading_model;  ///< Model whose load was ordered and has not completed.
  std::string reserved_for;   ///< Model for which memory is being freed.
  std::string software_version;

  const LoadedModel* Find(const std::string& model) const {
    for (const LoadedModel& held : models)
      if (held.name == model) return &held;
    return nullptr;
  }
};

/// One order that improves the placement.
struct PlacementStep {
  ServerOrderKind kind = ServerOrderKind::kLoad;
  std::string server_id;
  ModelReference name;
  std::string reserved_for;        ///< For an unload: the model for which memory is freed.
  bool from_weight_store = false;  ///< Whether a model load reads from the weight store.
  std::chrono::milliseconds expected{0};
  /// For an unload: whether it begins a placement that replaces the last replica of a model, made
  /// for the gain from fewer late responses. Set once for each placement.
  bool for_late_responses = false;
  /// Whether requests that are bound to the server's software version need the model or adapter.
  bool for_software_version = false;
};

struct PlannerLimits {
  double weight_store_loads = 0;  ///< Loads from the weight store that may start now.
  /// Concurrent requests that one server handles within the response target.
  double requests_per_server = 1;
  /// Whether the gain from fewer late responses may evict a model's last replica if its weights
  /// stay on the server. A request for that model then costs a load from there, not from the weight
  /// store.
  bool may_replace_local_replicas = false;
};

/// Decides which server holds which models and adapters. Deterministic: the same input yields the
/// same steps. Emits at most one step for each server and never exceeds a server's memory or
/// adapter slots.
class PlacementPlanner {
 public:
  using Time = BootClock::time_point;

  /// @param version_needs have no effect if all servers are of one software version. The requests
  /// may count in `demand` as well.
  PlacementPlanner(const EngineDescription& engine, std::map<ModelReference, ModelDemand> demand,
                   std::vector<PlannedServer> servers, PlannerLimits limits, Time now,
                   std::vector<VersionNeed> version_needs = {});

  std::vector<PlacementStep> Plan();
  /// Plans adapters only. If the given servers include all holders of the models whose adapters
  /// have waiting requests, these adapters get the same steps as in a plan over all servers.
  std::vector<PlacementStep> PlanAdaptersOnly();
  /// Call before Plan().
  /// @return the models that requests wait for, that no serving server holds, will hold or has in
  /// memory or on disk, in descending order of gain.
  std::vector<std::string> ModelsAwaitingStoreLoad() const;

 private:
  /// A model that would benefit from one more replica.
  struct ReplicaCandidate {
    const ModelDescription* model = nullptr;
    double gain = 0;                  ///< Request-seconds saved per second.
    double late_gain = 0;             ///< Request-seconds saved per second by fewer late responses.
    bool has_late_responses = false;  ///< More than tolerated.
    /// Set if the replica has to be on a server of that software version, which has none.
    std::optional<std::string> software_version;
  };
  struct VersionedModel {
    std::string model;
    std::string software_version;
    auto operator<=>(const VersionedModel&) const = default;
  };
  struct VersionWait {
    double waiting = 0;
    double unserved_s = 0;
  };
  /// What the value of one more replica depends on besides the server.
  struct ReplicaTerms {
    double gain = 0;
    /// Whether the servers on which the requests may run have or expect a replica.
    bool has_replica = false;
    /// Whether one of these servers can load the model without the weight store.
    bool local_copy_exists = false;
    bool for_software_version = false;
  };
  /// A way to place a model on a server.
  struct Placement {
    PlannedServer* server = nullptr;
    double cost = 0;  ///< Request-seconds over the planning horizon.
    std::vector<std::string> victims;
    /// Whether a victim has no replica elsewhere. Such a victim does not count if its weights stay
    /// on the server and local replicas may be replaced.
    bool evicts_last_replica = false;
    /// Whether a victim has no replica elsewhere, but its weights stay on the server. Set only if
    /// local replicas may be replaced.
    bool replaces_local_replica = false;
  };

  void PlanAdapters();
  /// Plans adapters that requests need on one software version.
  /// @return those for which a step was added.
  std::set<ModelReference> PlanVersionAdapters();
  /// @param software_version if set, only servers of that version count.
  void PlanAdapter(const ModelReference& name, const ModelDemand& demand,
                   const std::optional<std::string>& software_version = std::nullopt);
  void PlanModels();
  std::vector<ReplicaCandidate> RankCandidates() const;
  /// Adds the models that requests need on a software version of which no server has or expects
  /// them. Such a model comes before the same one regardless of the version.
  void AddVersionCandidates(std::vector<ReplicaCandidate>& candidates) const;
  /// Sorts in descending order; equal candidates keep theirs.
  static void SortByGain(std::vector<ReplicaCandidate>& candidates);
  void RecordVersionNeeds(std::vector<VersionNeed> needs);
  std::size_t VersionReplicaCount(const VersionedModel& model) const;
  /// @return whether the server has the only replica of the model on a software version that
  /// requests need it on, or lately needed it on.
  bool IsNeededOnVersion(const PlannedServer& server, const std::string& model) const;
  /// @return whether a model may be evicted for requests that are bound to the server's software
  /// version: nobody uses it, or another server of the version has it.
  bool MayEvictForVersion(const PlannedServer& server, const std::string& model) const;
  void CountReplica(const PlannedServer& server, const std::string& model);
  void DiscountReplica(const PlannedServer& server, const std::string& model);
  /// @return the placement with the highest benefit, or nothing if none is worth its cost.
  std::optional<Placement> BestPlacement(const ReplicaCandidate& candidate_model);
  void AddFirstStep(const ReplicaCandidate& candidate_model, const Placement& placement);
  bool ContinueReservation(PlannedServer& server);
  /// @return how to place the model on the server, or nothing if that is not possible now.
  std::optional<Placement> PlaceAt(PlannedServer& server, const ModelDescription& model,
                                   const ReplicaTerms& terms);
  /// Adds a model of the server to those that the placement evicts.
  void AddVictim(Placement& placement, const std::string& model);
  /// @return whether the gain from fewer late responses may justify the placement.
  static bool LateGainCounts(const ReplicaCandidate& candidate_model, const Placement& placement);
  /// @return whether the placement replaces a local replica and only the gain from fewer late
  /// responses justifies it.
  static bool ReplacesForLateResponses(const ReplicaCandidate& candidate_model,
                                       const Placement& placement);
  double RemovalLossOf(const std::string& model);
  double RemovalLossAt(const PlannedServer& server, const std::string& model);
  double DemandSurvivalProbability(const std::string& model, double seconds) const;
  void CountReplicas();
  double LoadSeconds(const PlannedServer& server, const ModelDescription& model) const;
  /// @param software_version if set, only servers of that version count.
  bool LocalCopyExists(const std::string& model,
                       const std::optional<std::string>& software_version = std::nullopt) const;
  bool FromWeightStore(const PlannedServer& server, const std::string& model) const;
  /// @return memory that no described model occupies. An upper bound while the server holds an
  /// undescribed one, whose size is unknown.
  double FreeWeightMegabytes(const PlannedServer& server) const;
  /// @return whether the known configuration describes the model; the one in force may have dropped
  /// it, or it is new in a configuration that is not known yet.
  bool IsDescribed(const LoadedModel& held) const { return descriptions_.contains(held.name); }
  /// @return a held model of unknown size; null: there is none.
  const LoadedModel* FindUndescribed(const PlannedServer& server) const;
  /// @return whether the server holds an undescribed model that requests ask for: daemons with a
  /// newer configuration use it, so it stays, and what is free beside it is unknown.
  bool HoldsNewModel(const PlannedServer& server) const;
  std::size_t AdaptersOn(const PlannedServer& server) const;
  /// @return 0 for an undescribed model.
  double HeldMegabytes(const LoadedModel& held) const;
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
  /// Models with a replica that is loading or reserved.
  std::unordered_set<std::string> pending_models_;
  std::unordered_map<std::string, double> removal_losses_;  ///< By model, computed on demand.
  std::map<ModelReference, ModelDemand> demand_;
  std::vector<PlannedServer> servers_;
  PlannerLimits limits_;
  PlacementValue value_;
  Time now_;
  std::map<std::string, ModelDemand> demand_by_model_;
  std::vector<VersionNeed> version_needs_;
  std::map<VersionedModel, VersionWait> version_waits_;  ///< Over all adapters of a model.
  /// As `replica_counts_`, by software version. Empty without version needs.
  std::map<VersionedModel, std::size_t> version_replica_counts_;
  std::vector<PlacementStep> steps_;
};

}  // namespace moorfold
