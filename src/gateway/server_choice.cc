#include "gateway/server_choice.h"

#include <algorithm>

namespace moorfold {

namespace {

constexpr double kPrefillTokensPerMs = 38;
constexpr double kOtherZoneMs = 3;
constexpr double kPermitRequestMs = 10;  ///< A server with a limit needs a permit for each request.
constexpr double kRecentFailureMs = 2'000;
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

std::uint64_t HashAppend(std::uint64_t hash, const std::string& text) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  for (const unsigned char character : text) hash = (hash ^ character) * kPrime;
  return hash;
}

constexpr std::uint64_t kHashOffsetBasis = 14695981039346656037ULL;

/// Maps a hash to a number between 0 and 1.
double Fraction(std::uint64_t hash) {
  constexpr unsigned kTopBits = 40;
  constexpr double kRange = 1 << 24;
  return static_cast<double>(hash >> kTopBits) / kRange;
}

/// @return between 0 and 1, fixed for each pair of daemon and server.
double DaemonTieBreak(const ServerChoiceRequest& request, const std::string& server_id) {
  // Short texts that differ only in the last character differ in few bits of the hash: mix once
  // more.
  constexpr unsigned kShift = 29;
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  std::uint64_t hash = HashAppend(HashAppend(kHashOffsetBasis, request.daemon_name), server_id);
  hash = (hash ^ (hash >> kShift)) * kMultiplier;
  return Fraction(hash);
}

/// @return between 0 and 1, the same at every daemon for a shared prompt prefix and a server.
double FleetTieBreak(const ServerChoiceRequest& request, const std::string& server_id) {
  std::uint64_t hash =
      HashAppend(HashAppend(kHashOffsetBasis, request.model.model), request.model.adapter);
  for (std::size_t part = 0; part + 1 < request.parts.size(); ++part)
    hash = HashAppend(hash, request.parts[part].id);
  return Fraction(HashAppend(hash, server_id));
}

double TotalTokens(const std::vector<PromptPart>& parts) {
  double tokens = 0;
  for (const PromptPart& part : parts) tokens += part.tokens;
  return tokens;
}

double QueueMs(const Server& server, const ServerChoiceRequest& request, SteadyTime now) {
  const double requests = server.ExpectedRequests(now);
  if (request.model.model.empty())
    return kModellessRequestMs * requests / std::max(1U, server.record().slots) +
           kDaemonTieBreakMs * DaemonTieBreak(request, server.record().id);
  return kRunningModelRequestMs * requests + kWaitingModelRequestMs * server.ExpectedWaiting(now);
}

double PromptMs(const Server& server, const ServerChoiceRequest& request) {
  if (request.parts.empty()) return 0;
  const double cached = server.CachedPrefixTokens(request.model, request.parts);
  const double uncached = TotalTokens(request.parts) - cached;
  return uncached / kPrefillTokensPerMs +
         kFleetTieBreakMs * FleetTieBreak(request, server.record().id);
}

double CostMs(const Server& server, const ServerChoiceRequest& request, SteadyTime now) {
  double cost = QueueMs(server, request, now) + PromptMs(server, request);
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

}  // namespace

ServerChoice ChooseServer(const ServerDirectory& directory, const ServerChoiceRequest& request,
                          SteadyTime now) {
  ServerChoice choice;
  const bool service_known = !directory.Of(request.service).empty();
  choice.reason = service_known ? NoServerReason::kModelNotHeld : NoServerReason::kUnknownService;
  const bool of_model = !request.model.model.empty();
  int unlimited = 0;  ///< Usable servers without a stated limit.
  for (const ServerPtr& server :
       of_model ? directory.ServersWithModel(request.service, request.model.model)
                : directory.Of(request.service)) {
    if (of_model && !server->Holds(request.model, now)) continue;
    if (Contains(request.excluded_versions, server->record().software_version)) {
      if (choice.reason != NoServerReason::kAllUnusable)
        choice.reason = NoServerReason::kQuarantined;
      continue;
    }
    if (!server->IsLeaving() && now < server->NextSendTime()) {
      RecordServerAtLimit(*server, choice);
      continue;
    }
    if (!server->Usable(now) || Contains(request.excluded, server->record().id)) {
      choice.reason = NoServerReason::kAllUnusable;
      continue;
    }
    if (!server->advisory_state().limit_per_second) ++unlimited;
    const double cost = CostMs(*server, request, now);
    if (choice.server && cost >= choice.cost_ms) continue;
    choice.server = server;
    choice.cost_ms = cost;
  }
  if (!choice.server) return choice;
  choice.reason = NoServerReason::kNone;
  choice.has_alternative = unlimited > (choice.server->advisory_state().limit_per_second ? 0 : 1);
  return choice;
}

}  // namespace moorfold
