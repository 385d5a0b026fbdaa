#include "config/deployment_file.h"

#include <algorithm>

#include "config/strict_yaml.h"

namespace moorfold {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kMaxMachines = 100'000;
constexpr double kMaxSpeed = 10'000;
constexpr MebiBytes kMaxServerMemory = 16ULL * 1024 * 1024;

MachinesPerZone ReadServers(YamlMap& map, const std::string& key,
                            const std::vector<ZoneName>& zones) {
  MachinesPerZone servers;
  for (const auto& [zone, count] : map.Counts(key, 0, kMaxMachines, true)) {
    if (std::find(zones.begin(), zones.end(), zone) == zones.end())
      map.Problem(key, "zone '" + zone + "' is not declared", "add it to 'zones'");
    servers[zone] = static_cast<std::uint32_t>(count);
  }
  return servers;
}

void ReadEngines(YamlMap& map, Deployment& deployment) {
  EngineTraits& engine = deployment.engine;
  deployment.engines = ReadServers(map, "servers", deployment.zones);
  engine.memory = map.Memory("memory", 1, kMaxServerMemory, std::nullopt);
  engine.accelerators = static_cast<std::uint32_t>(map.Integer("accelerators", 1, 64, 2));
  engine.first_token = map.Time("first_token", microseconds(0), minutes(1), std::nullopt);
  engine.between_tokens = map.Time("between_tokens", microseconds(0), minutes(1), std::nullopt);
  engine.batch = static_cast<std::uint32_t>(map.Integer("batch", 1, 4'096, 8));
  engine.memory_tier_speed = map.Number("memory_tier_gib_per_second", 0.001, kMaxSpeed, 20);
  engine.disk_tier_speed = map.Number("disk_tier_gib_per_second", 0.001, kMaxSpeed, 4);
  engine.disk_cached_share = map.Number("disk_cached_share", 0, 1, 0.5);
  engine.report_lag = map.Time("report_lag", microseconds(0), minutes(5), seconds(1));
  map.Finish();
}

void ReadWeightStore(YamlMap& map, WeightStoreTraits& store) {
  store.loads_per_second = map.Number("loads_per_second", 0.01, 10'000, std::nullopt);
  store.full_speed_loads =
      static_cast<std::uint32_t>(map.Integer("full_speed_loads", 1, 10'000, std::nullopt));
  store.speed = map.Number("gib_per_second", 0.001, kMaxSpeed, std::nullopt);
  map.Finish();
}

void ReadKeyValue(YamlMap& map, KeyValueTraits& key_value) {
  key_value.requests_per_second = map.Number("requests_per_second", 0.1, 1e6, 100);
  key_value.latency = map.Time("latency", microseconds(0), minutes(1), microseconds(2000));
  map.Finish();
}

}  // namespace

Deployment ParseDeployment(const std::string& text, const std::string& file) {
  ConfigProblems problems(file);
  YamlMap root(ParseYaml(text, file), problems, "the deployment");
  Deployment deployment;
  deployment.name = root.RequiredString("name");
  deployment.zones = root.Strings("zones");
  if (deployment.zones.empty())
    root.Problem("zones", "no zones are declared", "add 'zones: [a, b]'");
  deployment.daemons_per_zone =
      static_cast<std::uint32_t>(root.Integer("daemons_per_zone", 1, 1'000, 2));
  if (std::optional<YamlMap> engines = root.Map("engines", true)) ReadEngines(*engines, deployment);
  if (std::optional<YamlMap> store = root.Map("weight_store", true))
    ReadWeightStore(*store, deployment.weight_store);
  if (std::optional<YamlMap> key_value = root.Map("key_value", false))
    ReadKeyValue(*key_value, deployment.key_value);
  deployment.machine_list_lag =
      root.Time("machine_list_lag", microseconds(0), hours(1), seconds(5));
  deployment.zone_distance =
      root.Time("zone_distance", microseconds(0), seconds(10), microseconds(500));
  for (auto& [name, map] : root.NamedList("services", false)) {
    ServiceTraits service;
    service.name = name;
    service.servers = ReadServers(map, "servers", deployment.zones);
    service.latency = map.Time("latency", microseconds(0), minutes(1), microseconds(3000));
    map.Finish();
    deployment.services.push_back(std::move(service));
  }
  root.Finish();
  problems.ThrowIfAny();
  return deployment;
}

Deployment ReadDeploymentFile(const std::string& file) {
  return ParseDeployment(ReadTextFile(file), file);
}

std::vector<Machine> ListMachines(const Deployment& deployment) {
  std::vector<Machine> machines;
  for (const auto& [zone, count] : deployment.engines) {
    for (std::uint32_t index = 0; index < count; ++index) {
      Machine machine;
      machine.name = zone + "-engine-" + std::to_string(index);
      machine.zone = zone;
      machine.kind = MachineKind::kEngine;
      machine.memory = deployment.engine.memory;
      machine.accelerators = deployment.engine.accelerators;
      machines.push_back(machine);
    }
  }
  for (const ServiceTraits& service : deployment.services) {
    for (const auto& [zone, count] : service.servers) {
      for (std::uint32_t index = 0; index < count; ++index) {
        Machine machine;
        machine.name = zone + "-" + service.name + "-" + std::to_string(index);
        machine.zone = zone;
        machine.kind = MachineKind::kService;
        machine.service = service.name;
        machines.push_back(machine);
      }
    }
  }
  return machines;
}

}  // namespace moorfold
