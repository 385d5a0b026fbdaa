#include "outlook/outlook_announcer.h"

#include <algorithm>
#include <optional>
#include <unordered_map>

namespace moorfold::outlook {

namespace {

using std::chrono::milliseconds;

/// With 32 models of 36 bytes each, a daemon receives 2.3 KB/s, of the 11 KB/s that it may use for
/// control.
constexpr milliseconds kAnnouncementInterval{500};

/// @return the longest target of the stream routes that lead to the service.
std::optional<milliseconds> LongestStreamTarget(const RoutingConfiguration& configuration,
                                                const std::string& service) {
  std::optional<milliseconds> longest;
  for (const Route& route : configuration.routes) {
    const bool leads_there =
        std::any_of(route.services.begin(), route.services.end(),
                    [&](const WeightedService& weighted) { return weighted.service == service; });
    if (!leads_there || route.type != RouteType::kStream || route.target.count() <= 0) continue;
    const auto target = std::chrono::duration_cast<milliseconds>(route.target);
    longest = std::max(longest.value_or(target), target);
  }
  return longest;
}

}  // namespace

bool LoadsExceedTarget(const RoutingConfiguration& configuration,
                       const ServiceDescription& service) {
  if (!service.engine) return false;
  const std::optional<milliseconds> target = LongestStreamTarget(configuration, service.name);
  return target &&
         std::any_of(service.engine->models.begin(), service.engine->models.end(),
                     [&](const ModelDescription& model) { return model.load_time > *target; });
}

std::vector<AwaitedModel> WithLoadTimes(const std::vector<std::string>& models,
                                        const EngineDescription& engine) {
  std::unordered_map<std::string, milliseconds> load_times;
  for (const ModelDescription& model : engine.models)
    load_times[model.name] = std::chrono::duration_cast<milliseconds>(model.load_time);
  std::vector<AwaitedModel> awaited;
  for (const std::string& model : models)
    if (const auto found = load_times.find(model); found != load_times.end())
      awaited.push_back({model, found->second});
  return awaited;
}

bool OutlookAnnouncer::Due(const std::string& service, Time now) const {
  const auto found = services_.find(service);
  return found == services_.end() || now >= found->second.not_before;
}

void OutlookAnnouncer::LogNewModels(ServiceState& state,
                                    const std::vector<ModelOutlook>& outlooks) {
  std::set<std::string> models;
  for (const ModelOutlook& outlook : outlooks) {
    models.insert(outlook.model);
    if (state.models.contains(outlook.model)) continue;
    log_.Write(LogRank::kDecision, EventLine(LogEvent::kLoadOutlook)
                                       .Field(LogField::kModel, outlook.model)
                                       .Field(LogField::kExpectedMs, outlook.ready_in.count()));
  }
  state.models = std::move(models);
}

void OutlookAnnouncer::Announce(const std::string& service,
                                const std::vector<AwaitedModel>& awaited,
                                const WeightStoreState& state, Time now) {
  ServiceState& service_state = services_[service];
  service_state.not_before = now + kAnnouncementInterval;
  const std::vector<ModelOutlook> outlooks = PlanOutlook(awaited, state);
  LogNewModels(service_state, outlooks);
  if (outlooks.empty()) return;
  LoadOutlookNotice notice{service, {}};
  const std::size_t count = std::min(LoadOutlookNotice::kMaxEntries, outlooks.size());
  const std::size_t first = outlooks.size() > count ? service_state.next % outlooks.size() : 0;
  for (std::size_t entry = 0; entry < count; ++entry) {
    const ModelOutlook& outlook = outlooks[(first + entry) % outlooks.size()];
    notice.entries.push_back({outlook.model, outlook.ready_in.count()});
  }
  service_state.next = (first + count) % outlooks.size();
  send_(notice);
}

}  // namespace moorfold::outlook
