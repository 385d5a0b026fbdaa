#include "balancing/separation_policy.h"

#include <algorithm>
#include <vector>

#include "balancing/prefill_rate.h"

namespace moorfold::balancing {

namespace {

/// Share of the gap target that the prefill of a prompt may take: two prompts in a row that take
/// more exceed the target.
constexpr double kLongPrefillGapShare = 0.5;

bool SendsTo(const Route& route, const std::string& service) {
  return std::any_of(route.services.begin(), route.services.end(),
                     [&](const WeightedService& weighted) {
                       return weighted.service == service && weighted.weight > 0;
                     });
}

std::vector<const Route*> StreamRoutesOf(const RoutingConfiguration& configuration,
                                         const std::string& service) {
  std::vector<const Route*> routes;
  for (const Route& route : configuration.routes)
    if (route.type == RouteType::kStream && SendsTo(route, service)) routes.push_back(&route);
  return routes;
}

/// @return the smallest gap target over 0 of the routes with this priority; 0: none.
Milliseconds SmallestGapTarget(const std::vector<const Route*>& routes, std::uint32_t priority) {
  Milliseconds smallest{0};
  for (const Route* route : routes) {
    if (route->priority != priority || route->gap_target.count() <= 0) continue;
    smallest = smallest.count() == 0 ? route->gap_target : std::min(smallest, route->gap_target);
  }
  return smallest;
}

}  // namespace

const char* Name(RequestWork work) {
  switch (work) {
    case RequestWork::kNeutral:
      return "neutral";
    case RequestWork::kPaced:
      return "paced";
    case RequestWork::kLongPrompt:
      return "long_prompt";
  }
  return "neutral";
}

SeparationPolicy::SeparationPolicy(const RoutingConfiguration& configuration,
                                   const std::string& service) {
  const ServiceDescription* description = configuration.FindService(service);
  if (description == nullptr || !description->engine) return;
  const std::vector<const Route*> routes = StreamRoutesOf(configuration, service);
  if (routes.empty()) return;
  const auto [most_urgent, least_urgent] = std::minmax_element(
      routes.begin(), routes.end(),
      [](const Route* left, const Route* right) { return left->priority < right->priority; });
  urgent_priority_ = (*most_urgent)->priority;
  const Milliseconds gap_target = SmallestGapTarget(routes, urgent_priority_);
  long_prompt_tokens_ =
      kLongPrefillGapShare * static_cast<double>(gap_target.count()) * kPrefillTokensPerMs;
  enabled_ = (*least_urgent)->priority != urgent_priority_ && gap_target.count() > 0;
}

RequestWork SeparationPolicy::Classify(const Route& route, double prompt_tokens) const {
  if (!enabled_) return RequestWork::kNeutral;
  const bool long_prompt = prompt_tokens > long_prompt_tokens_;
  if (route.priority > urgent_priority_)
    return long_prompt ? RequestWork::kLongPrompt : RequestWork::kNeutral;
  const bool urgent = route.type == RouteType::kStream && route.priority == urgent_priority_;
  return urgent && !long_prompt ? RequestWork::kPaced : RequestWork::kNeutral;
}

SeparationPolicies MakeSeparationPolicies(const RoutingConfiguration& configuration) {
  SeparationPolicies policies;
  for (const ServiceDescription& service : configuration.services)
    if (service.engine)
      policies.emplace(service.name, SeparationPolicy(configuration, service.name));
  return policies;
}

}  // namespace moorfold::balancing
