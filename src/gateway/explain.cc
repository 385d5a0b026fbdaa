#include "gateway/explain.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <sstream>
#include <string_view>

namespace moorfold {

namespace {

/// @return the value of `key` in a line of key=value pairs; without quotes.
std::string FieldOf(const std::string& text, const std::string& key) {
  const std::string wanted = key + "=";
  std::size_t at = 0;
  while ((at = text.find(wanted, at)) != std::string::npos) {
    if (at == 0 || text[at - 1] == ' ') break;
    ++at;
  }
  if (at == std::string::npos) return {};
  const std::size_t begin = at + wanted.size();
  if (begin < text.size() && text[begin] == '"')
    return text.substr(begin + 1, text.find('"', begin + 1) - begin - 1);
  return text.substr(begin, text.find(' ', begin) - begin);
}

/// Whether an event changes the daemon's state; the latest of each kind is in effect.
bool IsStateEvent(const std::string& event) {
  static const std::set<std::string> kStateEvents = {
      "start",          "stopping",        "store_lost",          "store_in_touch", "configuration",
      "leadership_won", "leadership_lost", "leadership_resigned", "leader_seen",    "reload"};
  return kStateEvents.contains(event);
}

constexpr double kMicrosecondsPerMillisecond = 1000;

std::string Milliseconds(std::int64_t microseconds) {
  std::ostringstream text;
  text.precision(1);
  text << std::fixed << static_cast<double>(microseconds) / kMicrosecondsPerMillisecond << " ms";
  return text.str();
}

/// Whether a line is about the request, which it names in `id` or in the list `ids`.
bool Mentions(const LoggedEvent& line, const std::string& request_id) {
  if (FieldOf(line.text, "id") == request_id) return true;
  const std::string ids = "," + FieldOf(line.text, "ids") + ",";
  return ids.find("," + request_id + ",") != std::string::npos;
}

/// Tells what happened to the daemon after its last line about a request without an end. A start
/// that no stop precedes means that the process was killed.
std::string DescribeDaemonOutcome(const std::vector<const LoggedEvent*>& log,
                                  const LoggedEvent& last) {
  bool stopped = false;
  for (const LoggedEvent* line : log) {
    if (line->time_us <= last.time_us) continue;
    stopped = stopped || line->event == "stopped";
    if (line->event != "start") continue;
    return stopped ? "  then: the daemon stopped as planned"
                   : "  then: the daemon ended without logging a stop; it started again " +
                         Milliseconds(line->time_us - last.time_us) + " later";
  }
  return "  then: no further lines; the request is still in progress, or the daemon has ended";
}

/// @return the explanation from one daemon's log; empty if it does not mention the request.
std::vector<std::string> ExplainAtDaemon(const std::vector<const LoggedEvent*>& log,
                                         const std::string& request_id) {
  std::set<std::string> servers;
  const LoggedEvent* first = nullptr;
  const LoggedEvent* last = nullptr;
  bool ended = false;
  for (const LoggedEvent* line : log) {
    if (!Mentions(*line, request_id)) continue;
    if (first == nullptr) first = line;
    last = line;
    ended = ended || line->event == "request_end";
    const std::string server = FieldOf(line->text, "server");
    if (!server.empty()) servers.insert(server);
  }
  if (first == nullptr) return {};
  std::map<std::string, const LoggedEvent*> known_state;
  for (const LoggedEvent* line : log) {
    if (line->time_us > last->time_us) break;
    if (IsStateEvent(line->event)) known_state[line->event] = line;
    const std::string server = FieldOf(line->text, "server");
    const bool about_server = line->event.starts_with("server") || line->event == "order";
    if (about_server && servers.contains(server)) known_state[line->event + " " + server] = line;
  }
  std::vector<std::string> report = {"at " + first->source + ":"};
  std::vector<const LoggedEvent*> ordered;
  for (const auto& [name, line] : known_state) ordered.push_back(line);
  std::sort(ordered.begin(), ordered.end(),
            [](const LoggedEvent* a, const LoggedEvent* b) { return a->time_us < b->time_us; });
  for (const LoggedEvent* line : ordered)
    report.push_back("  believed, " + Milliseconds(last->time_us - line->time_us) +
                     " before its end: " + line->text);
  for (const LoggedEvent* line : log)
    if (Mentions(*line, request_id)) report.push_back("  request: " + line->text);
  if (!ended) report.push_back(DescribeDaemonOutcome(log, *last));
  return report;
}

/// Extracts the daemon name that a log collector puts before each line.
/// @return the last word before the line's time; empty if there is none.
std::string DaemonNameOf(const std::string& line) {
  const std::size_t time = line.find("t_us=");
  if (time == std::string::npos) return {};
  const std::size_t end = line.find_last_not_of(' ', time == 0 ? std::string::npos : time - 1);
  if (time == 0 || end == std::string::npos) return {};
  const std::size_t before = line.find_last_of(' ', end);
  const std::size_t begin = before == std::string::npos ? 0 : before + 1;
  return line.substr(begin, end - begin + 1);
}

}  // namespace

std::string EventField(const LoggedEvent& event, const std::string& field) {
  return FieldOf(event.text, field);
}

std::vector<LoggedEvent> ParseLog(const std::string& text, const std::string& source) {
  std::vector<LoggedEvent> events;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t at = line.find("event=");
    if (at == std::string::npos) continue;
    LoggedEvent event;
    const std::string writer = DaemonNameOf(line);
    event.source = writer.empty() ? source : writer;
    event.text = line.substr(at);
    event.event = FieldOf(event.text, "event");
    const std::string time = FieldOf(line, "t_us");
    std::from_chars(time.data(), time.data() + time.size(), event.time_us);
    events.push_back(std::move(event));
  }
  return events;
}

std::vector<std::string> ExplainRequest(const std::vector<LoggedEvent>& events,
                                        const std::string& request_id) {
  std::map<std::string, std::vector<const LoggedEvent*>> by_source;
  for (const LoggedEvent& event : events) by_source[event.source].push_back(&event);
  std::vector<std::string> report;
  for (const auto& [source, log] : by_source)
    for (std::string& line : ExplainAtDaemon(log, request_id)) report.push_back(std::move(line));
  return report;
}

}  // namespace moorfold
