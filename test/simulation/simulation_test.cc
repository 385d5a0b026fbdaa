#include "simulation/simulation.h"

#include <catch2/catch.hpp>

#include "config/strict_yaml.h"
#include "simulation/result_report.h"

namespace moorfold {
namespace {

const std::string kRoot = MOORFOLD_SOURCE_DIR;

Scenario ReadScenario(const std::string& name,
                      std::vector<std::pair<std::string, std::string>> overrides = {}) {
  return ReadScenarioFile(kRoot + "/scenarios/" + name + ".yaml", overrides);
}

/// Some busy hours, short enough for a test.
Scenario Busy(const std::string& name, const std::string& duration = "90m") {
  return ReadScenario(name, {{"duration", duration}, {"shift_hours", "8"}, {"demand_scale", "2"}});
}

SimulationResult Run(const Scenario& scenario, const SimulationOptions& options) {
  return Simulation(scenario, options).Run();
}

std::string Describe(const SimulationResult& result) {
  std::string text;
  for (const Violation& violation : result.violations)
    text += std::string(ToString(violation.invariant)) + ": " + violation.what + "\n";
  return text;
}

TEST_CASE("A quiet run serves what is asked, without a violation") {
  const std::string name = GENERATE("hrdlicka", "carpatica");
  const SimulationResult result = Run(Busy(name), {});
  INFO(Describe(result));
  CHECK(result.violation_counts.empty());
  CHECK(result.offered > 100);
  CHECK(result.served + result.refused_not_run + result.unknown == result.offered);
  CHECK(static_cast<double>(result.served) > 0.97 * static_cast<double>(result.offered));
  CHECK_FALSE(result.cold_start_seconds.empty());
}

TEST_CASE("Each kind of fault alone breaks no promise") {
  for (std::size_t index = 0; index < kFaultKinds; ++index) {
    const auto kind = static_cast<FaultKind>(index);
    DYNAMIC_SECTION(ToString(kind)) {
      Scenario scenario = Busy("hrdlicka", "30m");
      scenario.chaos = {{kind, 24 * 20.0}};
      SimulationOptions options;
      options.seed = 3;
      options.faults = FaultMode::kChaos;
      const SimulationResult result = Run(scenario, options);
      INFO(Describe(result));
      CHECK(result.violation_counts.empty());
      CHECK(result.faults.at(kind) > 0);
      CHECK(result.served > 0);
    }
  }
}

TEST_CASE("Chaos of all kinds breaks no promise") {
  const std::string name = GENERATE("hrdlicka", "carpatica");
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Scenario scenario = Busy(name, "1h");
    for (auto& [kind, per_day] : scenario.chaos) per_day *= 10;
    SimulationOptions options;
    options.seed = seed;
    options.faults = FaultMode::kChaos;
    const SimulationResult result = Run(scenario, options);
    CAPTURE(name, seed);
    INFO(Describe(result));
    CHECK(result.violation_counts.empty());
  }
}

TEST_CASE("One seed gives one result, another seed another") {
  const Scenario scenario = Busy("carpatica", "30m");
  SimulationOptions options;
  options.faults = FaultMode::kChaos;
  const auto text = [&](std::uint64_t seed) {
    options.seed = seed;
    SimulationResult result = Run(scenario, options);
    result.wall_seconds = 0;
    return ToJsonText(scenario, options, result);
  };
  const std::string first = text(7);
  CHECK(text(7) == first);
  CHECK(text(8) != first);
}

TEST_CASE("Every checker finds the bug that it is meant for") {
  struct Case {
    Invariant invariant;
    std::function<void(PlantedBugs&)> plant;
    FaultMode faults;
  };
  const std::vector<Case> cases = {
      {Invariant::kReplicasOverDecided,
       [](PlantedBugs& bugs) { bugs.load_orders_reach_a_second_server = true; }, FaultMode::kNone},
      {Invariant::kMemoryOvercommitted,
       [](PlantedBugs& bugs) {
         bugs.engine.ignore_memory = true;
         bugs.engines_report_no_memory_used = true;
       },
       FaultMode::kNone},
      {Invariant::kRequestDropped,
       [](PlantedBugs& bugs) { bugs.waiting_requests_are_forgotten = true; }, FaultMode::kNone},
      {Invariant::kAnswerMismatched,
       [](PlantedBugs& bugs) { bugs.foreign_answers_are_passed_on = true; }, FaultMode::kNone},
      {Invariant::kRefusedButRun,
       [](PlantedBugs& bugs) { bugs.failed_requests_count_as_not_run = true; }, FaultMode::kChaos},
      {Invariant::kRanTwice, [](PlantedBugs& bugs) { bugs.claims_are_skipped = true; },
       FaultMode::kNone},
      {Invariant::kWorkToLeaving,
       [](PlantedBugs& bugs) { bugs.leaving_servers_stay_in_use = true; }, FaultMode::kChaos},
      {Invariant::kStreamCutByPlannedStop,
       [](PlantedBugs& bugs) { bugs.planned_stops_do_not_drain = true; }, FaultMode::kChaos},
      {Invariant::kConfigurationReverted,
       [](PlantedBugs& bugs) { bugs.configuration_is_forgotten = true; }, FaultMode::kNone},
      {Invariant::kConfigurationLate,
       [](PlantedBugs& bugs) { bugs.configuration_is_not_spread = true; }, FaultMode::kNone},
  };
  REQUIRE(cases.size() == kInvariants);
  for (const Case& each : cases) {
    DYNAMIC_SECTION(ToString(each.invariant)) {
      Scenario scenario = Busy("hrdlicka", "1h");
      scenario.demand_scale = 8;
      scenario.changes_per_hour = 12;
      scenario.deployment.daemons_per_zone = 3;
      scenario.chaos = {{FaultKind::kPlannedStop, 24 * 60.0},
                        {FaultKind::kMachineReclaimed, 24 * 10.0},
                        {FaultKind::kProcessKilled, 24 * 12.0}};
      // Larger models leave less room, so that memory matters.
      scenario.deployment.engine.memory = 40 * 1024;
      SimulationOptions options;
      options.seed = 5;
      options.faults = each.faults;
      each.plant(options.bugs);
      if (options.bugs.configuration_is_forgotten) {
        // Two hosts then act under one name and keep outvoting each other: minutes are enough.
        scenario.duration = std::chrono::minutes(8);
        options.settle = false;
      }
      const SimulationResult result = Run(scenario, options);
      REQUIRE(result.violation_counts.contains(each.invariant));
      const auto found = std::find_if(
          result.violations.begin(), result.violations.end(),
          [&](const Violation& violation) { return violation.invariant == each.invariant; });
      if (found != result.violations.end()) CHECK_FALSE(found->chain.empty());
    }
  }
}

TEST_CASE("A scenario's mistakes are named with place and remedy") {
  struct Case {
    std::string key;
    std::string value;
    const char* expected;
  };
  const std::vector<Case> cases = {{"policy", "magic", "Valid: on_demand"},
                                   {"duration", "long", "as 30s"},
                                   {"durationn", "1h", "did you mean 'duration'"},
                                   {"daemons_per_zone", "0", "from 1 to"},
                                   {"demand", "x", "top-level values"}};
  for (const Case& each : cases) {
    CAPTURE(each.key);
    std::string problem;
    try {
      ReadScenario("hrdlicka", {{each.key, each.value}});
    } catch (const ConfigError& error) {
      problem = error.what();
    }
    CHECK(problem.find(each.expected) != std::string::npos);
  }
}

}  // namespace
}  // namespace moorfold
