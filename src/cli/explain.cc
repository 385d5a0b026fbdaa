#include "gateway/explain.h"

#include <iostream>

#include "cli/command_line.h"
#include "config/strict_yaml.h"
#include "gateway/explain_day.h"
#include "gateway/explain_links.h"

namespace moorfold {

int RunExplain(const std::vector<std::string>& arguments) {
  CommandLine line("explain",
                   "Tells from gateways' logs what happened to one request, or sums a day up");
  TCLAP::ValueArg<std::string> request("", "request", "the request's id", false, "", "ID",
                                       line.tclap());
  TCLAP::SwitchArg day("", "day", "sums up what was lost or late, instead of one request",
                       line.tclap());
  TCLAP::SwitchArg links("", "links", "lists the requests whose links servers ended", line.tclap());
  TCLAP::UnlabeledMultiArg<std::string> files("files", "logs, one file for each daemon", true,
                                              "FILE", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  const int asked =
      (day.getValue() ? 1 : 0) + (links.getValue() ? 1 : 0) + (request.isSet() ? 1 : 0);
  if (asked != 1) throw UsageError("moorfold explain: give one of --request ID, --day, --links");
  std::vector<LoggedEvent> events;
  for (const std::string& file : files.getValue())
    for (LoggedEvent& event : ParseLog(ReadTextFile(file), file))
      events.push_back(std::move(event));
  const std::vector<std::string> told = day.getValue() ? ExplainDay(events)
                                        : links.getValue()
                                            ? ExplainEndedLinks(events)
                                            : ExplainRequest(events, request.getValue());
  for (const std::string& each : told) std::cout << each << "\n";
  if (!told.empty()) return kExitDone;
  if (day.getValue()) {
    std::cerr << "moorfold explain: no line tells of a request's end; are these gateways' logs?\n";
    return kExitFailed;
  }
  if (links.getValue()) {
    std::cerr << "moorfold explain: no server ended a link in these logs\n";
    return kExitFailed;
  }
  std::cerr << "moorfold explain: no line names request '" << request.getValue()
            << "'; ordinary served requests are logged only up to a rate\n";
  return kExitFailed;
}

}  // namespace moorfold
