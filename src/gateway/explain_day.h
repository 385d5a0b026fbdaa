#pragma once

#include <string>
#include <vector>

#include "gateway/explain.h"

namespace moorfold {

/// Sums a whole day's logs up, for people: per route, how many requests were refused, failed or
/// answered late and for what reason (a late answer by its longest part: without a server, until
/// its first part, or a pause); the same by tens of seconds; the models that most requests were
/// refused for; and who led when. Requests that no route fits are no losses; they are counted
/// apart. Daemons' clocks differ: each daemon's time counts from its first start; where a machine
/// that was started anew has a clock that begins anew, from that. Ordinary answers are logged only
/// up to a rate and are left out.
/// @return lines of a table, or an empty list when no line tells of a request's end.
std::vector<std::string> ExplainDay(const std::vector<LoggedEvent>& events);

}  // namespace moorfold
