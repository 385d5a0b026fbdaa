#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace moorfold {

/// One parsed line of a log.
struct LoggedEvent {
  std::int64_t time_us = 0;  ///< On the steady clock of the daemon that wrote the line.
  std::string source;        ///< The daemon name that precedes the line, or else the file name.
  std::string event;
  std::string text;
};

/// @return the events of a log; other lines are skipped.
std::vector<LoggedEvent> ParseLog(const std::string& text, const std::string& source);

/// @return the value of a field of the event's line, without quotes; empty if it is missing.
std::string EventField(const LoggedEvent& event, const std::string& field);

/// Reconstructs what happened to one request: its log lines and, for each daemon that wrote one,
/// the daemon's state at that time: the store, its configuration, the leader and the servers tried.
/// If the end of the request is missing, reports whether the daemon stopped or was killed.
/// @return human-readable lines; empty if no log mentions the request.
std::vector<std::string> ExplainRequest(const std::vector<LoggedEvent>& events,
                                        const std::string& request_id);

}  // namespace moorfold
