#include "fleet/placement_planner.h"

#include <algorithm>
#include <cmath>

namespace moorfold {

namespace {

/// Over which a better placement has to pay for its loads and for what makes room for it: demand
/// is not foreseen beyond. Against 10 s it serves 0.040
/// more of what callers are owed (standard error 0.009, paired days of one deployment); 3 s alike.
constexpr double kHorizonS = 5;
/// Request-seconds that making room costs beside what the victim is worth: the server takes no
/// other order meanwhile and forgets the victim's prompts, and the victim may be missed elsewhere.
/// Gains 0.023 of what callers are owed (0.744 -> 0.767, days of one deployment); no other value
/// was measured.
constexpr double kEvictionCost = 2.5;
/// Request-seconds a second that a fleet loses while none of its servers takes orders. A server
/// that loads from the weight store takes none for seconds, and costs its share: in a large fleet
/// others can take the next model. 36 is 4 for each of 9 servers; 4 a server gained 0.026 of what
/// callers are owed in a fleet of 86 daemons (standard error 0.011); no more is asked in a smaller
/// fleet, which still has to load what is asked for.
constexpr double kBlockedFleetCost = 36;
constexpr double kBlockedServerCost = 4;
/// Demand that was just seen first is taken to last at least so long: the fast average needs as
/// long to tell it from chance.
constexpr double kShortestDemandS = 4;
/// From there on the two averages differ by chance.
constexpr double kMostCaughtUp = 0.95;
/// What a change must bring beyond its cost, in request-seconds: estimates are noisy.
constexpr double kLeastBenefit = 0.5;
/// A model that requests wait for comes before any that would only ease others.
constexpr double kWaitingWorth = 3;
/// What the gain of a model that is waited for grows by with each second in which none of its
/// requests was served: whatever others are worth, its turn comes within some tens of seconds.
constexpr double kUnservedWorth = 0.5;
/// Of an adapter: more requests than this share of what a server bears, and it gets another server.
constexpr double kAdapterShare = 0.5;
/// Models placed by one plan, the most urgent first; the next plan comes soon.
constexpr std::size_t kMostWants = 16;

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

PlacementPlanner::PlacementPlanner(const EngineDescription& engine,
                                   std::map<ModelReference, ModelDemand> demand,
                                   std::vector<PlannedServer> servers, PlannerLimits limits,
                                   Time now)
    : engine_(engine),
      demand_(std::move(demand)),
      servers_(std::move(servers)),
      limits_(limits),
      value_(limits.requests_per_server, now) {
  for (const ModelDescription& model : engine_.models) descriptions_[model.name] = &model;
  CountCopies();
  for (const auto& [name, demanded] : demand_) {
    ModelDemand& whole = by_model_[name.model];
    whole.in_flight += demanded.in_flight;
    whole.arrivals_per_second += demanded.arrivals_per_second;
    whole.long_term_arrivals_per_second += demanded.long_term_arrivals_per_second;
    whole.last_seen = std::max(whole.last_seen, demanded.last_seen);
    whole.late_per_second += demanded.late_per_second;
    whole.unserved_s = std::max(whole.unserved_s, demanded.unserved_s);
    // A request that waits for an adapter waits for its model only where the model is nowhere.
    const bool adapter_only = !name.adapter.empty() && Copies(name.model) > 0;
    if (!adapter_only) whole.waiting += demanded.waiting;
  }
  for (const PlannedServer& server : servers_)
    for (const HeldModel& held : server.models)
      if (const auto found = by_model_.find(held.name); server.serving && found != by_model_.end())
        ++found->second.standing;
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

const ModelDescription* PlacementPlanner::Describe(const std::string& model) const {
  const auto found = descriptions_.find(model);
  return found == descriptions_.end() ? nullptr : found->second;
}

ModelDemand PlacementPlanner::WholeDemand(const std::string& model) const {
  const auto found = by_model_.find(model);
  return found == by_model_.end() ? ModelDemand{} : found->second;
}

double PlacementPlanner::RateOf(const ModelReference& name) const {
  const auto found = demand_.find(name);
  if (found == demand_.end()) return 0;
  return found->second.arrivals_per_second + found->second.in_flight + found->second.waiting;
}

double PlacementPlanner::HeldMegabytes(const HeldModel& held) const {
  const ModelDescription* model = Describe(held.name);
  if (model == nullptr) return 0;
  return model->weights_mb + model->adapter_mb * static_cast<double>(held.adapters.size());
}

double PlacementPlanner::FreeMegabytes(const PlannedServer& server) const {
  double free = engine_.weights_mb;
  for (const HeldModel& held : server.models) free -= HeldMegabytes(held);
  if (const ModelDescription* incoming = Describe(server.incoming))
    if (server.Find(server.incoming) == nullptr) free -= incoming->weights_mb;
  return free;
}

std::size_t PlacementPlanner::AdaptersOn(const PlannedServer& server) const {
  std::size_t count = 0;
  for (const HeldModel& held : server.models) count += held.adapters.size();
  return count;
}

/// Copies that stand, are on their way or have room made for them.
void PlacementPlanner::CountCopies() {
  for (const PlannedServer& server : servers_) {
    if (!server.serving) continue;
    for (const HeldModel& held : server.models) ++copies_[held.name];
    for (const std::string* expected : {&server.incoming, &server.intended})
      if (!expected->empty() && server.Find(*expected) == nullptr) {
        ++copies_[*expected];
        on_their_way_.insert(*expected);
      }
  }
}

std::size_t PlacementPlanner::Copies(const std::string& model) const {
  const auto found = copies_.find(model);
  return found == copies_.end() ? 0 : found->second;
}

bool PlacementPlanner::FromWeightStore(const PlannedServer& server,
                                       const std::string& model) const {
  return !Contains(server.in_memory, model) && !Contains(server.on_disk, model);
}

/// @return whether a server that lacks the model could load it without the weight store.
bool PlacementPlanner::NearCopyExists(const std::string& model) const {
  return std::any_of(servers_.begin(), servers_.end(), [&](const PlannedServer& server) {
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

/// @return what is lost a second when the model leaves one of its servers.
double PlacementPlanner::LossOf(const std::string& model) {
  const auto [loss, fresh] = losses_.try_emplace(model, 0);
  const ModelDescription* described = Describe(model);
  if (fresh && described != nullptr)
    loss->second =
        value_.Loss(*described, WholeDemand(model), std::max<std::size_t>(1, Copies(model)));
  return loss->second;
}

/// Demand that has lasted for some time is expected to last for as long again.
/// @return the chance that the model's demand is still there after so many seconds.
double PlacementPlanner::Lasts(const std::string& model, double seconds) const {
  const ModelDemand demand = WholeDemand(model);
  if (demand.arrivals_per_second <= 0) return 0;
  // The slow average has come so far towards the fast one.
  const double caught_up =
      std::min(demand.long_term_arrivals_per_second / demand.arrivals_per_second, kMostCaughtUp);
  const double lasted_s = -FleetDemand::kUsualOverS * std::log1p(-caught_up);
  return std::exp(-seconds / std::max(kShortestDemandS, lasted_s));
}

std::optional<PlacementPlanner::Placement> PlacementPlanner::PlaceAt(PlannedServer& server,
                                                                     const ModelDescription& model,
                                                                     double gain, bool near_copy) {
  if (!server.accepts_orders || !server.intended.empty() || !server.incoming.empty())
    return std::nullopt;
  if (server.Find(model.name) != nullptr) return std::nullopt;
  const bool from_store = FromWeightStore(server, model.name);
  if (from_store && limits_.weight_store_loads < 1) return std::nullopt;
  Placement placement{&server, 0, {}};
  const double load_s = LoadSeconds(server, model);
  // Where some server has the weights at hand, it is better to wait for that server's next turn.
  const bool only_way = from_store && !near_copy;
  if (Copies(model.name) > 0)  // One more pays only if the demand outlasts its load.
    placement.cost += gain * kHorizonS * (1 - Lasts(model.name, load_s));
  else if (!only_way)
    placement.cost += gain * load_s;
  if (from_store)
    placement.cost += load_s * std::min(kBlockedServerCost,
                                        kBlockedFleetCost / static_cast<double>(servers_.size()));
  double free = FreeMegabytes(server);
  std::vector<const HeldModel*> held;
  for (const HeldModel& candidate : server.models) held.push_back(&candidate);
  std::sort(held.begin(), held.end(), [&](const HeldModel* left, const HeldModel* right) {
    return LossOf(left->name) < LossOf(right->name);
  });
  for (const HeldModel* candidate : held) {
    if (free >= model.weights_mb) break;
    free += HeldMegabytes(*candidate);
    placement.cost += LossOf(candidate->name) * kHorizonS + kEvictionCost;
    placement.victims.push_back(candidate->name);
    placement.takes_last_copy = placement.takes_last_copy || Copies(candidate->name) <= 1;
  }
  if (free < model.weights_mb) return std::nullopt;
  return placement;
}

void PlacementPlanner::EmitLoad(PlannedServer& server, const ModelDescription& model) {
  const bool from_store = FromWeightStore(server, model.name);
  if (from_store) limits_.weight_store_loads -= 1;
  const auto expected = std::chrono::milliseconds(std::llround(
      LoadSeconds(server, model) * std::chrono::milliseconds(std::chrono::seconds(1)).count()));
  steps_.push_back({ServerOrderKind::kLoad, server.id, {model.name, ""}, "", from_store, expected});
  ++copies_[model.name];
  losses_.erase(model.name);
  server.incoming = model.name;
  server.intended.clear();
  server.accepts_orders = false;
}

void PlacementPlanner::EmitUnload(PlannedServer& server, const std::string& model,
                                  const std::string& intended) {
  steps_.push_back({ServerOrderKind::kUnload, server.id, {model, ""}, intended, false, {}});
  ++copies_[intended];
  --copies_[model];
  losses_.erase(model);
  server.intended = intended;
  server.accepts_orders = false;
  std::erase_if(server.models, [&](const HeldModel& held) { return held.name == model; });
}

/// Room is being made there for a model: the next step towards it.
bool PlacementPlanner::ContinueIntention(PlannedServer& server) {
  const ModelDescription* model = Describe(server.intended);
  if (model == nullptr || server.Find(server.intended) != nullptr) {
    server.intended.clear();
    return false;
  }
  const std::string intended = std::exchange(server.intended, "");
  --copies_[intended];
  const std::optional<Placement> placement =
      PlaceAt(server, *model, 0, NearCopyExists(model->name));
  if (!placement) return false;
  if (placement->victims.empty())
    EmitLoad(server, *model);
  else
    EmitUnload(server, placement->victims.front(), intended);
  return true;
}

void PlacementPlanner::PlaceModel(const Want& want) {
  std::optional<Placement> best;
  double best_benefit = kLeastBenefit;
  // The same for all servers: looked for once, or a plan takes the square of their number.
  const bool near_copy = NearCopyExists(want.model->name);
  for (PlannedServer& server : servers_) {
    std::optional<Placement> placement =
        PlaceAt(server, *want.model, want.gain + want.late_gain, near_copy);
    if (!placement) continue;
    const double gain = want.gain + (placement->takes_last_copy ? 0 : want.late_gain);
    const double benefit = gain * kHorizonS - placement->cost;
    if (benefit < best_benefit) continue;
    best_benefit = benefit;
    best = std::move(placement);
  }
  if (!best) return;
  if (best->victims.empty())
    EmitLoad(*best->server, *want.model);
  else
    EmitUnload(*best->server, best->victims.front(), want.model->name);
}

std::vector<PlacementPlanner::Want> PlacementPlanner::Wants() const {
  std::vector<Want> wants;
  for (const auto& [name, demand] : by_model_) {
    const ModelDescription* model = Describe(name);
    if (model == nullptr) continue;
    const std::size_t copies = Copies(name);
    const bool more = value_.Overloaded(demand, copies) || value_.Late(demand, copies);
    if (OnItsWay(name) && !more) continue;
    double gain = value_.Gain(*model, demand, copies);
    if (copies == 0 && demand.waiting > 0)
      gain += kWaitingWorth * demand.waiting + kUnservedWorth * demand.unserved_s;
    const double late_gain = value_.LateGain(demand, copies);
    if ((gain + late_gain) * kHorizonS > kLeastBenefit) wants.push_back({model, gain, late_gain});
  }
  std::stable_sort(wants.begin(), wants.end(), [](const Want& left, const Want& right) {
    return left.gain + left.late_gain > right.gain + right.late_gain;
  });
  return wants;
}

void PlacementPlanner::PlanModels() {
  for (PlannedServer& server : servers_)
    if (server.accepts_orders && !server.intended.empty()) ContinueIntention(server);
  std::size_t placed = 0;
  for (const Want& want : Wants()) {
    if (placed++ >= kMostWants) break;
    PlaceModel(want);
  }
}

void PlacementPlanner::PlanAdapter(const ModelReference& name, const ModelDemand& demand) {
  const ModelDescription* model = Describe(name.model);
  if (model == nullptr) return;
  PlannedServer* best = nullptr;
  std::size_t holders = 0;
  for (PlannedServer& server : servers_) {
    const HeldModel* held = server.Find(name.model);
    if (held == nullptr || !server.serving) continue;
    if (held->HasAdapter(name.adapter)) {
      ++holders;
      continue;
    }
    if (!server.accepts_orders) continue;
    if (best == nullptr || AdaptersOn(server) < AdaptersOn(*best)) best = &server;
  }
  const double borne = kAdapterShare * limits_.requests_per_server;
  const bool enough = holders > 0 && demand.in_flight <= borne * static_cast<double>(holders);
  if (best == nullptr || enough) return;
  const bool room =
      AdaptersOn(*best) < engine_.adapter_slots && FreeMegabytes(*best) >= model->adapter_mb;
  if (room) {
    steps_.push_back({ServerOrderKind::kLoad, best->id, name, "", false, {}});
    best->accepts_orders = false;
    return;
  }
  ModelReference victim;
  double least = RateOf(name);
  for (const HeldModel& held : best->models)
    for (const std::string& adapter : held.adapters)
      if (const double rate = RateOf({held.name, adapter}); rate < least) {
        least = rate;
        victim = {held.name, adapter};
      }
  if (victim.model.empty()) return;
  steps_.push_back({ServerOrderKind::kUnload, best->id, victim, "", false, {}});
  best->accepts_orders = false;
}

void PlacementPlanner::PlanAdapters() {
  std::vector<std::pair<ModelReference, ModelDemand>> wanted;
  for (const auto& [name, demand] : demand_)
    if (!name.adapter.empty() && (demand.waiting > 0 || demand.in_flight > 0))
      wanted.emplace_back(name, demand);
  std::stable_sort(wanted.begin(), wanted.end(), [](const auto& left, const auto& right) {
    return left.second.waiting > right.second.waiting;
  });
  for (const auto& [name, demand] : wanted) PlanAdapter(name, demand);
}

}  // namespace moorfold
