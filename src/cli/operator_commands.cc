#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

#include "cli/command_line.h"
#include "config/intent_file.h"
#include "config/strict_yaml.h"
#include "http/http_status.h"
#include "load/load_client.h"
#include "ports/json_codec.h"

namespace moorfold {

namespace json = boost::json;

namespace {

HttpResponse CallDaemon(const std::string& server, const HttpRequest& request) {
  try {
    return Call(ParseEndpoint(server), request);
  } catch (const std::invalid_argument& error) {
    throw UsageError(std::string("moorfold: --server: ") + error.what());
  }
}

/// Prints a refusal. @return the exit code for it.
int ReportRefusal(const HttpResponse& response) {
  const json::value body = ParseJson(response.body);
  std::cerr << "moorfold: " << body.at("error").at("message").as_string().c_str() << "\n"
            << "remedy: " << body.at("remedy").as_string().c_str() << "\n";
  return response.status < http_status::kFirstServerError ? kExitBadUsage : kExitFailed;
}

void PrintTexts(const json::value& texts, const char* title) {
  for (const json::value& text : texts.as_array())
    std::cout << title << text.as_string().c_str() << "\n";
}

void PrintPlan(const json::value& plan) {
  std::cout << "plan " << plan.at("id").as_string().c_str() << ", from revision "
            << plan.at("base_revision").to_number<std::uint64_t>() << "\n";
  for (const json::value& change : plan.at("changes").as_array()) {
    const auto kind = json::value_to<ChangeKind>(change.at("kind"));
    const char sign = kind == ChangeKind::kAdd ? '+' : kind == ChangeKind::kRemove ? '-' : '~';
    std::cout << "  " << sign << " " << change.at("subject").as_string().c_str() << ": "
              << change.at("detail").as_string().c_str() << "\n";
  }
  if (plan.at("changes").as_array().empty()) std::cout << "  nothing changes\n";
  PrintTexts(plan.at("warnings"), "warning: ");
  PrintTexts(plan.at("refusals"), "refused: ");
}

void PrintStatus(const json::value& status) {
  std::cout << "zone " << status.at("zone").as_string().c_str() << ", revision "
            << status.at("configuration_revision").to_number<std::uint64_t>() << ", coordinator "
            << status.at("coordinator").as_string().c_str() << ", ledger revision "
            << status.at("ledger").at("revision").to_number<std::uint64_t>() << " with "
            << status.at("ledger").at("permits").to_number<std::uint64_t>() << " permits\n";
  for (const json::value& member : status.at("members").as_array())
    std::cout << "  daemon " << std::left << std::setw(24) << member.at("name").as_string().c_str()
              << member.at("status").as_string().c_str() << "\n";
  for (const json::value& server : status.at("servers").as_array()) {
    std::cout << "  server " << std::left << std::setw(24) << server.at("name").as_string().c_str();
    if (!server.at("reported").as_bool()) std::cout << "no report yet";
    for (const json::value& replica : server.at("replicas").as_array())
      std::cout << replica.at("servable").as_string().c_str() << "="
                << replica.at("state").as_string().c_str() << " ";
    std::cout << "\n";
  }
  for (const json::value& order : status.at("pending_orders").as_array())
    std::cout << "  order  " << order.at("order").as_string().c_str() << "\n";
}

}  // namespace

int RunPlan(const std::vector<std::string>& arguments) {
  CommandLine line("plan", "States an intent to a daemon; prints the plan and its id");
  TCLAP::ValueArg<std::string> intent("", "intent", "Intent file (YAML)", true, "", "FILE",
                                      line.tclap());
  TCLAP::ValueArg<std::string> server("", "server", "A daemon", true, "", "IP:PORT", line.tclap());
  TCLAP::SwitchArg as_json("", "json", "Print the plan as JSON", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  const std::string text = ReadTextFile(intent.getValue());
  ParseIntent(text, intent.getValue());  // Mistakes are named with the operator's own file name.
  const HttpResponse response = CallDaemon(server.getValue(), {"POST", "/operator/plan", {}, text});
  if (response.status != http_status::kOk) return ReportRefusal(response);
  const json::value plan = ParseJson(response.body);
  if (as_json.getValue())
    std::cout << response.body << "\n";
  else
    PrintPlan(plan);
  return plan.at("refusals").as_array().empty() ? kExitDone : kExitFailed;
}

int RunConfirm(const std::vector<std::string>& arguments) {
  CommandLine line("confirm",
                   "Puts a plan in force, if the configuration it was made from still is");
  TCLAP::UnlabeledValueArg<std::string> plan_id("plan", "The id that 'plan' printed", true, "",
                                                "PLAN_ID", line.tclap());
  TCLAP::ValueArg<std::string> server("", "server", "A daemon", true, "", "IP:PORT", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  const json::value body = {{"plan_id", plan_id.getValue()}};
  const HttpResponse response =
      CallDaemon(server.getValue(), {"POST", "/operator/confirm", {}, json::serialize(body)});
  if (response.status != http_status::kOk) {
    ReportRefusal(response);
    return kExitFailed;
  }
  const json::value answer = ParseJson(response.body);
  std::cout << answer.at("outcome").as_string().c_str() << ": revision "
            << answer.at("revision").to_number<std::uint64_t>() << "\n";
  return kExitDone;
}

int RunStatus(const std::vector<std::string>& arguments) {
  CommandLine line("status", "Shows the zone of a daemon as that daemon sees it");
  TCLAP::ValueArg<std::string> server("", "server", "A daemon", true, "", "IP:PORT", line.tclap());
  TCLAP::SwitchArg as_json("", "json", "Print JSON", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  const HttpResponse response = CallDaemon(server.getValue(), {"GET", "/operator/status", {}, ""});
  if (response.status != http_status::kOk) return ReportRefusal(response);
  if (as_json.getValue())
    std::cout << response.body << "\n";
  else
    PrintStatus(ParseJson(response.body));
  return kExitDone;
}

}  // namespace moorfold
