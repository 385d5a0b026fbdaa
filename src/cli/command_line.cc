#include "cli/command_line.h"

#include <iostream>

#include "config/nearest_name.h"
#include "config/strict_yaml.h"

namespace moorfold {

CommandLine::CommandLine(const std::string& command, const std::string& description)
    : command_(command), description_(description), line_(description, ' ', "", false) {
  line_.setExceptionHandling(false);
}

std::vector<std::string> CommandLine::FlagNames() {
  std::vector<std::string> names = {"--help"};
  for (const TCLAP::Arg* argument : line_.getArgList())
    if (argument->isValueRequired() || argument->getName() != argument->getDescription())
      if (!dynamic_cast<const TCLAP::UnlabeledMultiArg<std::string>*>(argument) &&
          !dynamic_cast<const TCLAP::UnlabeledValueArg<std::string>*>(argument))
        names.push_back("--" + argument->getName());
  return names;
}

void CommandLine::CheckFlags(const std::vector<std::string>& arguments) {
  const std::vector<std::string> names = FlagNames();
  for (const std::string& argument : arguments) {
    if (argument == "--") return;
    if (!argument.starts_with("-") || argument.size() < 2) continue;
    const std::string flag = argument.substr(0, argument.find('='));
    bool known = false;
    for (const std::string& name : names) known = known || name == flag;
    if (!known)
      throw UsageError("moorfold " + command_ + ": unknown flag '" + flag + "'; did you mean '" +
                       NearestName(flag, names) + "'? See moorfold " + command_ + " --help");
  }
}

bool CommandLine::Parse(const std::vector<std::string>& arguments) {
  for (const std::string& argument : arguments) {
    if (argument != "--help" && argument != "-h") continue;
    std::cout << "moorfold " << command_ << ": " << description_ << "\n\n";
    for (TCLAP::Arg* flag : line_.getArgList())
      std::cout << "  " << flag->longID() << (flag->isRequired() ? "  (required)" : "")
                << "\n      " << flag->getDescription() << "\n";
    return false;
  }
  CheckFlags(arguments);
  std::vector<std::string> with_program = {"moorfold " + command_};
  with_program.insert(with_program.end(), arguments.begin(), arguments.end());
  try {
    line_.parse(with_program);
  } catch (const TCLAP::ArgException& error) {
    throw UsageError("moorfold " + command_ + ": " + error.error() + " " + error.argId() +
                     "; see moorfold " + command_ + " --help");
  }
  return true;
}

int RunGuarded(const std::string& name, const std::function<int()>& program) {
  try {
    return program();
  } catch (const UsageError& error) {
    std::cerr << error.what() << "\n";
    return kExitBadUsage;
  } catch (const ConfigError& error) {
    std::cerr << error.what() << "\n";
    return kExitBadUsage;
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return kExitFailed;
  }
}

}  // namespace moorfold
