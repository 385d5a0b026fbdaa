#include "simulation/synthetic_scenario.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace moorfold {
namespace {

constexpr MebiBytes kServerMemory = 160 * 1024;
constexpr MebiBytes kModelMemory = 16 * 1024;
constexpr MebiBytes kAdapterMemory = 256;
constexpr double kHoursPerDay = 24;

std::string NumberedName(const char* prefix, std::uint32_t number) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%s%03u", prefix, number);
  return text.data();
}

}  // namespace

Scenario MakeSyntheticScenario(const DeploymentSize& size) {
  Scenario scenario;
  scenario.name = "hollow";
  Deployment& deployment = scenario.deployment;
  deployment.name = "hollow";
  for (std::uint32_t zone = 0; zone < size.zones; ++zone)
    deployment.zones.push_back(NumberedName("z", zone));
  deployment.daemons_per_zone = std::max(1U, size.daemons / size.zones);
  for (std::uint32_t server = 0; server < size.servers; ++server)
    ++deployment.engines[deployment.zones[server % size.zones]];
  deployment.engine.memory = kServerMemory;
  deployment.engine.first_token = std::chrono::milliseconds(100);
  deployment.engine.between_tokens = std::chrono::milliseconds(20);
  deployment.engine.memory_tier_speed = 12;
  deployment.engine.disk_tier_speed = 2;
  deployment.engine.disk_cached_share = 0.1;
  deployment.weight_store = {100, 200, 0.8};
  deployment.key_value = {1'000, std::chrono::milliseconds(3)};
  deployment.machine_list_lag = std::chrono::seconds(5);
  deployment.zone_distance = std::chrono::milliseconds(5);
  for (std::uint32_t index = 0; index < size.models; ++index) {
    ModelIntent model;
    model.name = NumberedName("model-", index);
    model.memory = kModelMemory;
    model.adapter_memory = 8 * kAdapterMemory;
    model.deadline = std::chrono::seconds(60);
    for (const ZoneName& zone : deployment.zones) model.replicas[zone] = 1;
    scenario.intent.models[model.name] = model;
  }
  for (std::uint32_t index = 0; index < size.adapters && size.models > 0; ++index)
    scenario.intent.models[NumberedName("model-", index % size.models)].adapters.push_back(
        {NumberedName("adapter-", index), kAdapterMemory});
  scenario.changes_per_hour = size.changes_per_day / kHoursPerDay;
  ModelDemandTraits demand;
  demand.name = "all";
  demand.models = "model-*";
  demand.adapter_share = 0.5;
  demand.bursts_per_hour = size.woken_share_per_hour;
  demand.hours.assign(static_cast<std::size_t>(kHoursPerDay), 1.0);
  demand.requests_per_burst = 20;
  demand.spacing = std::chrono::seconds(4);
  demand.routers = std::max(2U, size.zones);
  demand.tokens = 60;
  scenario.demand.push_back(demand);
  return scenario;
}

}  // namespace moorfold
