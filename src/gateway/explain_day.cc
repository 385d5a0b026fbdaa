#include "gateway/explain_day.h"

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>

namespace moorfold {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t kBandS = 10;
constexpr std::size_t kMostModels = 10;

std::int64_t NumberOf(const LoggedEvent& event, const std::string& field) {
  const std::string text = EventField(event, field);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// @return why the request counts as lost or late, or nothing for one that was answered in time.
std::optional<std::string> LossOf(const LoggedEvent& end) {
  const std::string outcome = EventField(end, "outcome");
  if (outcome != "answered" || EventField(end, "reason") != "none")
    return outcome + ", " + EventField(end, "reason");
  if (EventField(end, "late") != "yes") return std::nullopt;
  const std::int64_t waited = NumberOf(end, "waited_ms");
  const std::int64_t at_server = NumberOf(end, "first_ms") - waited;
  if (NumberOf(end, "gap_ms") > NumberOf(end, "first_ms")) return "late, pause in the stream";
  return waited > at_server ? "late, no server at first" : "late, first part";
}

/// Counts of losses by row and reason.
using LossTable = std::map<std::string, std::map<std::string, std::uint64_t>>;

void PrintTable(const std::string& title, const LossTable& table, std::vector<std::string>& told) {
  told.push_back(title);
  for (const auto& [row, reasons] : table) {
    std::uint64_t sum = 0;
    for (const auto& [reason, count] : reasons) sum += count;
    told.push_back("  " + row + ": " + std::to_string(sum));
    for (const auto& [reason, count] : reasons)
      told.push_back("    " + reason + ": " + std::to_string(count));
  }
}

std::string Band(std::int64_t since_start_us) {
  const std::int64_t second = since_start_us / kMicrosecondsPerSecond / kBandS * kBandS;
  std::ostringstream text;
  text << "from " << std::setw(5) << second << " s";
  return text.str();
}

void PrintModels(const std::map<std::string, std::uint64_t>& refused,
                 std::vector<std::string>& told) {
  std::vector<std::pair<std::string, std::uint64_t>> models(refused.begin(), refused.end());
  std::stable_sort(models.begin(), models.end(),
                   [](const auto& left, const auto& right) { return left.second > right.second; });
  models.resize(std::min(models.size(), kMostModels));
  told.push_back("models without a server, requests refused:");
  for (const auto& [model, count] : models)
    told.push_back("  " + model + ": " + std::to_string(count));
}

bool IsChangeOfLeader(const LoggedEvent& event) {
  return event.event == "leadership_won" || event.event == "leadership_lost" ||
         event.event == "leadership_resigned";
}

std::string TellChangeOfLeader(const LoggedEvent& event, std::int64_t since_start_us) {
  std::ostringstream text;
  text << "  " << event.source << " at " << std::fixed << std::setprecision(1)
       << static_cast<double>(since_start_us) / kMicrosecondsPerSecond << " s: " << event.event
       << " " << EventField(event, "reason");
  return text.str();
}

}  // namespace

std::vector<std::string> ExplainDay(const std::vector<LoggedEvent>& events) {
  LossTable by_route;
  LossTable by_time;
  std::map<std::string, std::uint64_t> refused;
  std::map<std::string, std::int64_t> starts;
  std::vector<std::string> leaders;
  std::uint64_t without_route = 0;
  bool any_end = false;
  for (const LoggedEvent& event : events) {
    // The clock of a machine that was started anew begins anew; a process alone keeps it.
    const auto [start, first] = starts.try_emplace(event.source, event.time_us);
    if (!first && event.event == "start" && event.time_us < start->second)
      start->second = event.time_us;
    const std::int64_t since_start_us = event.time_us - start->second;
    if (IsChangeOfLeader(event)) leaders.push_back(TellChangeOfLeader(event, since_start_us));
    if (event.event != "request_end") continue;
    any_end = true;
    if (EventField(event, "reason") == "no_route") {
      ++without_route;
      continue;
    }
    const std::optional<std::string> loss = LossOf(event);
    if (!loss) continue;
    const std::string route = EventField(event, "route");
    ++by_route[route.empty() ? "no route" : route][*loss];
    ++by_time[Band(since_start_us)][*loss];
    if (EventField(event, "reason") == "no_server") ++refused[EventField(event, "model")];
  }
  std::vector<std::string> told;
  if (!any_end) return told;
  PrintTable("lost or late, by route and reason:", by_route, told);
  PrintTable("lost or late, by time since each daemon's first start:", by_time, told);
  told.push_back("no losses, since no route fits: " + std::to_string(without_route));
  PrintModels(refused, told);
  told.push_back("leadership, by time since each daemon's first start:");
  told.insert(told.end(), leaders.begin(), leaders.end());
  return told;
}

}  // namespace moorfold
