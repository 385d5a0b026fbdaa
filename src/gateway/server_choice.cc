#include "gateway/server_choice.h"

#include <algorithm>

namespace moorfold {

namespace {

constexpr double kPrefillTokensPerMs = 38;
constexpr double kOtherZoneMs = 3;
constexpr double kPermitMs = 10;  ///< Of a server with a limit: its turns are asked for.
constexpr double kSuspectMs = 2'000;
constexpr double kErrorMs = 400;
constexpr double kRunningModelRequestMs = 6;   ///< Each request in a batch slows the others.
constexpr double kWaitingModelRequestMs = 60;  ///< Each waiting one is read before ours.
constexpr double kPlainRequestMs = 20;         ///< Of a request at a full server without models.
constexpr double kSpreadMs = 25;  ///< Daemons without knowledge of a prompt agree on a server.
/// Daemons without prompts to keep each prefer servers of their own: where all take the first of
/// equal cost, a large fleet sends everything to a few. Less than one more request costs.
constexpr double kOwnSpreadMs = 1;

std::uint64_t Mix(std::uint64_t hash, const std::string& text) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  for (const unsigned char character : text) hash = (hash ^ character) * kPrime;
  return hash;
}

constexpr std::uint64_t kBasis = 14695981039346656037ULL;

/// @return between 0 and 1.
double Fraction(std::uint64_t hash) {
  constexpr unsigned kTopBits = 40;
  constexpr double kRange = 1 << 24;
  return static_cast<double>(hash >> kTopBits) / kRange;
}

/// Between 0 and 1, the same for one daemon and one server.
double OwnSpread(const ChoiceRequest& request, const std::string& server_id) {
  // Short texts that differ in their last letter differ in few bits of the sum.
  constexpr unsigned kShift = 29;
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  std::uint64_t hash = Mix(Mix(kBasis, request.chooser), server_id);
  hash = (hash ^ (hash >> kShift)) * kMultiplier;
  return Fraction(hash);
}

/// Between 0 and 1, the same at every daemon for one shared prompt and one server.
double AgreedSpread(const ChoiceRequest& request, const std::string& server_id) {
  std::uint64_t hash = Mix(Mix(kBasis, request.model.model), request.model.adapter);
  for (std::size_t part = 0; part + 1 < request.parts.size(); ++part)
    hash = Mix(hash, request.parts[part].id);
  return Fraction(Mix(hash, server_id));
}

double TotalTokens(const std::vector<PromptPart>& parts) {
  double tokens = 0;
  for (const PromptPart& part : parts) tokens += part.tokens;
  return tokens;
}

double QueueMs(const Server& server, const ChoiceRequest& request, SteadyTime now) {
  const double requests = server.ExpectedRequests(now);
  if (request.model.model.empty())
    return kPlainRequestMs * requests / std::max(1U, server.record().slots) +
           kOwnSpreadMs * OwnSpread(request, server.record().id);
  return kRunningModelRequestMs * requests + kWaitingModelRequestMs * server.ExpectedWaiting(now);
}

double PromptMs(const Server& server, const ChoiceRequest& request) {
  if (request.parts.empty()) return 0;
  const double kept = server.CachedPrefixTokens(request.model, request.parts);
  const double unread = TotalTokens(request.parts) - kept;
  return unread / kPrefillTokensPerMs + kSpreadMs * AgreedSpread(request, server.record().id);
}

double CostMs(const Server& server, const ChoiceRequest& request, SteadyTime now) {
  double cost = QueueMs(server, request, now) + PromptMs(server, request);
  if (server.record().zone != request.zone) cost += kOtherZoneMs;
  if (server.Suspect(now)) cost += kSuspectMs;
  if (server.standing().limit_per_second) cost += kPermitMs;
  return cost + kErrorMs * server.error_share();
}

/// A server that is usable but for what it takes: it is waited for, where there is no other.
void NoteAtLimit(const Server& server, Choice& best) {
  const bool first = best.free_at == SteadyTime{};
  best.free_at = first ? server.NextSendTime() : std::min(best.free_at, server.NextSendTime());
  if (best.reason != NoServerReason::kAllUnusable) best.reason = NoServerReason::kAtLimit;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

Choice ChooseServer(const ServerDirectory& directory, const ChoiceRequest& request,
                    SteadyTime now) {
  Choice best;
  const bool known = !directory.Of(request.service).empty();
  best.reason = known ? NoServerReason::kModelNotHeld : NoServerReason::kUnknownService;
  const bool of_model = !request.model.model.empty();
  int unlimited = 0;  ///< Usable servers that name no limit.
  for (const ServerPtr& server :
       of_model ? directory.ServersWithModel(request.service, request.model.model)
                : directory.Of(request.service)) {
    if (of_model && !server->Holds(request.model, now)) continue;
    if (Contains(request.excluded_versions, server->record().software_version)) {
      if (best.reason != NoServerReason::kAllUnusable) best.reason = NoServerReason::kQuarantined;
      continue;
    }
    if (!server->IsLeaving() && now < server->NextSendTime()) {
      NoteAtLimit(*server, best);
      continue;
    }
    if (!server->Usable(now) || Contains(request.excluded, server->record().id)) {
      best.reason = NoServerReason::kAllUnusable;
      continue;
    }
    if (!server->standing().limit_per_second) ++unlimited;
    const double cost = CostMs(*server, request, now);
    if (best.server && cost >= best.cost_ms) continue;
    best.server = server;
    best.cost_ms = cost;
  }
  if (!best.server) return best;
  best.reason = NoServerReason::kNone;
  best.alternative = unlimited > (best.server->standing().limit_per_second ? 0 : 1);
  return best;
}

}  // namespace moorfold
