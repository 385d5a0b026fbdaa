#include "fleet/placement_planner.h"

#include <algorithm>
#include <cmath>

namespace moorfold {

namespace {

/// Requests of one model that one server serves at once without slowing down much.
constexpr double kComfortableRequests = 10;
/// Prompt tokens a second that one server reads without a queue; most of a prompt is kept.
constexpr double kComfortableTokens = 60'000;
/// Above so much of its comfort, a model gets another server before requests queue.
constexpr double kSpreadAt = 1.0;
constexpr double kWaitingUrgency = 100;
/// Fewer requests a second than that count as none.
constexpr double kIdleRate = 0.03;
/// Losses, in request-seconds: of an idle model, by when it was last asked for; of one of more
/// copies than are needed, whose requests have to run to their end first; of one that is needed.
constexpr double kIdleLoss = 0.4;
constexpr double kIdleLossHalvesAfterS = 5;
constexpr double kSurplusLoss = 0.5;
constexpr double kBusyLoss = 5;
constexpr double kRelaxedRequests = 6;
constexpr double kRelaxedTokens = 40'000;
/// Waiting requests are worth so many request-seconds each against what others lose.
constexpr double kWaitingWorth = 3;
constexpr double kRecentS = 6;
constexpr double kImpossible = -1;
/// Models placed by one plan, the most urgent first; the next plan comes soon.
constexpr std::size_t kMostWants = 16;

double Seconds(std::chrono::steady_clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

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
      now_(now) {
  for (const ModelDescription& model : engine_.models) descriptions_[model.name] = &model;
  CountCopies();
  for (const auto& [name, demanded] : demand_) {
    ModelDemand& whole = by_model_[name.model];
    whole.in_flight += demanded.in_flight;
    whole.arrivals_per_second += demanded.arrivals_per_second;
    whole.tokens_per_second += demanded.tokens_per_second;
    whole.last_seen = std::max(whole.last_seen, demanded.last_seen);
    // A request that waits for an adapter waits for its model only where the model is nowhere.
    const bool adapter_only = !name.adapter.empty() && Copies(name.model) > 0;
    if (!adapter_only) whole.waiting += demanded.waiting;
  }
}

std::vector<PlacementStep> PlacementPlanner::Plan() {
  PlanAdapters();
  PlanModels();
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
      if (!expected->empty() && server.Find(*expected) == nullptr) ++copies_[*expected];
  }
}

std::size_t PlacementPlanner::Copies(const std::string& model) const {
  const auto found = copies_.find(model);
  return found == copies_.end() ? 0 : found->second;
}

double PlacementPlanner::CopiesWanted(const ModelDescription& model) const {
  const ModelDemand demand = WholeDemand(model.name);
  const double by_requests = demand.in_flight / kComfortableRequests;
  const double by_tokens = demand.tokens_per_second / kComfortableTokens;
  const bool recent = Seconds(now_ - demand.last_seen) < kRecentS;
  const double least = demand.waiting > 0 || (recent && demand.arrivals_per_second > 0) ? 1 : 0;
  return std::max(least, std::max(by_requests, by_tokens) / kSpreadAt);
}

bool PlacementPlanner::FromWeightStore(const PlannedServer& server,
                                       const std::string& model) const {
  return !Contains(server.in_memory, model) && !Contains(server.on_disk, model);
}

double PlacementPlanner::LoadSeconds(const PlannedServer& server,
                                     const ModelDescription& model) const {
  if (Contains(server.in_memory, model.name))
    return std::chrono::duration<double>(model.warm_load_time).count();
  if (Contains(server.on_disk, model.name))
    return std::chrono::duration<double>(model.disk_load_time).count();
  return std::chrono::duration<double>(model.load_time).count();
}

bool PlacementPlanner::Idle(const ModelDemand& demand) {
  return demand.in_flight <= 0 && demand.waiting <= 0 && demand.arrivals_per_second < kIdleRate;
}

/// What is lost, in request-seconds, when the model leaves one of its servers.
double PlacementPlanner::ComputeLoss(const std::string& model) const {
  if (Describe(model) == nullptr) return 0;
  const ModelDemand demand = WholeDemand(model);
  const double copies = static_cast<double>(std::max<std::size_t>(1, Copies(model)));
  const double idle_s = std::max(0.0, Seconds(now_ - demand.last_seen));
  if (Idle(demand)) {
    const double only_copy = copies > 1 ? 0.5 : 1;
    return only_copy * kIdleLoss / (1 + idle_s / kIdleLossHalvesAfterS);
  }
  const double left = copies - 1;
  const bool enough_left = left >= 1 && demand.in_flight <= kRelaxedRequests * left &&
                           demand.tokens_per_second <= kRelaxedTokens * left;
  if (enough_left) return kSurplusLoss + demand.in_flight / copies;
  return kBusyLoss + demand.in_flight + demand.arrivals_per_second;
}

double PlacementPlanner::LossOf(const std::string& model) {
  const auto [loss, fresh] = losses_.try_emplace(model, 0);
  if (fresh) loss->second = ComputeLoss(model);
  return loss->second;
}

double PlacementPlanner::PlacementCost(const PlannedServer& server, const ModelDescription& model,
                                       std::vector<std::string>& victims) {
  if (!server.orderable || !server.intended.empty() || !server.incoming.empty()) return kImpossible;
  if (server.Find(model.name) != nullptr) return kImpossible;
  if (FromWeightStore(server, model.name) && limits_.weight_store_loads < 1) return kImpossible;
  double cost = LoadSeconds(server, model);
  double free = FreeMegabytes(server);
  std::vector<const HeldModel*> held;
  for (const HeldModel& candidate : server.models) held.push_back(&candidate);
  std::sort(held.begin(), held.end(), [&](const HeldModel* left, const HeldModel* right) {
    return LossOf(left->name) < LossOf(right->name);
  });
  for (const HeldModel* candidate : held) {
    if (free >= model.weights_mb) break;
    free += HeldMegabytes(*candidate);
    cost += LossOf(candidate->name);
    victims.push_back(candidate->name);
  }
  return free >= model.weights_mb ? cost : kImpossible;
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
  server.orderable = false;
}

void PlacementPlanner::EmitUnload(PlannedServer& server, const std::string& model,
                                  const std::string& intended) {
  steps_.push_back({ServerOrderKind::kUnload, server.id, {model, ""}, intended, false, {}});
  ++copies_[intended];
  --copies_[model];
  losses_.erase(model);
  server.intended = intended;
  server.orderable = false;
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
  std::vector<std::string> victims;
  if (PlacementCost(server, *model, victims) < 0) return false;
  if (victims.empty())
    EmitLoad(server, *model);
  else
    EmitUnload(server, victims.front(), intended);
  return true;
}

void PlacementPlanner::PlaceModel(const ModelDescription& model) {
  PlannedServer* best = nullptr;
  double best_cost = 0;
  std::vector<std::string> best_victims;
  for (PlannedServer& server : servers_) {
    std::vector<std::string> victims;
    const double cost = PlacementCost(server, model, victims);
    if (cost < 0 || (best != nullptr && cost >= best_cost)) continue;
    best = &server;
    best_cost = cost;
    best_victims = victims;
  }
  if (best == nullptr) return;
  const ModelDemand demand = WholeDemand(model.name);
  const double gain = kWaitingWorth * demand.waiting +
                      demand.in_flight / static_cast<double>(1 + Copies(model.name));
  const double loss = best_cost - LoadSeconds(*best, model);
  if (loss > gain) return;  // It would cost others more than it helps.
  if (best_victims.empty())
    EmitLoad(*best, model);
  else
    EmitUnload(*best, best_victims.front(), model.name);
}

std::vector<PlacementPlanner::Want> PlacementPlanner::Wants() const {
  std::vector<Want> wants;
  for (const auto& [name, demand] : by_model_) {
    const ModelDescription* model = Describe(name);
    if (model == nullptr) continue;
    const double copies = static_cast<double>(Copies(name));
    const double wanted = CopiesWanted(*model);
    if (copies >= wanted) continue;
    const double urgency = copies == 0 ? kWaitingUrgency * (1 + demand.waiting) : wanted - copies;
    wants.push_back({model, urgency});
  }
  std::stable_sort(wants.begin(), wants.end(), [](const Want& left, const Want& right) {
    return left.urgency > right.urgency;
  });
  return wants;
}

void PlacementPlanner::PlanModels() {
  for (PlannedServer& server : servers_)
    if (server.orderable && !server.intended.empty()) ContinueIntention(server);
  std::size_t placed = 0;
  for (const Want& want : Wants()) {
    if (placed++ >= kMostWants) break;
    PlaceModel(*want.model);
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
    if (!server.orderable) continue;
    if (best == nullptr || AdaptersOn(server) < AdaptersOn(*best)) best = &server;
  }
  const bool enough =
      holders > 0 && demand.in_flight <= kComfortableRequests * static_cast<double>(holders);
  if (best == nullptr || enough) return;
  const bool room =
      AdaptersOn(*best) < engine_.adapter_slots && FreeMegabytes(*best) >= model->adapter_mb;
  if (room) {
    steps_.push_back({ServerOrderKind::kLoad, best->id, name, "", false, {}});
    best->orderable = false;
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
  best->orderable = false;
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
