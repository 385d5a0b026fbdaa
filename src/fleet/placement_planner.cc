#include "fleet/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace moorfold {

namespace {

/// Time in which a better placement has to repay its loads and evictions; demand is not predicted
/// further ahead. Compared with 10 s, 5 s gains 0.040 of the attainable response value (responses
/// within their route target earn full value; standard error 0.009, paired days of one
/// deployment); 3 s performs like 5 s.
constexpr double kPlanningHorizonS = 5;
/// Request-seconds that an eviction costs in addition to the victim's value: the server takes no
/// other order meanwhile and drops the victim's cached prompts, and other servers may lack the
/// victim. This cost raises the share of the attainable response value from 0.744 to 0.767, a gain
/// of 0.023 (days of one deployment).
constexpr double kEvictionOverhead = 2.5;
/// Request-seconds per second that a fleet loses while none of its servers accepts orders. A server
/// that loads from the weight store accepts none for seconds and costs its share; in a large fleet
/// other servers can take the next model. 36 is 4 for each of 9 servers. 4 per server gains 0.026
/// of the attainable response value in a fleet of 86 daemons (standard error 0.011). The cost per
/// server is capped at 4 in smaller fleets, which still have to load the requested models.
constexpr double kBlockedFleetCost = 36;
constexpr double kBlockedServerCost = 4;
/// Minimum assumed duration of new demand: the short-term average needs this long to distinguish
/// demand from random variation.
constexpr double kMinDemandDurationS = 4;
/// Above this ratio the two averages differ only by random variation.
constexpr double kMaxAverageRatio = 0.95;
/// Minimum net benefit of a change, in request-seconds, since estimates are noisy.
constexpr double kMinBenefit = 0.5;
/// Weight of a waiting request for a model without a replica. It ranks such models above those
/// whose replicas only need relief.
constexpr double kWaitingRequestWeight = 3;
/// Increase of the gain of a model without a replica for each second in which none of its waiting
/// requests was served. It bounds the wait to some tens of seconds whatever the value of the other
/// models.
constexpr double kUnservedSecondWeight = 0.5;
/// Share of a server's request capacity that an adapter may use on each holder before it is placed
/// on another server.
constexpr double kAdapterLoadShare = 0.5;
/// Time since its last request in which an undescribed model may be new, not dropped. Longer than
/// daemons usually differ in the configuration that they know.
constexpr std::chrono::seconds kRecentRequestTime{5};
/// Models placed by one plan, the highest gain first; the next plan follows soon.
constexpr std::size_t kMaxCandidatesPerPlan = 16;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

PlacementPlanner::PlacementPlanner(const EngineDescription& engine,
                                   std::map<ModelReference, ModelDemand> demand,
                                   std::vector<PlannedServer> servers, PlannerLimits limits,
                                   Time now, std::vector<VersionNeed> version_needs)
    : engine_(engine),
      demand_(std::move(demand)),
      servers_(std::move(servers)),
      limits_(limits),
      value_(limits.requests_per_server, now),
      now_(now) {
  for (const ModelDescription& model : engine_.models) descriptions_[model.name] = &model;
  RecordVersionNeeds(std::move(version_needs));
  CountReplicas();
  for (const auto& [name, demanded] : demand_) {
    ModelDemand& total = demand_by_model_[name.model];
    total.in_flight += demanded.in_flight;
    total.arrivals_per_second += demanded.arrivals_per_second;
    total.long_term_arrivals_per_second += demanded.long_term_arrivals_per_second;
    total.last_seen = std::max(total.last_seen, demanded.last_seen);
    total.late_responses_per_second += demanded.late_responses_per_second;
    total.unserved_s = std::max(total.unserved_s, demanded.unserved_s);
    // A request that waits for an adapter counts as waiting for the model only if the model has no
    // replica.
    const bool adapter_only = !name.adapter.empty() && ReplicaCount(name.model) > 0;
    if (!adapter_only) total.waiting += demanded.waiting;
  }
  for (const PlannedServer& server : servers_)
    for (const LoadedModel& held : server.models)
      if (const auto found = demand_by_model_.find(held.name);
          server.serving && found != demand_by_model_.end())
        ++found->second.serving_servers;
}

void PlacementPlanner::RecordVersionNeeds(std::vector<VersionNeed> needs) {
  const bool several_versions =
      std::any_of(servers_.begin(), servers_.end(), [this](const PlannedServer& server) {
        return server.software_version != servers_.front().software_version;
      });
  if (!several_versions) return;
  version_needs_ = std::move(needs);
  for (const VersionNeed& need : version_needs_) {
    VersionWait& total = version_waits_[{need.name.model, need.software_version}];
    total.waiting += need.waiting;
    total.unserved_s = std::max(total.unserved_s, need.unserved_s);
  }
}

std::vector<PlacementStep> PlacementPlanner::Plan() {
  PlanAdapters();
  PlanModels();
  return steps_;
}

std::vector<PlacementStep> PlacementPlanner::PlanAdaptersOnly() {
  PlanAdapters();
  return steps_;
}

const ModelDescription* PlacementPlanner::FindDescription(const std::string& model) const {
  const auto found = descriptions_.find(model);
  return found == descriptions_.end() ? nullptr : found->second;
}

ModelDemand PlacementPlanner::TotalDemand(const std::string& model) const {
  const auto found = demand_by_model_.find(model);
  return found == demand_by_model_.end() ? ModelDemand{} : found->second;
}

double PlacementPlanner::RequestRateOf(const ModelReference& name) const {
  const auto found = demand_.find(name);
  if (found == demand_.end()) return 0;
  return found->second.arrivals_per_second + found->second.in_flight + found->second.waiting;
}

double PlacementPlanner::HeldMegabytes(const LoadedModel& held) const {
  const ModelDescription* model = FindDescription(held.name);
  if (model == nullptr) return 0;
  return model->weights_mb + model->adapter_mb * static_cast<double>(held.adapters.size());
}

const LoadedModel* PlacementPlanner::FindUndescribed(const PlannedServer& server) const {
  const auto found = std::find_if(server.models.begin(), server.models.end(),
                                  [&](const LoadedModel& held) { return !IsDescribed(held); });
  return found == server.models.end() ? nullptr : &*found;
}

bool PlacementPlanner::HoldsNewModel(const PlannedServer& server) const {
  return std::any_of(server.models.begin(), server.models.end(), [&](const LoadedModel& held) {
    if (IsDescribed(held)) return false;
    const ModelDemand demand = TotalDemand(held.name);
    return demand.waiting > 0 || demand.in_flight > 0 ||
           now_ - demand.last_seen < kRecentRequestTime;
  });
}

double PlacementPlanner::FreeWeightMegabytes(const PlannedServer& server) const {
  double free = engine_.weights_mb;
  for (const LoadedModel& held : server.models) free -= HeldMegabytes(held);
  if (const ModelDescription* loading_model = FindDescription(server.loading_model))
    if (server.Find(server.loading_model) == nullptr) free -= loading_model->weights_mb;
  return free;
}

std::size_t PlacementPlanner::AdaptersOn(const PlannedServer& server) const {
  std::size_t count = 0;
  for (const LoadedModel& held : server.models) count += held.adapters.size();
  return count;
}

/// Counts replicas that are loaded, loading or reserved.
void PlacementPlanner::CountReplicas() {
  for (const PlannedServer& server : servers_) {
    if (!server.serving) continue;
    for (const LoadedModel& held : server.models) CountReplica(server, held.name);
    for (const std::string* expected : {&server.loading_model, &server.reserved_for})
      if (!expected->empty() && server.Find(*expected) == nullptr) {
        CountReplica(server, *expected);
        pending_models_.insert(*expected);
      }
  }
}

void PlacementPlanner::CountReplica(const PlannedServer& server, const std::string& model) {
  ++replica_counts_[model];
  if (!version_needs_.empty()) ++version_replica_counts_[{model, server.software_version}];
}

void PlacementPlanner::DiscountReplica(const PlannedServer& server, const std::string& model) {
  --replica_counts_[model];
  if (!version_needs_.empty()) --version_replica_counts_[{model, server.software_version}];
}

std::size_t PlacementPlanner::VersionReplicaCount(const VersionedModel& model) const {
  const auto found = version_replica_counts_.find(model);
  return found == version_replica_counts_.end() ? 0 : found->second;
}

bool PlacementPlanner::IsNeededOnVersion(const PlannedServer& server,
                                         const std::string& model) const {
  if (version_needs_.empty()) return false;
  const VersionedModel key{model, server.software_version};
  return version_waits_.contains(key) && VersionReplicaCount(key) <= 1;
}

bool PlacementPlanner::MayEvictForVersion(const PlannedServer& server,
                                          const std::string& model) const {
  if (FindDescription(model) == nullptr) return true;
  if (VersionReplicaCount({model, server.software_version}) > 1) return true;
  const ModelDemand demand = TotalDemand(model);
  const bool used = demand.in_flight > 0 || demand.waiting > 0;
  return !used && !IsNeededOnVersion(server, model);
}

std::size_t PlacementPlanner::ReplicaCount(const std::string& model) const {
  const auto found = replica_counts_.find(model);
  return found == replica_counts_.end() ? 0 : found->second;
}

bool PlacementPlanner::FromWeightStore(const PlannedServer& server,
                                       const std::string& model) const {
  return !Contains(server.in_memory, model) && !Contains(server.on_disk, model);
}

/// @return whether a server without the model can load it from its memory or disk.
bool PlacementPlanner::LocalCopyExists(const std::string& model,
                                       const std::optional<std::string>& software_version) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const PlannedServer& server) {
    if (software_version && server.software_version != *software_version) return false;
    return server.serving && server.Find(model) == nullptr && !FromWeightStore(server, model);
  });
}

double PlacementPlanner::LoadSeconds(const PlannedServer& server,
                                     const ModelDescription& model) const {
  if (Contains(server.in_memory, model.name))
    return std::chrono::duration<double>(model.warm_load_time).count();
  if (Contains(server.on_disk, model.name))
    return std::chrono::duration<double>(model.disk_load_time).count();
  return std::chrono::duration<double>(model.load_time).count();
}

/// @return request-seconds lost per second when one server unloads the model.
double PlacementPlanner::RemovalLossOf(const std::string& model) {
  const auto [loss, inserted] = removal_losses_.try_emplace(model, 0);
  const ModelDescription* description = FindDescription(model);
  if (inserted && description != nullptr)
    loss->second = value_.RemovalLoss(*description, TotalDemand(model),
                                      std::max<std::size_t>(1, ReplicaCount(model)));
  return loss->second;
}

/// As RemovalLossOf(), but the only replica on a software version that requests need counts as the
/// last one.
double PlacementPlanner::RemovalLossAt(const PlannedServer& server, const std::string& model) {
  const ModelDescription* description = FindDescription(model);
  if (description == nullptr || !IsNeededOnVersion(server, model)) return RemovalLossOf(model);
  ModelDemand demand = TotalDemand(model);
  const VersionWait& wait = version_waits_.at({model, server.software_version});
  demand.waiting = std::max(demand.waiting, wait.waiting);
  return value_.RemovalLoss(*description, demand, 1);
}

/// Assumes that demand continues for about as long as it has lasted so far.
/// @return the probability that the model's demand persists for `seconds`.
double PlacementPlanner::DemandSurvivalProbability(const std::string& model, double seconds) const {
  const ModelDemand demand = TotalDemand(model);
  if (demand.arrivals_per_second <= 0) return 0;
  // Ratio of the long-term to the short-term average, which grows with the duration of the demand.
  const double average_ratio =
      std::min(demand.long_term_arrivals_per_second / demand.arrivals_per_second, kMaxAverageRatio);
  const double demand_duration_s =
      -FleetDemand::kLongTermTimeConstantS * std::log1p(-average_ratio);
  return std::exp(-seconds / std::max(kMinDemandDurationS, demand_duration_s));
}

std::optional<PlacementPlanner::Placement> PlacementPlanner::PlaceAt(PlannedServer& server,
                                                                     const ModelDescription& model,
                                                                     const ReplicaTerms& terms) {
  if (!server.accepts_orders || !server.reserved_for.empty() || !server.loading_model.empty())
    return std::nullopt;
  if (server.Find(model.name) != nullptr || HoldsNewModel(server)) return std::nullopt;
  const bool from_store = FromWeightStore(server, model.name);
  if (from_store && limits_.weight_store_loads < 1) return std::nullopt;
  Placement placement{&server, 0, {}};
  const double load_s = LoadSeconds(server, model);
  // If another server has the weights in memory or on disk, waiting until it accepts orders is
  // better.
  const bool only_source = from_store && !terms.local_copy_exists;
  // Another replica pays off only if the demand outlasts its load.
  if (terms.has_replica)
    placement.cost +=
        terms.gain * kPlanningHorizonS * (1 - DemandSurvivalProbability(model.name, load_s));
  else if (!only_source)
    placement.cost += terms.gain * load_s;
  if (from_store)
    placement.cost += load_s * std::min(kBlockedServerCost,
                                        kBlockedFleetCost / static_cast<double>(servers_.size()));
  double free = FreeWeightMegabytes(server);
  std::vector<const LoadedModel*> held;
  for (const LoadedModel& candidate : server.models) held.push_back(&candidate);
  std::sort(held.begin(), held.end(), [&](const LoadedModel* left, const LoadedModel* right) {
    return std::pair(IsDescribed(*left), RemovalLossAt(server, left->name)) <
           std::pair(IsDescribed(*right), RemovalLossAt(server, right->name));
  });
  for (const LoadedModel* candidate : held) {
    // What an undescribed model occupies is known only once it is gone.
    if (IsDescribed(*candidate) && free >= model.weights_mb) break;
    if (terms.for_software_version && !MayEvictForVersion(server, candidate->name)) continue;
    free += HeldMegabytes(*candidate);
    AddVictim(placement, candidate->name);
  }
  if (free < model.weights_mb) return std::nullopt;
  return placement;
}

void PlacementPlanner::AddVictim(Placement& placement, const std::string& model) {
  placement.cost += RemovalLossAt(*placement.server, model) * kPlanningHorizonS + kEvictionOverhead;
  placement.victims.push_back(model);
  // No request asks for an undescribed model.
  if (FindDescription(model) == nullptr) return;
  if (ReplicaCount(model) > 1 && !IsNeededOnVersion(*placement.server, model)) return;
  if (limits_.may_replace_local_replicas && !FromWeightStore(*placement.server, model))
    placement.replaces_local_replica = true;
  else
    placement.evicts_last_replica = true;
}

/// Below the tolerated rate, late responses are random and do not justify that another model has no
/// replica, even for the time of a local load.
bool PlacementPlanner::LateGainCounts(const ReplicaCandidate& candidate_model,
                                      const Placement& placement) {
  if (placement.evicts_last_replica) return false;
  return !placement.replaces_local_replica || candidate_model.has_late_responses;
}

bool PlacementPlanner::ReplacesForLateResponses(const ReplicaCandidate& candidate_model,
                                                const Placement& placement) {
  return placement.replaces_local_replica &&
         candidate_model.gain * kPlanningHorizonS - placement.cost < kMinBenefit;
}

void PlacementPlanner::AddLoadStep(PlannedServer& server, const ModelDescription& model) {
  const bool from_store = FromWeightStore(server, model.name);
  if (from_store) limits_.weight_store_loads -= 1;
  const auto expected = std::chrono::milliseconds(std::llround(
      LoadSeconds(server, model) * std::chrono::milliseconds(std::chrono::seconds(1)).count()));
  steps_.push_back({ServerOrderKind::kLoad, server.id, {model.name, ""}, "", from_store, expected});
  CountReplica(server, model.name);
  removal_losses_.erase(model.name);
  server.loading_model = model.name;
  server.reserved_for.clear();
  server.accepts_orders = false;
}

void PlacementPlanner::AddUnloadStep(PlannedServer& server, const std::string& model,
                                     const std::string& reserved_for) {
  steps_.push_back({ServerOrderKind::kUnload, server.id, {model, ""}, reserved_for, false, {}});
  CountReplica(server, reserved_for);
  DiscountReplica(server, model);
  removal_losses_.erase(model);
  server.reserved_for = reserved_for;
  server.accepts_orders = false;
  std::erase_if(server.models, [&](const LoadedModel& held) { return held.name == model; });
}

/// Takes the next step towards loading the model for which the server frees memory.
bool PlacementPlanner::ContinueReservation(PlannedServer& server) {
  const ModelDescription* model = FindDescription(server.reserved_for);
  if (model == nullptr || server.Find(server.reserved_for) != nullptr) {
    server.reserved_for.clear();
    return false;
  }
  const std::string reserved_for = std::exchange(server.reserved_for, "");
  DiscountReplica(server, reserved_for);
  ReplicaTerms terms;
  terms.has_replica = ReplicaCount(model->name) > 0;
  terms.local_copy_exists = LocalCopyExists(model->name);
  terms.for_software_version = version_waits_.contains({model->name, server.software_version});
  const std::optional<Placement> placement = PlaceAt(server, *model, terms);
  if (!placement) return false;
  if (placement->victims.empty())
    AddLoadStep(server, *model);
  else
    AddUnloadStep(server, placement->victims.front(), reserved_for);
  steps_.back().for_software_version = terms.for_software_version;
  return true;
}

std::optional<PlacementPlanner::Placement> PlacementPlanner::BestPlacement(
    const ReplicaCandidate& candidate_model) {
  std::optional<Placement> best;
  double best_benefit = kMinBenefit;
  const std::optional<std::string>& version = candidate_model.software_version;
  const std::string& name = candidate_model.model->name;
  // Independent of the server: evaluating them for each one would make a plan quadratic in the
  // number of servers.
  ReplicaTerms terms;
  terms.gain = candidate_model.gain + candidate_model.late_gain;
  terms.has_replica = !version && ReplicaCount(name) > 0;
  terms.local_copy_exists = LocalCopyExists(name, version);
  terms.for_software_version = version.has_value();
  for (PlannedServer& server : servers_) {
    if (version && server.software_version != *version) continue;
    std::optional<Placement> placement = PlaceAt(server, *candidate_model.model, terms);
    if (!placement) continue;
    const double gain =
        candidate_model.gain +
        (LateGainCounts(candidate_model, *placement) ? candidate_model.late_gain : 0);
    const double benefit = gain * kPlanningHorizonS - placement->cost;
    if (benefit < best_benefit) continue;
    best_benefit = benefit;
    best = std::move(placement);
  }
  return best;
}

void PlacementPlanner::AddFirstStep(const ReplicaCandidate& candidate_model,
                                    const Placement& placement) {
  if (placement.victims.empty()) {
    AddLoadStep(*placement.server, *candidate_model.model);
  } else {
    AddUnloadStep(*placement.server, placement.victims.front(), candidate_model.model->name);
    steps_.back().for_late_responses = ReplacesForLateResponses(candidate_model, placement);
  }
  steps_.back().for_software_version = candidate_model.software_version.has_value();
}

void PlacementPlanner::SortByGain(std::vector<ReplicaCandidate>& candidates) {
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const ReplicaCandidate& left, const ReplicaCandidate& right) {
                     return left.gain + left.late_gain > right.gain + right.late_gain;
                   });
}

std::vector<PlacementPlanner::ReplicaCandidate> PlacementPlanner::RankCandidates() const {
  std::vector<ReplicaCandidate> candidates;
  for (const auto& [name, demand] : demand_by_model_) {
    const ModelDescription* model = FindDescription(name);
    if (model == nullptr) continue;
    const std::size_t replicas = ReplicaCount(name);
    const bool more =
        value_.Overloaded(demand, replicas) || value_.HasLateResponses(demand, replicas);
    if (HasPendingReplica(name) && !more) continue;
    double gain = value_.Gain(*model, demand, replicas);
    if (replicas == 0 && demand.waiting > 0)
      gain += kWaitingRequestWeight * demand.waiting + kUnservedSecondWeight * demand.unserved_s;
    const double late_gain = value_.LateResponseGain(demand, replicas);
    if ((gain + late_gain) * kPlanningHorizonS > kMinBenefit)
      candidates.push_back({model, gain, late_gain, value_.HasLateResponses(demand, replicas)});
  }
  SortByGain(candidates);
  return candidates;
}

void PlacementPlanner::AddVersionCandidates(std::vector<ReplicaCandidate>& candidates) const {
  std::vector<ReplicaCandidate> merged;
  for (const auto& [key, need] : version_waits_) {
    const ModelDescription* model = FindDescription(key.model);
    if (model == nullptr || need.waiting <= 0 || VersionReplicaCount(key) > 0) continue;
    ModelDemand bound;
    bound.waiting = need.waiting;
    ReplicaCandidate candidate{model, value_.Gain(*model, bound, 0)};
    candidate.gain +=
        kWaitingRequestWeight * need.waiting + kUnservedSecondWeight * need.unserved_s;
    if (ReplicaCount(key.model) == 0)
      for (const ReplicaCandidate& other : candidates)
        if (other.model == model) candidate.gain = std::max(candidate.gain, other.gain);
    candidate.software_version = key.software_version;
    merged.push_back(std::move(candidate));
  }
  if (merged.empty()) return;
  merged.insert(merged.end(), candidates.begin(), candidates.end());
  SortByGain(merged);
  candidates = std::move(merged);
}

std::vector<std::string> PlacementPlanner::ModelsAwaitingStoreLoad() const {
  std::vector<std::string> models;
  std::unordered_set<std::string> without_copy;
  for (const ReplicaCandidate& candidate : RankCandidates()) {
    const std::string& name = candidate.model->name;
    if (ReplicaCount(name) > 0 || demand_by_model_.at(name).waiting <= 0) continue;
    models.push_back(name);
    without_copy.insert(name);
  }
  if (models.empty()) return models;
  // One pass over the servers for all models.
  for (const PlannedServer& server : servers_) {
    if (!server.serving) continue;
    for (const auto* copies : {&server.in_memory, &server.on_disk})
      for (const std::string& name : *copies) without_copy.erase(name);
  }
  std::erase_if(models, [&](const std::string& name) { return !without_copy.contains(name); });
  return models;
}

void PlacementPlanner::PlanModels() {
  for (PlannedServer& server : servers_)
    if (server.accepts_orders && !server.reserved_for.empty()) ContinueReservation(server);
  std::vector<ReplicaCandidate> candidates = RankCandidates();
  AddVersionCandidates(candidates);
  if (candidates.size() > kMaxCandidatesPerPlan) candidates.resize(kMaxCandidatesPerPlan);
  // Last replicas are replaced for late responses after all other placements, since a model that
  // requests wait for needs the server more.
  std::vector<ReplicaCandidate> deferred;
  std::unordered_set<const ModelDescription*> placed_for_version;
  for (const ReplicaCandidate& candidate_model : candidates) {
    // The new replica serves the other requests, too.
    if (!candidate_model.software_version && placed_for_version.contains(candidate_model.model))
      continue;
    const std::optional<Placement> placement = BestPlacement(candidate_model);
    if (!placement) continue;
    if (candidate_model.software_version) placed_for_version.insert(candidate_model.model);
    if (ReplacesForLateResponses(candidate_model, *placement))
      deferred.push_back(candidate_model);
    else
      AddFirstStep(candidate_model, *placement);
  }
  for (const ReplicaCandidate& candidate_model : deferred)
    if (const std::optional<Placement> placement = BestPlacement(candidate_model))
      AddFirstStep(candidate_model, *placement);
}

void PlacementPlanner::PlanAdapter(const ModelReference& name, const ModelDemand& demand,
                                   const std::optional<std::string>& software_version) {
  const ModelDescription* model = FindDescription(name.model);
  if (model == nullptr) return;
  const auto adapter_preference = [this](const PlannedServer& server) {
    return std::pair(FindUndescribed(server) != nullptr, AdaptersOn(server));
  };
  PlannedServer* best = nullptr;
  std::size_t holders = 0;
  for (PlannedServer& server : servers_) {
    const LoadedModel* held = server.Find(name.model);
    if (held == nullptr || !server.serving) continue;
    if (software_version && server.software_version != *software_version) continue;
    if (held->HasAdapter(name.adapter)) {
      ++holders;
      continue;
    }
    if (!server.accepts_orders || HoldsNewModel(server)) continue;
    if (best == nullptr || adapter_preference(server) < adapter_preference(*best)) best = &server;
  }
  const double requests_per_holder = kAdapterLoadShare * limits_.requests_per_server;
  const bool enough =
      holders > 0 && demand.in_flight <= requests_per_holder * static_cast<double>(holders);
  if (best == nullptr || enough) return;
  if (const LoadedModel* undescribed = FindUndescribed(*best)) {
    steps_.push_back({ServerOrderKind::kUnload, best->id, {undescribed->name, ""}, "", false, {}});
    best->accepts_orders = false;
    return;
  }
  const bool room =
      AdaptersOn(*best) < engine_.adapter_slots && FreeWeightMegabytes(*best) >= model->adapter_mb;
  if (room) {
    steps_.push_back({ServerOrderKind::kLoad, best->id, name, "", false, {}});
    best->accepts_orders = false;
    return;
  }
  ModelReference victim;
  double lowest_rate = RequestRateOf(name);
  for (const LoadedModel& held : best->models)
    for (const std::string& adapter : held.adapters)
      if (const double rate = RequestRateOf({held.name, adapter}); rate < lowest_rate) {
        lowest_rate = rate;
        victim = {held.name, adapter};
      }
  if (victim.model.empty()) return;
  steps_.push_back({ServerOrderKind::kUnload, best->id, victim, "", false, {}});
  best->accepts_orders = false;
}

std::set<ModelReference> PlacementPlanner::PlanVersionAdapters() {
  std::set<ModelReference> planned;
  for (const VersionNeed& need : version_needs_) {
    if (need.name.adapter.empty() || need.waiting <= 0) continue;
    ModelDemand bound;
    bound.waiting = need.waiting;
    const std::size_t steps_before = steps_.size();
    PlanAdapter(need.name, bound, need.software_version);
    if (steps_.size() == steps_before) continue;
    steps_.back().for_software_version = true;
    planned.insert(need.name);
  }
  return planned;
}

void PlacementPlanner::PlanAdapters() {
  const std::set<ModelReference> planned = PlanVersionAdapters();
  std::vector<std::pair<ModelReference, ModelDemand>> wanted;
  for (const auto& [name, demand] : demand_)
    if (!name.adapter.empty() && (demand.waiting > 0 || demand.in_flight > 0))
      wanted.emplace_back(name, demand);
  std::stable_sort(wanted.begin(), wanted.end(), [](const auto& left, const auto& right) {
    return left.second.waiting > right.second.waiting;
  });
  for (const auto& [name, demand] : wanted)
    if (!planned.contains(name)) PlanAdapter(name, demand);
}

}  // namespace moorfold
