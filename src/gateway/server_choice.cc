#include "gateway/server_choice.h"

#include <algorithm>

#include "balancing/prefill_rate.h"
#include "balancing/server_pools.h"
#include "common/stable_hash.h"

namespace moorfold {

namespace {

constexpr double kOtherZoneMs = 3;
constexpr double kPermitRequestMs = 10;  ///< A server with a limit needs a permit for each request.
constexpr double kRecentFailureMs = 2'000;
/// More than a cached prompt saves (240 ms for 9,000 tokens) and less than a recent failure costs,
/// so that a server of the other pool is chosen over a failing one.
constexpr double kOtherPoolMs = 300;
constexpr double kErrorShareMs = 400;
constexpr double kRunningModelRequestMs = 6;  ///< Each request in a batch slows down the others.
/// Each queued request is prefilled before this one.
constexpr double kWaitingModelRequestMs = 60;
constexpr double kModellessRequestMs = 20;  ///< Of a request at a full server that holds no models.
/// Lets daemons that have not seen a prompt still choose the same server for it.
constexpr double kFleetTieBreakMs = 25;
/// Without prompts to cache, each daemon prefers different servers: if all chose the first of equal
/// cost, a large fleet would send everything to a few servers. Less than the cost of one request.
constexpr double kDaemonTieBreakMs = 1;

/// Maps a hash to a number between 0 and 1.
double Fraction(std::uint64_t hash) {
  constexpr unsigned kTopBits = 40;
  constexpr double kRange = 1 << 24;
  return static_cast<double>(hash >> kTopBits) / kRange;
}

/// @return between 0 and 1, fixed for each pair of daemon and server.
double DaemonTieBreak(const ServerChoiceRequest& request, const std::string& server_id) {
  return Fraction(
      MixHash(HashAppend(HashAppend(kHashOffsetBasis, request.daemon_name), server_id)));
}

/// What the cost of each server needs of a prompt, computed once for a choice among many.
struct PromptSummary {
  double tokens = 0;
  std::uint64_t prefix_hash = 0;  ///< Of the model and the parts that requests share.
};

PromptSummary Summarize(const ServerChoiceRequest& request) {
  std::uint64_t hash =
      HashAppend(HashAppend(kHashOffsetBasis, request.model.model), request.model.adapter);
  for (std::size_t part = 0; part + 1 < request.parts.size(); ++part)
    hash = HashAppend(hash, request.parts[part].id);
  return {TotalTokens(request.parts), hash};
}

/// @return between 0 and 1, the same at every daemon for a shared prompt prefix and a server.
double FleetTieBreak(const PromptSummary& prompt, const std::string& server_id) {
  return Fraction(HashAppend(prompt.prefix_hash, server_id));
}

double QueueMs(const Server& server, const ServerChoiceRequest& request, SteadyTime now) {
  const double requests = server.ExpectedRequests(now);
  if (request.model.model.empty())
    return kModellessRequestMs * requests / std::max(1U, server.record().slots) +
           kDaemonTieBreakMs * DaemonTieBreak(request, server.record().id);
  return kRunningModelRequestMs * requests + kWaitingModelRequestMs * server.ExpectedWaiting(now);
}

double PromptMs(const Server& server, const ServerChoiceRequest& request,
                const PromptSummary& prompt) {
  if (request.parts.empty()) return 0;
  const double cached = server.CachedPrefixTokens(request.model, request.parts);
  const double uncached = prompt.tokens - cached;
  return uncached / balancing::kPrefillTokensPerMs +
         kFleetTieBreakMs * FleetTieBreak(prompt, server.record().id);
}

double CostMs(const Server& server, const ServerChoiceRequest& request, const PromptSummary& prompt,
              SteadyTime now) {
  double cost = QueueMs(server, request, now) + PromptMs(server, request, prompt);
  if (server.record().zone != request.zone) cost += kOtherZoneMs;
  if (server.Suspect(now)) cost += kRecentFailureMs;
  if (server.advisory_state().limit_per_second) cost += kPermitRequestMs;
  return cost + kErrorShareMs * server.error_share();
}

/// Records a server that is usable except for its limit: the request waits for it if there is no
/// other.
void RecordServerAtLimit(const Server& server, ServerChoice& choice) {
  const bool first = choice.capacity_at == SteadyTime{};
  choice.capacity_at =
      first ? server.NextSendTime() : std::min(choice.capacity_at, server.NextSendTime());
  if (choice.reason != NoServerReason::kAllUnusable) choice.reason = NoServerReason::kAtLimit;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

const ServerDirectory::Servers& ServersFor(const ServerDirectory& directory,
                                           const ServerChoiceRequest& request) {
  return request.model.model.empty()
             ? directory.Of(request.service)
             : directory.ServersWithModel(request.service, request.model.model);
}

bool HasRequiredVersion(const Server& server, const ServerChoiceRequest& request) {
  return !request.required_version || server.record().software_version == *request.required_version;
}

/// @return whether the service has a server of the required version that is not leaving.
bool IsVersionServed(const ServerDirectory::Servers& servers, const ServerChoiceRequest& request) {
  return std::any_of(servers.begin(), servers.end(), [&](const ServerPtr& server) {
    return HasRequiredVersion(*server, request) && !server->IsLeaving();
  });
}

/// @return whether the server holds the request's model and can take the request now. If not, why
/// is recorded in `choice`.
bool CanTake(const Server& server, const ServerChoiceRequest& request, SteadyTime now,
             ServerChoice& choice) {
  if (!HasRequiredVersion(server, request)) return false;
  if (!request.model.model.empty() && !server.Holds(request.model, now)) return false;
  if (Contains(request.excluded_versions, server.record().software_version)) {
    if (choice.reason != NoServerReason::kAllUnusable) choice.reason = NoServerReason::kQuarantined;
    return false;
  }
  if (!server.IsLeaving() && now < server.NextSendTime()) {
    RecordServerAtLimit(server, choice);
    return false;
  }
  if (!server.Usable(now) || Contains(request.excluded, server.record().id)) {
    choice.reason = NoServerReason::kAllUnusable;
    return false;
  }
  return true;
}

using Candidates = std::vector<const ServerPtr*>;

/// @return the pools of the candidates; without any for a neutral request, which has no pool.
balancing::ServerPools DivideCandidates(const Candidates& candidates, balancing::RequestWork work) {
  balancing::ServerPools pools;
  if (work == balancing::RequestWork::kNeutral) return pools;
  pools.Reserve(candidates.size());
  for (const ServerPtr* server : candidates) pools.Add((*server)->rank());
  pools.Divide();
  return pools;
}

/// Sets the server with the lowest cost; the first of equal ones.
void ChooseCandidate(const Candidates& candidates, const ServerChoiceRequest& request,
                     SteadyTime now, ServerChoice& choice) {
  const balancing::ServerPools pools = DivideCandidates(candidates, request.work);
  const PromptSummary prompt = Summarize(request);
  for (const ServerPtr* server : candidates) {
    const bool other_pool = pools.InOtherPool((*server)->rank(), request.work);
    const double cost = CostMs(**server, request, prompt, now) + (other_pool ? kOtherPoolMs : 0);
    if (choice.server && cost >= choice.cost_ms) continue;
    choice.server = *server;
    choice.cost_ms = cost;
    choice.other_pool = other_pool;
  }
}

}  // namespace

std::vector<std::string> UnreachableCandidates(const ServerDirectory& directory,
                                               const ServerChoiceRequest& request, SteadyTime now) {
  std::vector<std::string> ids;
  for (const ServerPtr& server : ServersFor(directory, request)) {
    const bool holds = request.model.model.empty() || server->Holds(request.model, now);
    if (holds && HasRequiredVersion(*server, request) && server->Unreachable(now) &&
        !server->RejectsRequests(now) &&
        !Contains(request.excluded_versions, server->record().software_version))
      ids.push_back(server->record().id);
  }
  return ids;
}

ServerChoice ChooseServer(const ServerDirectory& directory, const ServerChoiceRequest& request,
                          SteadyTime now) {
  ServerChoice choice;
  const bool service_known = !directory.Of(request.service).empty();
  choice.reason = service_known ? NoServerReason::kModelNotHeld : NoServerReason::kUnknownService;
  if (request.required_version && service_known &&
      !IsVersionServed(directory.Of(request.service), request)) {
    choice.reason = NoServerReason::kVersionNotServed;
    return choice;
  }
  int unlimited = 0;  ///< Usable servers without a stated limit.
  const ServerDirectory::Servers& servers = ServersFor(directory, request);
  Candidates candidates;
  candidates.reserve(servers.size());
  for (const ServerPtr& server : servers) {
    if (!CanTake(*server, request, now, choice)) continue;
    if (!server->advisory_state().limit_per_second) ++unlimited;
    candidates.push_back(&server);
  }
  if (candidates.empty()) return choice;
  ChooseCandidate(candidates, request, now, choice);
  choice.reason = NoServerReason::kNone;
  choice.has_alternative = unlimited > (choice.server->advisory_state().limit_per_second ? 0 : 1);
  return choice;
}

}  // namespace moorfold
