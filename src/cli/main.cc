#include <glog/logging.h>

#include <iostream>

#include "cli/command_line.h"
#include "config/nearest_name.h"
#include "config/strict_yaml.h"

namespace moorfold {
namespace {

constexpr const char* kVersion = "0.1.0";

struct Command {
  const char* name;
  const char* summary;
  CommandMain run;
};

const std::vector<Command>& Commands() {
  static const std::vector<Command> kCommands = {
      {"serve", "runs the daemon", RunServe},
      {"validate", "checks settings, intents and deployments without running anything",
       RunValidate},
      {"plan", "states an intent; prints the plan and its id", RunPlan},
      {"confirm", "puts a plan in force", RunConfirm},
      {"status", "shows replicas, members and revisions of a zone", RunStatus},
      {"explain", "tells from gateways' logs what happened to one request", RunExplain},
      {"quarantine", "lists requests under which servers ended, or lets one run again",
       RunQuarantine},
      {"load", "sends a scenario's requests to real daemons and checks the answers",
       RunLoadCommand},
      {"experiment", "runs a scenario over a grid of settings and seeds", RunExperiment},
      {"simulate", "runs a scenario in virtual time with faults and checks", RunSimulate},
  };
  return kCommands;
}

void PrintHelp(std::ostream& stream) {
  stream << "moorfold " << kVersion << ": serves rarely used language models\n\n"
         << "usage: moorfold COMMAND [flags]\n\n";
  for (const Command& command : Commands())
    stream << "  " << command.name << std::string(16 - std::string(command.name).size(), ' ')
           << command.summary << "\n";
  stream << "\nmoorfold COMMAND --help explains one; moorfold --version prints the version.\n"
         << "Exit codes: 0 done, 1 failed, 2 bad usage or input.\n";
}

int Run(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    PrintHelp(std::cerr);
    return kExitBadUsage;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h") {
    PrintHelp(std::cout);
    return kExitDone;
  }
  if (name == "--version") {
    std::cout << "moorfold " << kVersion << "\n";
    return kExitDone;
  }
  std::vector<std::string> names;
  for (const Command& command : Commands()) {
    names.emplace_back(command.name);
    if (name == command.name) return command.run({arguments.begin() + 1, arguments.end()});
  }
  throw UsageError("moorfold: no command '" + name + "'; did you mean '" +
                   NearestName(name, names) + "'? See moorfold --help");
}

}  // namespace
}  // namespace moorfold

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  return moorfold::RunGuarded("moorfold", [&] { return moorfold::Run({argv + 1, argv + argc}); });
}
