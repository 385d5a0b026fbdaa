#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace moorfold {

/// One line of a log, taken apart.
struct LoggedEvent {
  std::int64_t time_us = 0;  ///< On the writer's steady clock.
  std::string source;        ///< The daemon whose name stands before the line, else the file.
  std::string event;
  std::string text;
};

/// @return the events of a log; lines that are none are passed over.
std::vector<LoggedEvent> ParseLog(const std::string& text, const std::string& source);

/// @return the value of a field of the event's line, without quotes, or an empty text.
std::string EventField(const LoggedEvent& event, const std::string& field);

/// Tells what happened to one request: its own lines, and what each daemon that wrote one of them
/// believed by then of the store, its configuration, the leader, and the servers that were tried.
/// Where the request's end is missing, it tells what became of the daemon.
/// @return lines for people, or an empty list when no log names the request.
std::vector<std::string> ExplainRequest(const std::vector<LoggedEvent>& events,
                                        const std::string& request_id);

}  // namespace moorfold
