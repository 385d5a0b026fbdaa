#include <algorithm>
#include <boost/json.hpp>
#include <iomanip>
#include <iostream>
#include <map>

#include "cli/command_line.h"
#include "config/intent_file.h"
#include "load/load_plan.h"
#include "ports/json_codec.h"
#include "simulation/result_report.h"

namespace moorfold {

namespace json = boost::json;

namespace {

struct LoadSummary {
  std::map<LoadEnd, std::uint64_t> ends;
  std::map<std::string, std::uint64_t> codes;
  std::vector<double> first_byte;
  std::vector<double> total;
};

LoadSummary Summarize(const std::vector<LoadOutcome>& outcomes) {
  LoadSummary summary;
  for (const LoadOutcome& outcome : outcomes) {
    ++summary.ends[outcome.end];
    if (!outcome.code.empty()) ++summary.codes[outcome.code];
    if (outcome.end != LoadEnd::kServed) continue;
    summary.first_byte.push_back(outcome.first_byte_seconds);
    summary.total.push_back(outcome.total_seconds);
  }
  std::sort(summary.first_byte.begin(), summary.first_byte.end());
  std::sort(summary.total.begin(), summary.total.end());
  return summary;
}

/// What the back ends' own record says of keyed and refused requests.
struct BackendRecord {
  std::uint64_t doubled = 0;
  std::uint64_t refused_but_run = 0;
};

BackendRecord CompareWithRecord(const std::string& back_ends,
                                const std::vector<LoadRequest>& requests,
                                const std::vector<LoadOutcome>& outcomes) {
  BackendRecord record;
  if (back_ends.empty()) return record;
  const json::value counts = ParseJson(Fetch(ParseEndpoint(back_ends), "/admin/executions"));
  std::map<std::string, bool> all_refused;  // By key: no request with it was anything else.
  for (std::size_t index = 0; index < requests.size(); ++index) {
    if (requests[index].key.empty()) continue;
    const bool refused = outcomes[index].end == LoadEnd::kRefusedNotRun;
    const auto [entry, added] = all_refused.emplace(requests[index].key, refused);
    if (!added) entry->second = entry->second && refused;
  }
  for (const auto& [key, refused] : all_refused) {
    const json::value* count = counts.as_object().if_contains("key " + key);
    const auto runs = count == nullptr ? 0 : count->to_number<std::uint64_t>();
    if (runs > 1) ++record.doubled;
    if (refused && runs > 0) ++record.refused_but_run;
  }
  return record;
}

json::object Percentiles(const std::vector<double>& sorted) {
  return {{"p50", Percentile(sorted, 0.5)},
          {"p95", Percentile(sorted, 0.95)},
          {"p99", Percentile(sorted, 0.99)},
          {"max", Percentile(sorted, 1)}};
}

std::uint64_t CountOf(const LoadSummary& summary, LoadEnd end) {
  const auto found = summary.ends.find(end);
  return found == summary.ends.end() ? 0 : found->second;
}

void PrintJson(const LoadSummary& summary, std::size_t offered, const BackendRecord& record) {
  json::object ends = {{"offered", offered}};
  for (const LoadEnd end : {LoadEnd::kServed, LoadEnd::kRefusedNotRun, LoadEnd::kUnknown,
                            LoadEnd::kLost, LoadEnd::kMismatched})
    ends[ToString(end)] = CountOf(summary, end);
  const json::value document = {{"requests", std::move(ends)},
                                {"refusal_codes", json::value_from(summary.codes)},
                                {"doubled", record.doubled},
                                {"refused_but_run", record.refused_but_run},
                                {"first_byte_seconds", Percentiles(summary.first_byte)},
                                {"total_seconds", Percentiles(summary.total)}};
  std::cout << json::serialize(document) << "\n";
}

void PrintTable(const LoadSummary& summary, std::size_t offered, const BackendRecord& record) {
  std::cout << std::fixed << std::setprecision(3) << "requests   " << offered << " offered";
  for (const LoadEnd end : {LoadEnd::kServed, LoadEnd::kRefusedNotRun, LoadEnd::kUnknown,
                            LoadEnd::kLost, LoadEnd::kMismatched})
    std::cout << ", " << CountOf(summary, end) << " " << ToString(end);
  std::cout << "\nback ends  " << record.doubled << " keys run twice, " << record.refused_but_run
            << " refused but run\n";
  for (const auto& [code, count] : summary.codes)
    std::cout << "  refusal  " << code << " " << count << "\n";
  for (const auto& [name, series] :
       {std::pair("first byte", &summary.first_byte), std::pair("whole     ", &summary.total)})
    std::cout << name << " p50 " << Percentile(*series, 0.5) << " s, p95 "
              << Percentile(*series, 0.95) << " s, p99 " << Percentile(*series, 0.99) << " s, max "
              << Percentile(*series, 1) << " s\n";
}

bool AllWell(const LoadSummary& summary, const BackendRecord& record) {
  return CountOf(summary, LoadEnd::kLost) == 0 && CountOf(summary, LoadEnd::kMismatched) == 0 &&
         record.doubled == 0 && record.refused_but_run == 0;
}

std::vector<Endpoint> ParseServers(const std::vector<std::string>& texts) {
  std::vector<Endpoint> servers;
  for (const std::string& text : texts) {
    try {
      servers.push_back(ParseEndpoint(text));
    } catch (const std::invalid_argument& error) {
      throw UsageError(std::string("moorfold load: --server: ") + error.what());
    }
  }
  return servers;
}

/// Volleys at cold models, then the same again while they are warm.
int RunQuick(const std::string& intent_file, const DaemonsByZone& daemons) {
  constexpr std::size_t kModels = 8;
  const std::vector<LoadRequest> plan = PlanVolleys(ReadIntentFile(intent_file), daemons, kModels);
  const auto silent = [](std::size_t, std::size_t) {};
  bool well = true;
  std::cout << "sending " << plan.size() << " requests for " << kModels
            << " models from every zone at once, cold and then warm\n"
            << "time to first token     p50 s    p95 s    max s   served\n";
  for (const char* name : {"cold", "warm"}) {
    const LoadSummary summary = Summarize(RunLoad(plan, silent));
    std::cout << "  " << std::left << std::setw(18) << name << std::right << std::fixed
              << std::setprecision(3) << std::setw(9) << Percentile(summary.first_byte, 0.5)
              << std::setw(9) << Percentile(summary.first_byte, 0.95) << std::setw(9)
              << Percentile(summary.first_byte, 1) << std::setw(6)
              << CountOf(summary, LoadEnd::kServed) << "/" << plan.size() << "\n";
    for (const auto& [code, count] : summary.codes)
      std::cout << "    refusal " << code << " " << count << "\n";
    well = well && CountOf(summary, LoadEnd::kServed) == plan.size();
  }
  return well ? kExitDone : kExitFailed;
}

}  // namespace

int RunLoadCommand(const std::vector<std::string>& arguments) {
  CommandLine line("load", "Sends a scenario's requests to real daemons and checks every answer");
  TCLAP::MultiArg<std::string> servers("", "server", "A daemon; name several", true, "IP:PORT",
                                       line.tclap());
  TCLAP::ValueArg<std::string> scenario_file("", "scenario", "Scenario file (YAML)", false, "",
                                             "FILE", line.tclap());
  TCLAP::ValueArg<std::string> intent("", "intent", "With --quick: the intent in force", false, "",
                                      "FILE", line.tclap());
  TCLAP::SwitchArg quick("", "quick", "A short demonstration, cold and warm", line.tclap());
  TCLAP::ValueArg<std::string> back_ends(
      "", "back-ends", "Admin address of the stand-in: compares with the back ends' own record",
      false, "", "IP:PORT", line.tclap());
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of the demand", false, 1, "N",
                                      line.tclap());
  TCLAP::ValueArg<double> start_hour("", "start-hour", "Part of the scenario's day", false, 9,
                                     "HOUR", line.tclap());
  TCLAP::ValueArg<double> speedup("", "speedup", "Scenario seconds per real second", false, 1,
                                  "FACTOR", line.tclap());
  TCLAP::ValueArg<unsigned> duration("", "duration", "Real seconds", false, 60, "SECONDS",
                                     line.tclap());
  TCLAP::SwitchArg as_json("", "json", "Print JSON", line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  if (quick.getValue() ? intent.getValue().empty() : scenario_file.getValue().empty())
    throw UsageError("moorfold load: give --scenario FILE, or --quick with --intent FILE");
  const DaemonsByZone daemons = FindZones(ParseServers(servers.getValue()));
  if (quick.getValue()) return RunQuick(intent.getValue(), daemons);
  const Scenario scenario = ReadScenarioFile(scenario_file.getValue(), {});
  LoadPlanOptions options;
  options.seed = seed.getValue();
  options.start_hour = start_hour.getValue();
  options.speedup = speedup.getValue();
  options.duration = std::chrono::seconds(duration.getValue());
  const std::vector<LoadRequest> plan = PlanFromScenario(scenario, daemons, options);
  const std::vector<LoadOutcome> outcomes = RunLoad(plan, [&](std::size_t sent, std::size_t ended) {
    std::cerr << "\rload: " << sent << " of " << plan.size() << " sent, " << ended << " ended "
              << std::flush;
  });
  std::cerr << "\n";
  const LoadSummary summary = Summarize(outcomes);
  const BackendRecord record = CompareWithRecord(back_ends.getValue(), plan, outcomes);
  if (as_json.getValue())
    PrintJson(summary, plan.size(), record);
  else
    PrintTable(summary, plan.size(), record);
  return AllWell(summary, record) ? kExitDone : kExitFailed;
}

}  // namespace moorfold
