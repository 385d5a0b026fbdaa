#include "gateway/explain_links.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace moorfold {

namespace {

constexpr std::size_t kMaxRows = 20;

/// Attempts whose connection the server closed, with one fingerprint or one prompt part in common.
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

using LinksByFingerprint = std::map<std::string, EndedLinks>;

void Add(LinksByFingerprint& by_fingerprint, const std::string& fingerprint,
         const LoggedEvent& event) {
  EndedLinks& links = by_fingerprint[fingerprint];
  links.fingerprint = fingerprint;
  links.servers.insert(EventField(event, "server"));
  links.daemons.insert(event.source);
  ++links.attempts;
}

/// @return the lines of one table, most servers first; nothing if there are no rows.
std::vector<std::string> FormatTable(const std::string& title,
                                     const LinksByFingerprint& by_fingerprint) {
  if (by_fingerprint.empty()) return {};
  std::vector<EndedLinks> rows;
  for (const auto& [fingerprint, links] : by_fingerprint) rows.push_back(links);
  std::stable_sort(rows.begin(), rows.end(), [](const EndedLinks& left, const EndedLinks& right) {
    return left.servers.size() > right.servers.size();
  });
  std::vector<std::string> report = {title};
  for (std::size_t row = 0; row < std::min(rows.size(), kMaxRows); ++row)
    report.push_back(FormatRow(rows[row]));
  if (rows.size() > kMaxRows)
    report.push_back("  and " + std::to_string(rows.size() - kMaxRows) + " more");
  return report;
}

}  // namespace

std::vector<std::string> ExplainEndedLinks(const std::vector<LoggedEvent>& events) {
  LinksByFingerprint by_request;
  LinksByFingerprint by_part;
  for (const LoggedEvent& event : events) {
    if (event.event != "attempt_failed") continue;
    if (EventField(event, "link") != "ended_by_server") continue;
    Add(by_request, EventField(event, "fingerprint"), event);
    std::istringstream parts(EventField(event, "parts"));
    for (std::string part; std::getline(parts, part, ',');) Add(by_part, part, event);
  }
  std::vector<std::string> report = FormatTable("links ended by servers, by request:", by_request);
  const std::vector<std::string> parts =
      FormatTable("links ended by servers, by shared part of the prompt:", by_part);
  report.insert(report.end(), parts.begin(), parts.end());
  return report;
}

}  // namespace moorfold
