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
constexpr std::int64_t kTimeBucketSeconds = 10;
constexpr std::size_t kMaxModels = 10;

std::int64_t NumberOf(const LoggedEvent& event, const std::string& field) {
  const std::string text = EventField(event, field);
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// @return why the request counts as lost or late; nullopt if it was answered in time.
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

/// Number of lost or late requests by row and reason.
using LossTable = std::map<std::string, std::map<std::string, std::uint64_t>>;

void AppendTable(const std::string& title, const LossTable& table,
                 std::vector<std::string>& report) {
  report.push_back(title);
  for (const auto& [row, reasons] : table) {
    std::uint64_t sum = 0;
    for (const auto& [reason, count] : reasons) sum += count;
    report.push_back("  " + row + ": " + std::to_string(sum));
    for (const auto& [reason, count] : reasons)
      report.push_back("    " + reason + ": " + std::to_string(count));
  }
}

std::string TimeBucket(std::int64_t since_start_us) {
  const std::int64_t second =
      since_start_us / kMicrosecondsPerSecond / kTimeBucketSeconds * kTimeBucketSeconds;
  std::ostringstream text;
  text << "from " << std::setw(5) << second << " s";
  return text.str();
}

void AppendModels(const std::map<std::string, std::uint64_t>& refused,
                  std::vector<std::string>& report) {
  std::vector<std::pair<std::string, std::uint64_t>> models(refused.begin(), refused.end());
  std::stable_sort(models.begin(), models.end(),
                   [](const auto& left, const auto& right) { return left.second > right.second; });
  models.resize(std::min(models.size(), kMaxModels));
  report.push_back("models without a server, requests refused:");
  for (const auto& [model, count] : models)
    report.push_back("  " + model + ": " + std::to_string(count));
}

bool IsLeaderChange(const LoggedEvent& event) {
  return event.event == "leadership_won" || event.event == "leadership_lost" ||
         event.event == "leadership_resigned";
}

std::string DescribeLeaderChange(const LoggedEvent& event, std::int64_t since_start_us) {
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
    // A reboot of the machine resets its clock; a restart of the process does not.
    const auto [start, first] = starts.try_emplace(event.source, event.time_us);
    if (!first && event.event == "start" && event.time_us < start->second)
      start->second = event.time_us;
    const std::int64_t since_start_us = event.time_us - start->second;
    if (IsLeaderChange(event)) leaders.push_back(DescribeLeaderChange(event, since_start_us));
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
    ++by_time[TimeBucket(since_start_us)][*loss];
    if (EventField(event, "reason") == "no_server") ++refused[EventField(event, "model")];
  }
  std::vector<std::string> report;
  if (!any_end) return report;
  AppendTable("lost or late, by route and reason:", by_route, report);
  AppendTable("lost or late, by time since each daemon's first start:", by_time, report);
  report.push_back("not counted as lost, no matching route: " + std::to_string(without_route));
  AppendModels(refused, report);
  report.push_back("leadership, by time since each daemon's first start:");
  report.insert(report.end(), leaders.begin(), leaders.end());
  return report;
}

}  // namespace moorfold
