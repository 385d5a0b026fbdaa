#include "config/intent_file.h"

#include <set>

#include "config/strict_yaml.h"

namespace moorfold {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kMaxVersion = 1'000'000;
constexpr std::int64_t kMaxReplicas = 10'000;
constexpr std::int64_t kMaxConcurrency = 4'096;
constexpr MebiBytes kMaxMemory = 16ULL * 1024 * 1024;
constexpr double kMaxColdStartCost = 1e6;
const std::vector<std::string> kPriorityNames = {"critical", "interactive", "batch"};

void ReadAdapters(YamlMap& map, ModelIntent& model, std::set<AdapterName>& adapter_names) {
  for (auto& [name, entry] : map.NamedList("adapters", false)) {
    AdapterIntent adapter;
    adapter.name = name;
    adapter.memory = entry.Memory("memory", 1, kMaxMemory, std::nullopt);
    if (!adapter_names.insert(name).second)
      entry.Problem("name", "duplicate adapter '" + name + "' in two models",
                    "adapters are called by name: give each its own");
    entry.Finish();
    model.adapters.push_back(std::move(adapter));
  }
}

ModelIntent ReadModel(const std::string& name, YamlMap& map, const std::set<ZoneName>& zones,
                      std::set<AdapterName>& adapter_names) {
  ModelIntent model;
  model.name = name;
  if (name.find(':') != std::string::npos)
    map.Problem("name", "model name '" + name + "' has a colon",
                "a colon separates model and adapter: leave it out");
  model.version = static_cast<std::uint32_t>(map.Integer("version", 1, kMaxVersion, 1));
  model.memory = map.Memory("memory", 1, kMaxMemory, std::nullopt);
  model.adapter_memory = map.Memory("adapter_memory", 0, kMaxMemory, 0);
  model.priority = static_cast<Priority>(map.Choice("priority", kPriorityNames, 1));
  model.deadline = map.Time("deadline", milliseconds(10), hours(24), seconds(60));
  model.concurrency = static_cast<std::uint32_t>(map.Integer("concurrency", 1, kMaxConcurrency, 8));
  model.cold_start_second_cost =
      map.Number("cold_start_second_cost", 0, kMaxColdStartCost, model.cold_start_second_cost);
  for (const auto& [zone, count] : map.Counts("replicas", 0, kMaxReplicas, true)) {
    if (!zones.contains(zone))
      map.Problem("replicas", "replicas name the zone '" + zone + "', which is not declared",
                  "add it to 'zones' or correct the name");
    if (count > 0) model.replicas[zone] = static_cast<std::uint32_t>(count);
  }
  ReadAdapters(map, model, adapter_names);
  map.Finish();
  return model;
}

ServiceIntent ReadService(const std::string& name, YamlMap& map) {
  ServiceIntent service;
  service.name = name;
  service.deadline = map.Time("deadline", milliseconds(10), hours(24), seconds(10));
  service.non_repeatable_paths = map.Strings("non_repeatable_paths");
  for (const std::string& path : service.non_repeatable_paths)
    if (path.empty() || path.front() != '/')
      map.Problem("non_repeatable_paths", "path '" + path + "' does not begin with '/'",
                  "write it as /reserve");
  map.Finish();
  return service;
}

}  // namespace

Intent ParseIntent(const std::string& text, const std::string& file) {
  ConfigProblems problems(file);
  YamlMap root(ParseYaml(text, file), problems, "the intent");
  Intent intent;
  const std::vector<std::string> zone_list = root.Strings("zones");
  const std::set<ZoneName> zones(zone_list.begin(), zone_list.end());
  if (zones.empty()) root.Problem("zones", "no zones are declared", "add 'zones: [a, b]'");
  if (zones.size() != zone_list.size())
    root.Problem("zones", "a zone is named twice", "keep each once");
  std::set<AdapterName> adapter_names;
  for (auto& [name, map] : root.NamedList("models", true))
    intent.models[name] = ReadModel(name, map, zones, adapter_names);
  for (const AdapterName& adapter : adapter_names)
    if (intent.models.contains(adapter))
      root.Problem("models", "'" + adapter + "' is both a model and an adapter", "rename one");
  for (auto& [name, map] : root.NamedList("services", false))
    intent.services[name] = ReadService(name, map);
  root.Finish();
  problems.ThrowIfAny();
  return intent;
}

Intent ReadIntentFile(const std::string& file) { return ParseIntent(ReadTextFile(file), file); }

}  // namespace moorfold
