#include "gateway/explain_links.h"

#include <algorithm>
#include <map>
#include <set>

namespace moorfold {

namespace {

constexpr std::size_t kMaxRows = 20;

/// Attempts with one fingerprint whose connection the server closed.
struct EndedLinks {
  std::string fingerprint;
  std::set<std::string> servers;
  std::set<std::string> daemons;
  std::size_t attempts = 0;
};

std::string FormatRow(const EndedLinks& links) {
  std::string servers;
  for (const std::string& server : links.servers) servers += " " + server;
  return "  " + links.fingerprint + ": " + std::to_string(links.servers.size()) + " servers, " +
         std::to_string(links.attempts) + " tries at " + std::to_string(links.daemons.size()) +
         " daemons:" + servers;
}

}  // namespace

std::vector<std::string> ExplainEndedLinks(const std::vector<LoggedEvent>& events) {
  std::map<std::string, EndedLinks> by_fingerprint;
  for (const LoggedEvent& event : events) {
    if (event.event != "attempt_failed") continue;
    if (EventField(event, "link") != "ended_by_server") continue;
    const std::string fingerprint = EventField(event, "fingerprint");
    EndedLinks& links = by_fingerprint[fingerprint];
    links.fingerprint = fingerprint;
    links.servers.insert(EventField(event, "server"));
    links.daemons.insert(event.source);
    ++links.attempts;
  }
  if (by_fingerprint.empty()) return {};
  std::vector<EndedLinks> rows;
  for (const auto& [fingerprint, links] : by_fingerprint) rows.push_back(links);
  std::stable_sort(rows.begin(), rows.end(), [](const EndedLinks& left, const EndedLinks& right) {
    return left.servers.size() > right.servers.size();
  });
  std::vector<std::string> report = {"links ended by servers, by request:"};
  for (std::size_t row = 0; row < std::min(rows.size(), kMaxRows); ++row)
    report.push_back(FormatRow(rows[row]));
  if (rows.size() > kMaxRows)
    report.push_back("  and " + std::to_string(rows.size() - kMaxRows) + " more");
  return report;
}

}  // namespace moorfold
