#pragma once

#include <string>
#include <vector>

#include "gateway/explain.h"

namespace moorfold {

/// Summarizes a day's logs for operators: per route, how many requests were refused, failed or
/// answered late, and why (a late answer counts under its longest delay: waiting for a server,
/// until the first part of the response, or a pause in the stream); the same per ten seconds; the
/// models with the most refused requests; and the changes of leader. Requests without a matching
/// route are not losses and are counted separately. Since the daemons' clocks differ, each daemon's
/// time counts from its first start, or from its restart if a machine's reboot reset the clock.
/// Normal answers are left out, since they are logged only up to a rate.
/// @return lines of a table; empty if no line records the end of a request.
std::vector<std::string> ExplainDay(const std::vector<LoggedEvent>& events);

}  // namespace moorfold
