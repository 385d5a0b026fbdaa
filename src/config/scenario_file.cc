#include "config/scenario_file.h"

#include <algorithm>
#include <filesystem>

#include "config/intent_file.h"
#include "config/strict_yaml.h"
#include "core/demand/residency_policy.h"

namespace moorfold {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHoursPerDay = 24;
constexpr double kMaxRate = 1e7;

HourWeights ReadHours(YamlMap& map) {
  HourWeights weights;
  for (const std::string& text : map.Strings("hours")) {
    try {
      weights.push_back(std::stod(text));
    } catch (const std::exception&) {
      map.Problem("hours", "'" + text + "' is no weight", "write 24 numbers from 0 to 1");
    }
  }
  const bool valid =
      weights.empty() || (weights.size() == kHoursPerDay &&
                          std::all_of(weights.begin(), weights.end(),
                                      [](double weight) { return weight >= 0 && weight <= 1; }));
  if (!valid)
    map.Problem("hours", "'hours' are not 24 weights from 0 to 1",
                "write one for each hour of the day (UTC)");
  if (!valid || weights.empty()) weights.assign(kHoursPerDay, 1.0);
  return weights;
}

bool MatchesAny(const std::string& pattern, const Intent& intent) {
  const bool prefix = !pattern.empty() && pattern.back() == '*';
  const std::string stem = prefix ? pattern.substr(0, pattern.size() - 1) : pattern;
  return std::any_of(intent.models.begin(), intent.models.end(), [&](const auto& entry) {
    return prefix ? entry.first.starts_with(stem) : entry.first == stem;
  });
}

void ReadModelDemand(YamlMap& root, Scenario& scenario) {
  for (auto& [name, map] : root.NamedList("demand", true)) {
    ModelDemandTraits traits;
    traits.name = name;
    traits.models = map.RequiredString("models");
    if (!traits.models.empty() && !MatchesAny(traits.models, scenario.intent))
      map.Problem("models", "no declared model matches '" + traits.models + "'",
                  "use a name of the intent, or a prefix with '*'");
    traits.adapter_share = map.Number("adapter_share", 0, 1, 0);
    traits.bursts_per_hour = map.Number("bursts_per_hour", 0, kMaxRate, std::nullopt);
    traits.hours = ReadHours(map);
    traits.weekend = map.Number("weekend", 0, 100, 1);
    traits.requests_per_burst = map.Number("requests_per_burst", 1, 1e6, 1);
    traits.spacing = map.Time("spacing", milliseconds(0), hours(24), seconds(5));
    traits.routers = static_cast<std::uint32_t>(map.Integer("routers", 1, 10'000, 1));
    traits.tokens = static_cast<std::uint32_t>(map.Integer("tokens", 1, 100'000, 16));
    traits.prompts = static_cast<std::uint32_t>(map.Integer("prompts", 1, 1'000'000, 4));
    map.Finish();
    scenario.demand.push_back(std::move(traits));
  }
}

void ReadServiceDemand(YamlMap& root, Scenario& scenario) {
  for (YamlMap& map : root.List("service_demand", false)) {
    ServiceDemandTraits traits;
    traits.service = map.RequiredString("service");
    if (!scenario.intent.services.contains(traits.service))
      map.Problem("service", "service '" + traits.service + "' is not declared",
                  "use one of the intent's services");
    traits.path = map.RequiredString("path");
    traits.per_hour = map.Number("per_hour", 0, kMaxRate, std::nullopt);
    traits.hours = ReadHours(map);
    traits.doubled = map.Number("doubled", 0, 1, 0);
    map.Finish();
    scenario.service_demand.push_back(std::move(traits));
  }
}

void ReadFaults(YamlMap& root, Scenario& scenario) {
  for (YamlMap& map : root.List("faults", false)) {
    PlannedFault fault;
    if (!map.Has("kind")) map.Problem("kind", "the fault has no kind", "add 'kind: kv_down'");
    fault.kind = static_cast<FaultKind>(map.Choice("kind", FaultKindNames(), 0));
    fault.at = map.Time("at", seconds(0), hours(24 * 365), std::nullopt);
    fault.lasts = map.Time("lasts", seconds(0), hours(24 * 365), seconds(0));
    map.Finish();
    scenario.faults.push_back(fault);
  }
  std::optional<YamlMap> chaos = root.Map("chaos", false);
  if (!chaos) return;
  for (std::size_t index = 0; index < kFaultKinds; ++index) {
    const std::string& name = FaultKindNames()[index];
    if (chaos->Has(name))
      scenario.chaos[static_cast<FaultKind>(index)] = chaos->Number(name, 0, 1e6, 0);
  }
  chaos->Finish();
}

void ReadTraits(YamlMap& root, Scenario& scenario) {
  scenario.name = root.RequiredString("name");
  scenario.duration = root.Time("duration", seconds(1), hours(24 * 60), scenario.duration);
  scenario.warmup = root.Time("warmup", seconds(0), hours(24 * 60), scenario.warmup);
  scenario.first_weekday = static_cast<std::uint32_t>(root.Integer("first_weekday", 0, 6, 0));
  CoreSettings& core = scenario.core;
  core.policy = static_cast<PolicyKind>(
      root.Choice("policy", PolicyNames(), static_cast<std::size_t>(core.policy)));
  core.keep_alive = root.Time("keep_alive", seconds(0), hours(24 * 30), core.keep_alive);
  core.assumed_load_time =
      root.Time("assumed_load_time", milliseconds(1), hours(1), core.assumed_load_time);
  scenario.demand_scale = root.Number("demand_scale", 0, 1e6, 1);
  scenario.shift_hours = root.Number("shift_hours", -24, 24, 0);
  scenario.night_bursts = root.Number("night_bursts", 0, kMaxRate, 0);
  scenario.changes_per_hour = root.Number("changes_per_hour", 0, 1e5, 0);
  const double cost_scale = root.Number("cost_scale", 0, 1e6, 1);
  for (auto& [name, model] : scenario.intent.models) model.cold_start_second_cost *= cost_scale;
  scenario.deployment.daemons_per_zone = static_cast<std::uint32_t>(
      root.Integer("daemons_per_zone", 1, 1'000, scenario.deployment.daemons_per_zone));
}

}  // namespace

const std::vector<std::string>& FaultKindNames() {
  static const std::vector<std::string> kNames = {
      "process_killed", "load_aborted",     "weight_store_slow", "machine_reclaimed",
      "kv_down",        "kv_slow",          "kv_answer_lost",    "holder_paused",
      "zone_cut",       "intents_conflict", "message_lost",      "planned_stop",
      "list_lagged"};
  return kNames;
}

const char* ToString(FaultKind kind) {
  return FaultKindNames()[static_cast<std::size_t>(kind)].c_str();
}

Scenario ReadScenarioFile(const std::string& file,
                          const std::vector<std::pair<std::string, std::string>>& overrides) {
  ConfigProblems problems(file);
  YAML::Node node = ParseYaml(ReadTextFile(file), file);
  for (const auto& [key, value] : overrides) {
    if (node[key] && !node[key].IsScalar())
      throw ConfigError({{file, 0, 0, "'" + key + "' is no single value",
                          "set only top-level values, as policy or duration"}});
    node[key] = value;
  }
  YamlMap root(node, problems, "the scenario");
  const std::filesystem::path folder = std::filesystem::path(file).parent_path();
  Scenario scenario;
  const std::string deployment = root.RequiredString("deployment");
  const std::string intent = root.RequiredString("intent");
  problems.ThrowIfAny();
  scenario.deployment = ReadDeploymentFile((folder / deployment).string());
  scenario.intent = ReadIntentFile((folder / intent).string());
  ReadTraits(root, scenario);
  ReadModelDemand(root, scenario);
  ReadServiceDemand(root, scenario);
  ReadFaults(root, scenario);
  root.Finish();
  problems.ThrowIfAny();
  return scenario;
}

}  // namespace moorfold
