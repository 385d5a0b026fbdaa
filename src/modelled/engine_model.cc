#include "modelled/engine_model.h"

#include <algorithm>

namespace moorfold {
namespace {
/// Checkpoints that the host's memory keeps after a release.
constexpr std::size_t kMemoryCacheSize = 4;
}  // namespace

EngineModel::EngineModel(ServerName name, MebiBytes memory, Incarnation incarnation,
                         EngineBugs bugs)
    : name_(std::move(name)), memory_total_(memory), incarnation_(incarnation), bugs_(bugs) {}

MebiBytes EngineModel::memory_used() const {
  MebiBytes used = 0;
  for (const auto& [servable, replica] : replicas_) used += replica.memory;
  return used;
}

std::uint32_t EngineModel::running() const {
  std::uint32_t running = 0;
  for (const auto& [servable, replica] : replicas_) running += replica.running;
  return running;
}

bool EngineModel::IsReady(const ModelVersion& servable) const {
  const auto found = replicas_.find(servable);
  return found != replicas_.end() && found->second.state == ReplicaState::kReady;
}

CacheTier EngineModel::TierOf(const ModelName& model) const {
  const bool in_memory = std::find(cached_in_memory_.begin(), cached_in_memory_.end(), model) !=
                         cached_in_memory_.end();
  if (in_memory) return CacheTier::kMemory;
  return cached_on_disk_.contains(model) ? CacheTier::kDisk : CacheTier::kRemote;
}

std::vector<ModelVersion> EngineModel::Servables() const {
  std::vector<ModelVersion> servables;
  for (const auto& [servable, replica] : replicas_) servables.push_back(servable);
  return servables;
}

std::vector<EngineModel::ReplicaUse> EngineModel::Uses() const {
  std::vector<ReplicaUse> uses;
  for (const auto& [servable, replica] : replicas_)
    uses.push_back({replica.memory, replica.state == ReplicaState::kReady, replica.running});
  return uses;
}

OrderDecision EngineModel::Begin(const Order& order) {
  if (order.incarnation != incarnation_ && !bugs_.ignore_incarnation)
    return {true, OrderOutcome::kWrongIncarnation};
  Revision& fence = fences_[order.servable];
  if (order.fence < fence && !bugs_.ignore_fence) return {true, OrderOutcome::kStaleFence};
  fence = std::max(fence, order.fence);
  ++sequence_;
  switch (order.kind) {
    case OrderKind::kLoad:
      return BeginLoad(order);
    case OrderKind::kRelease:
      return BeginRelease(order);
    case OrderKind::kLoadAdapter:
    case OrderKind::kReleaseAdapter:
      return ChangeAdapter(order);
    case OrderKind::kStage:
      cached_on_disk_.insert(order.servable.model);
      return {true, OrderOutcome::kDone};
  }
  return {true, OrderOutcome::kFailed};
}

OrderDecision EngineModel::BeginLoad(const Order& order) {
  const auto found = replicas_.find(order.servable);
  if (found != replicas_.end()) {
    if (found->second.state == ReplicaState::kReady) return {true, OrderOutcome::kDone};
    if (found->second.state == ReplicaState::kReleasing) return {true, OrderOutcome::kFailed};
    return {false, OrderOutcome::kDone};  // Joins the load in progress.
  }
  if (leaving_) return {true, OrderOutcome::kFailed};
  const bool fits = memory_used() + order.memory <= memory_total_;
  if (!fits && !bugs_.ignore_memory) return {true, OrderOutcome::kNoMemory};
  replicas_[order.servable].memory = order.memory;
  return {false, OrderOutcome::kDone};
}

OrderDecision EngineModel::BeginRelease(const Order& order) {
  const auto found = replicas_.find(order.servable);
  if (found == replicas_.end()) return {true, OrderOutcome::kDone};
  cached_in_memory_.remove(order.servable.model);
  cached_in_memory_.push_back(order.servable.model);
  if (cached_in_memory_.size() > kMemoryCacheSize) cached_in_memory_.pop_front();
  if (found->second.running == 0) {
    replicas_.erase(found);
    return {true, OrderOutcome::kDone};
  }
  found->second.state = ReplicaState::kReleasing;
  return {false, OrderOutcome::kDone};
}

OrderDecision EngineModel::ChangeAdapter(const Order& order) {
  const auto found = replicas_.find(order.servable);
  if (found == replicas_.end() || found->second.state != ReplicaState::kReady)
    return {true, OrderOutcome::kFailed};
  std::list<AdapterName>& adapters = found->second.adapters;
  for (const AdapterName& evicted : order.evicted_adapters) adapters.remove(evicted);
  adapters.remove(order.adapter);
  if (order.kind == OrderKind::kLoadAdapter) adapters.push_back(order.adapter);
  return {true, OrderOutcome::kDone};
}

bool EngineModel::FinishLoad(const ModelVersion& servable) {
  const auto found = replicas_.find(servable);
  if (found == replicas_.end() || found->second.state != ReplicaState::kLoading) return false;
  found->second.state = ReplicaState::kReady;
  cached_on_disk_.insert(servable.model);
  ++sequence_;
  return true;
}

void EngineModel::AbortLoad(const ModelVersion& servable) {
  const auto found = replicas_.find(servable);
  if (found == replicas_.end() || found->second.state != ReplicaState::kLoading) return;
  replicas_.erase(found);
  ++sequence_;
}

StartRefusal EngineModel::StartRequest(const ModelName& model, const AdapterName& adapter,
                                       ModelVersion* served_by) {
  if (leaving_) return StartRefusal::kLeaving;
  auto newest = replicas_.end();
  for (auto it = replicas_.lower_bound({model, 0});
       it != replicas_.end() && it->first.model == model; ++it)
    if (it->second.state == ReplicaState::kReady) newest = it;
  if (newest == replicas_.end()) return StartRefusal::kNotLoaded;
  Replica& replica = newest->second;
  if (!adapter.empty()) {
    const auto present = std::find(replica.adapters.begin(), replica.adapters.end(), adapter);
    if (present == replica.adapters.end()) return StartRefusal::kAdapterNotLoaded;
    replica.adapters.splice(replica.adapters.end(), replica.adapters, present);
  }
  ++replica.running;
  if (served_by != nullptr) *served_by = newest->first;
  return StartRefusal::kNone;
}

void EngineModel::EndRequest(const ModelVersion& servable) {
  const auto found = replicas_.find(servable);
  if (found == replicas_.end() || found->second.running == 0) return;
  Replica& replica = found->second;
  --replica.running;
  if (replica.running > 0 || replica.state != ReplicaState::kReleasing) return;
  replicas_.erase(found);
  ++sequence_;
}

void EngineModel::SetQueued(const ModelVersion& servable, std::uint32_t queued) {
  const auto found = replicas_.find(servable);
  if (found != replicas_.end()) found->second.queued = queued;
}

void EngineModel::Restart(Incarnation incarnation) {
  incarnation_ = incarnation;
  replicas_.clear();
  fences_.clear();
  cached_in_memory_.clear();
  sequence_ = 0;
  leaving_ = false;
}

ServerReport EngineModel::Report() {
  ServerReport report;
  report.server = name_;
  report.incarnation = incarnation_;
  report.sequence = ++sequence_;
  report.memory_total = memory_total_;
  report.memory_used = memory_used();
  report.leaving = leaving_;
  report.cached_on_disk = {cached_on_disk_.begin(), cached_on_disk_.end()};
  for (const auto& [servable, replica] : replicas_)
    report.replicas.push_back({servable,
                               replica.state,
                               replica.running,
                               replica.queued,
                               {replica.adapters.begin(), replica.adapters.end()}});
  return report;
}

}  // namespace moorfold
