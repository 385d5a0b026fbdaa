#include "gateway/server_directory.h"

#include <algorithm>

namespace moorfold {

namespace {

constexpr std::chrono::milliseconds kOverrideLifetime{3'000};
constexpr std::chrono::milliseconds kFullDuration{100};
constexpr std::chrono::milliseconds kMinSuspectDuration{300};
constexpr std::chrono::milliseconds kMaxSuspectDuration{3'000};
constexpr std::chrono::milliseconds kStatedLoadLifetime{1'000};
constexpr double kErrorWeight =
    0.2;  ///< Weight of the newest response in the moving average of failures.

bool Names(const ServerRecord& record, const std::string& model) {
  return std::any_of(record.models.begin(), record.models.end(),
                     [&](const LoadedModel& held) { return held.name == model; });
}

}  // namespace

std::uint64_t RecentPrompts::Hash(std::uint64_t before, const std::string& part) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kShift = 29;
  std::uint64_t hash = before ^ std::hash<std::string>{}(part);
  hash *= kMultiplier;
  return hash ^ (hash >> kShift);
}

std::uint64_t RecentPrompts::Start(const ModelReference& model) {
  return Hash(Hash(0, model.model), model.adapter);
}

void RecentPrompts::Remember(const ModelReference& model, const std::vector<PromptPart>& parts) {
  std::uint64_t hash = Start(model);
  for (const PromptPart& part : parts) {
    hash = Hash(hash, part.id);
    order_.push_back(hash);
    ++counts_[hash];
  }
  while (order_.size() > kMaxParts) {
    const auto oldest = counts_.find(order_.front());
    if (--oldest->second == 0) counts_.erase(oldest);
    order_.pop_front();
  }
}

double RecentPrompts::CachedPrefixTokens(const ModelReference& model,
                                         const std::vector<PromptPart>& parts) const {
  std::uint64_t hash = Start(model);
  double tokens = 0;
  for (const PromptPart& part : parts) {
    hash = Hash(hash, part.id);
    if (!counts_.contains(hash)) break;
    tokens += part.tokens;
  }
  return tokens;
}

void Server::Update(ServerRecord record, SteadyTime now) {
  std::erase_if(overrides_,
                [&](const ModelOverride& model_override) { return model_override.until <= now; });
  record_ = std::move(record);
}

const Server::ModelOverride* Server::FindOverride(const ModelReference& model,
                                                  SteadyTime now) const {
  for (const ModelOverride& model_override : overrides_)
    if (model_override.model == model && model_override.until > now) return &model_override;
  return nullptr;
}

bool Server::InRecord(const ModelReference& model) const {
  for (const LoadedModel& held : record_.models)
    if (held.name == model.model) return model.adapter.empty() || held.HasAdapter(model.adapter);
  return false;
}

bool Server::Holds(const ModelReference& model, SteadyTime now) const {
  // Most servers have no override; a choice among many must not copy the model's name for each.
  if (overrides_.empty()) return InRecord(model);
  const ModelOverride* base = FindOverride({model.model, ""}, now);
  if (base != nullptr && !base->held) return false;
  if (const ModelOverride* model_override = FindOverride(model, now)) return model_override->held;
  return InRecord(model);
}

void Server::SetOverride(const ModelReference& model, SteadyTime until, bool held, SteadyTime now) {
  std::erase_if(overrides_, [&](const ModelOverride& model_override) {
    return model_override.until <= now || model_override.model == model;
  });
  overrides_.push_back({model, until, held});
}

void Server::RecordModelHeld(const ModelReference& model, SteadyTime now) {
  SetOverride(model, now + kOverrideLifetime, true, now);
}

void Server::RecordModelMissing(const ModelReference& model, SteadyTime now,
                                std::chrono::milliseconds lifetime) {
  SetOverride(model, now + lifetime, false, now);
}

bool Server::Usable(SteadyTime now) const {
  return !IsLeaving() && now >= full_until_ && !Unreachable(now);
}

void Server::RecordSuccess() {
  failures_in_row_ = 0;
  suspect_until_ = {};
  unreachable_until_ = {};
  error_share_ *= 1 - kErrorWeight;
}

void Server::RecordErrorResponse() { error_share_ += (1 - error_share_) * kErrorWeight; }

void Server::RecordFailure(SteadyTime now) {
  constexpr std::uint32_t kMaxDoublings = 4;
  RecordErrorResponse();
  const auto length = kMinSuspectDuration * (1U << std::min(failures_in_row_, kMaxDoublings));
  ++failures_in_row_;
  suspect_until_ = now + std::min<std::chrono::milliseconds>(length, kMaxSuspectDuration);
}

void Server::MarkUnreachable(SteadyTime now) {
  RecordFailure(now);
  unreachable_until_ = suspect_until_;
}

void Server::MarkFull(SteadyTime now) { full_until_ = now + kFullDuration; }

void Server::NoteLoad(std::uint32_t running, std::uint32_t waiting, SteadyTime now) {
  stated_running_ = running;
  stated_waiting_ = waiting;
  in_flight_when_stated_ = in_flight_;
  stated_at_ = now;
}

double Server::ExpectedRequests(SteadyTime now) const {
  const double own = in_flight_;
  if (now - stated_at_ > kStatedLoadLifetime) return own;
  const double since = own - in_flight_when_stated_;
  return std::max(own, stated_running_ + stated_waiting_ + since);
}

double Server::ExpectedWaiting(SteadyTime now) const {
  return now - stated_at_ > kStatedLoadLifetime ? 0 : stated_waiting_;
}

void Server::RecordPrompt(const ModelReference& model, const std::vector<PromptPart>& parts) {
  if (!prompts_) prompts_ = std::make_unique<RecentPrompts>();
  prompts_->Remember(model, parts);
}

double Server::CachedPrefixTokens(const ModelReference& model,
                                  const std::vector<PromptPart>& parts) const {
  return prompts_ ? prompts_->CachedPrefixTokens(model, parts) : 0;
}

bool ServerDirectory::Put(ServerRecord record, SteadyTime now) {
  const auto found = by_id_.find(record.id);
  ServerAdvisoryState kept_advisory_state;
  if (found != by_id_.end()) {
    const ServerPtr known = found->second;
    const ServerRecord& before = known->record();
    if (IsLaterIncarnation(before.incarnation, record.incarnation)) return false;
    if (before.service == record.service &&
        !IsLaterIncarnation(record.incarnation, before.incarnation)) {
      Reindex(known, record);
      known->Update(std::move(record), now);
      return true;
    }
    if (!IsLaterIncarnation(record.incarnation, before.incarnation))
      kept_advisory_state = known->advisory_state();
    Remove(before.id);
  }
  auto server = std::make_shared<Server>(std::move(record));
  server->Restore(kept_advisory_state);
  by_id_[server->record().id] = server;
  by_service_[server->record().service].servers.push_back(server);
  for (const LoadedModel& held : server->record().models) Index(server, held.name);
  return true;
}

void ServerDirectory::RecordModelHeld(const ServerPtr& server, const ModelReference& model,
                                      SteadyTime now) {
  server->RecordModelHeld(model, now);
  Index(server, model.model);
}

void ServerDirectory::Index(const ServerPtr& server, const std::string& model) {
  Servers& holding = by_service_[server->record().service].by_model[model];
  if (std::find(holding.begin(), holding.end(), server) == holding.end()) holding.push_back(server);
}

void ServerDirectory::Reindex(const ServerPtr& server, const ServerRecord& next) {
  const ServerRecord& before = server->record();
  Service& service = by_service_[before.service];
  for (const LoadedModel& held : before.models)
    if (!Names(next, held.name)) std::erase(service.by_model[held.name], server);
  for (const LoadedModel& held : next.models)
    if (!Names(before, held.name)) Index(server, held.name);
}

void ServerDirectory::Retire(const ServerPtr& server) {
  server->MarkGone();
  Service& service = by_service_[server->record().service];
  std::erase(service.servers, server);
  // An override may have indexed it under models that its record does not list.
  for (auto& [model, holding] : service.by_model) std::erase(holding, server);
}

void ServerDirectory::Remove(const std::string& id) {
  const auto found = by_id_.find(id);
  if (found == by_id_.end()) return;
  Retire(found->second);
  by_id_.erase(found);
}

ServerPtr ServerDirectory::Find(const std::string& id) const {
  const auto found = by_id_.find(id);
  return found == by_id_.end() ? nullptr : found->second;
}

const ServerDirectory::Servers& ServerDirectory::Of(const std::string& service) const {
  static const Servers kNone;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? kNone : found->second.servers;
}

const ServerDirectory::Servers& ServerDirectory::ServersWithModel(const std::string& service,
                                                                  const std::string& model) const {
  static const Servers kNone;
  const auto found = by_service_.find(service);
  if (found == by_service_.end()) return kNone;
  const auto holding = found->second.by_model.find(model);
  return holding == found->second.by_model.end() ? kNone : holding->second;
}

}  // namespace moorfold
