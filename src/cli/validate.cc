#include <iostream>

#include "cli/command_line.h"
#include "config/deployment_file.h"
#include "config/intent_file.h"
#include "config/settings_file.h"
#include "config/strict_yaml.h"

namespace moorfold {
namespace {

/// Tells the kinds of file apart by a key that only one of them has.
void ValidateFile(const std::string& file) {
  const std::string text = ReadTextFile(file);
  const YAML::Node root = ParseYaml(text, file);
  if (root["models"]) {
    ParseIntent(text, file);
    std::cout << file << ": a valid intent\n";
  } else if (root["engines"]) {
    ParseDeployment(text, file);
    std::cout << file << ": a valid deployment\n";
  } else {
    ParseSettings(text, file);
    std::cout << file << ": valid settings\n";
  }
}

}  // namespace

int RunValidate(const std::vector<std::string>& arguments) {
  CommandLine line("validate", "Checks settings, intents and deployments; prints every mistake");
  TCLAP::UnlabeledMultiArg<std::string> files("files", "Files to check", true, "FILE",
                                              line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  int code = kExitDone;
  for (const std::string& file : files.getValue()) {
    try {
      ValidateFile(file);
    } catch (const ConfigError& error) {
      std::cerr << error.what() << "\n";
      code = kExitBadUsage;
    }
  }
  return code;
}

}  // namespace moorfold
