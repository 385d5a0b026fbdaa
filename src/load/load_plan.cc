#include "load/load_plan.h"

#include <algorithm>
#include <boost/json.hpp>

#include "simulation/demand_generator.h"

namespace moorfold {
namespace {

constexpr Timestamp kMonday{std::chrono::seconds(1'767'571'200)};

std::string PromptFor(std::uint64_t prefix) {
  // Long enough to have a prefix worth caching, as a floor policy or a dossier has.
  std::string prompt;
  constexpr std::size_t kPromptBytes = 600;
  while (prompt.size() < kPromptBytes) prompt += "document " + std::to_string(prefix) + ". ";
  return prompt;
}

const char* PriorityName(Priority priority) {
  if (priority == Priority::kCritical) return "critical";
  return priority == Priority::kBatch ? "batch" : "interactive";
}

Endpoint ChooseDaemon(const DaemonsByZone& daemons, const SimulatedRequest& request) {
  auto zone = daemons.find(request.zone);
  if (zone == daemons.end()) zone = daemons.begin();
  return zone->second[request.router % zone->second.size()];
}

}  // namespace

DaemonsByZone FindZones(const std::vector<Endpoint>& daemons) {
  DaemonsByZone zones;
  for (const Endpoint& daemon : daemons) {
    const boost::json::value status = boost::json::parse(Fetch(daemon, "/operator/status"));
    zones[std::string(status.at("zone").as_string())].push_back(daemon);
  }
  return zones;
}

std::vector<LoadRequest> PlanFromScenario(const Scenario& scenario, const DaemonsByZone& daemons,
                                          const LoadPlanOptions& options) {
  DemandGenerator generator(scenario, kMonday, options.seed);
  const Timestamp from = kMonday + FromSeconds(options.start_hour * 3600) +
                         std::chrono::hours(24) * static_cast<std::int64_t>(scenario.first_weekday);
  const Duration length =
      FromSeconds(static_cast<double>(options.duration.count()) * options.speedup);
  std::vector<LoadRequest> plan;
  for (const SimulatedRequest& request : generator.Generate(from, length)) {
    LoadRequest load;
    const double seconds = ToSeconds(request.arrival - from) / options.speedup;
    load.at = FromSeconds(seconds);
    if (load.at > options.duration) continue;  // The tail of a burst that began in time.
    load.server = ChooseDaemon(daemons, request);
    load.deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - request.arrival);
    load.priority = PriorityName(request.priority);
    load.is_service = request.is_service;
    load.stream = !request.is_service && request.id % 4 != 0;
    if (request.is_service) {
      load.key = "load-" + std::to_string(options.seed) + "-" + request.key;
      load.target = "/services/" + request.name + "/reserve";
      load.prompt = "reservation " + request.key;
    } else {
      load.model = request.name;
      load.called_as =
          request.adapter.empty() ? request.name : request.name + ":" + request.adapter;
      load.prompt = PromptFor(request.prefix_hash);
      load.tokens = std::min(request.tokens, options.max_tokens);
    }
    plan.push_back(std::move(load));
  }
  std::stable_sort(plan.begin(), plan.end(), [](const LoadRequest& left, const LoadRequest& right) {
    return left.at < right.at;
  });
  return plan;
}

std::vector<LoadRequest> PlanVolleys(const Intent& intent, const DaemonsByZone& daemons,
                                     std::size_t models) {
  std::vector<LoadRequest> plan;
  const std::size_t step = std::max<std::size_t>(1, intent.models.size() / models);
  std::size_t index = 0;
  for (const auto& [name, model] : intent.models) {
    if (index++ % step != 0) continue;
    for (const auto& [zone, endpoints] : daemons) {
      LoadRequest load;
      load.at = std::chrono::milliseconds(300) * static_cast<std::int64_t>(index / step);
      load.server = endpoints[index % endpoints.size()];
      load.model = name;
      load.called_as = model.adapters.empty() ? name : name + ":" + model.adapters.front().name;
      load.prompt = PromptFor(index);
      load.priority = PriorityName(model.priority);
      plan.push_back(std::move(load));
    }
  }
  return plan;
}

}  // namespace moorfold
