#pragma once

#include <tclap/CmdLine.h>

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

namespace moorfold {

/// Exit codes of every command.
constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;    ///< What was asked for failed; violations count.
constexpr int kExitBadUsage = 2;  ///< Bad usage or bad input; nothing was done.

/// The command line or an input is wrong. The message names the remedy.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A subcommand with its own flags, over TCLAP.
class CommandLine {
 public:
  CommandLine(const std::string& command, const std::string& description);
  TCLAP::CmdLine& tclap() { return line_; }
  /// @param arguments without the program's name and the subcommand.
  /// @return false when help was asked for and printed.
  /// @throws UsageError on an unknown flag (naming the nearest) or a bad value.
  bool Parse(const std::vector<std::string>& arguments);

 private:
  std::vector<std::string> FlagNames();
  void CheckFlags(const std::vector<std::string>& arguments);

  std::string command_;
  std::string description_;
  TCLAP::CmdLine line_;
};

/// A subcommand's entry. @return an exit code.
using CommandMain = int (*)(const std::vector<std::string>& arguments);

/// Runs `program` and turns what it throws into a message on standard error and an exit code.
int RunGuarded(const std::string& name, const std::function<int()>& program);

int RunServe(const std::vector<std::string>& arguments);
int RunValidate(const std::vector<std::string>& arguments);
int RunPlan(const std::vector<std::string>& arguments);
int RunConfirm(const std::vector<std::string>& arguments);
int RunStatus(const std::vector<std::string>& arguments);
int RunSimulate(const std::vector<std::string>& arguments);
int RunExperiment(const std::vector<std::string>& arguments);
int RunExplain(const std::vector<std::string>& arguments);
int RunQuarantine(const std::vector<std::string>& arguments);
int RunLoadCommand(const std::vector<std::string>& arguments);

}  // namespace moorfold
