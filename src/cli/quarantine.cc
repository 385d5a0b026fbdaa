#include <iostream>

#include "cli/command_line.h"
#include "http/http_status.h"
#include "load/load_client.h"

namespace moorfold {

int RunQuarantine(const std::vector<std::string>& arguments) {
  CommandLine line("quarantine",
                   "Lists the requests under which servers ended, or lets one run again");
  TCLAP::ValueArg<std::string> gateway("", "gateway", "where a gateway tells its figures", true, "",
                                       "IP:PORT", line.tclap());
  TCLAP::ValueArg<std::string> release("", "release", "the fingerprint of a line of the list",
                                       false, "", "FINGERPRINT", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  HttpRequest request{"GET", "/quarantine", {}, ""};
  if (release.isSet())
    request = HttpRequest{"POST", "/quarantine/release/" + release.getValue(), {}, ""};
  HttpResponse response;
  try {
    response = Call(ParseEndpoint(gateway.getValue()), request);
  } catch (const std::invalid_argument& error) {
    throw UsageError(std::string("moorfold quarantine: --gateway: ") + error.what());
  }
  if (response.status != http_status::kOk) {
    std::cerr << "moorfold quarantine: " << response.body;
    return response.status < http_status::kFirstServerError ? kExitBadUsage : kExitFailed;
  }
  if (response.body.empty())
    std::cout << "nothing is quarantined\n";
  else if (release.isSet())
    std::cout << response.body;
  else
    std::cout << "fingerprint service servers_ended seconds_left versions\n" << response.body;
  return kExitDone;
}

}  // namespace moorfold
