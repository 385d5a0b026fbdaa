#include "gateway/explain.h"

#include <iostream>

#include "cli/command_line.h"
#include "config/strict_yaml.h"

namespace moorfold {

int RunExplain(const std::vector<std::string>& arguments) {
  CommandLine line("explain", "Tells from gateways' logs what happened to one request");
  TCLAP::ValueArg<std::string> request("", "request", "the request's id", true, "", "ID",
                                       line.tclap());
  TCLAP::UnlabeledMultiArg<std::string> files("files", "logs, one file for each daemon", true,
                                              "FILE", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  std::vector<LoggedEvent> events;
  for (const std::string& file : files.getValue())
    for (LoggedEvent& event : ParseLog(ReadTextFile(file), file))
      events.push_back(std::move(event));
  const std::vector<std::string> told = ExplainRequest(events, request.getValue());
  for (const std::string& each : told) std::cout << each << "\n";
  if (!told.empty()) return kExitDone;
  std::cerr << "moorfold explain: no line names request '" << request.getValue()
            << "'; ordinary served requests are logged only up to a rate\n";
  return kExitFailed;
}

}  // namespace moorfold
