#include <iostream>

#include "cli/command_line.h"
#include "config/scenario_file.h"
#include "simulation/result_report.h"
#include "simulation/simulation.h"

namespace moorfold {
namespace {

using Overrides = std::vector<std::pair<std::string, std::string>>;

Overrides ParseOverrides(const std::vector<std::string>& texts) {
  Overrides overrides;
  for (const std::string& text : texts) {
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
      throw UsageError("moorfold simulate: '" + text + "' is no setting; write --set KEY=VALUE");
    overrides.emplace_back(text.substr(0, equals), text.substr(equals + 1));
  }
  return overrides;
}

/// "none", "scenario", "chaos", or "chaos:KIND,KIND".
void ParseFaults(const std::string& text, SimulationOptions& options) {
  const std::string mode = text.substr(0, text.find(':'));
  if (mode == "none")
    options.faults = FaultMode::kNone;
  else if (mode == "scenario")
    options.faults = FaultMode::kScenario;
  else if (mode == "chaos")
    options.faults = FaultMode::kChaos;
  else
    throw UsageError("moorfold simulate: no fault mode '" + mode +
                     "'; use none, scenario, chaos or chaos:KIND,KIND");
  if (mode.size() == text.size()) return;
  std::string rest = text.substr(mode.size() + 1);
  while (!rest.empty()) {
    const std::size_t comma = std::min(rest.find(','), rest.size());
    const std::string name = rest.substr(0, comma);
    const auto& names = FaultKindNames();
    const auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) {
      std::string message = "moorfold simulate: no fault kind '" + name + "'; the kinds are";
      for (const std::string& each : names) message.append(" ").append(each);
      throw UsageError(message);
    }
    options.only_faults.push_back(static_cast<FaultKind>(found - names.begin()));
    rest.erase(0, std::min(comma + 1, rest.size()));
  }
}

void PrintReplay(const std::string& file, const std::string& faults,
                 const std::vector<std::string>& settings, std::uint64_t seed) {
  std::cerr << "replay: moorfold simulate --scenario " << file << " --seed " << seed << " --faults "
            << faults;
  for (const std::string& setting : settings) std::cerr << " --set " << setting;
  std::cerr << "\n";
}

}  // namespace

int RunSimulate(const std::vector<std::string>& arguments) {
  CommandLine line("simulate", "Runs a scenario in virtual time; one seed always gives one result");
  TCLAP::ValueArg<std::string> scenario_file("", "scenario", "Scenario file (YAML)", true, "",
                                             "FILE", line.tclap());
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "First seed", false, 1, "N", line.tclap());
  TCLAP::ValueArg<std::uint64_t> seeds("", "seeds", "How many seeds, one after the other", false, 1,
                                       "N", line.tclap());
  TCLAP::ValueArg<std::string> faults("", "faults", "none, scenario, chaos or chaos:KIND,KIND",
                                      false, "none", "MODE", line.tclap());
  TCLAP::MultiArg<std::string> settings("", "set", "Replaces a top-level value of the scenario",
                                        false, "KEY=VALUE", line.tclap());
  TCLAP::SwitchArg as_json("", "json", "Print one JSON object a seed", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  SimulationOptions options;
  ParseFaults(faults.getValue(), options);
  const Scenario scenario =
      ReadScenarioFile(scenario_file.getValue(), ParseOverrides(settings.getValue()));
  int code = kExitDone;
  for (std::uint64_t index = 0; index < seeds.getValue(); ++index) {
    options.seed = seed.getValue() + index;
    const SimulationResult result = Simulation(scenario, options).Run();
    if (as_json.getValue())
      std::cout << ToJsonText(scenario, options, result) << std::endl;
    else
      PrintReport(std::cout, scenario, options, result);
    if (result.violation_counts.empty()) continue;
    code = kExitFailed;
    if (as_json.getValue()) PrintReport(std::cerr, scenario, options, result);
    PrintReplay(scenario_file.getValue(), faults.getValue(), settings.getValue(), options.seed);
  }
  return code;
}

}  // namespace moorfold
