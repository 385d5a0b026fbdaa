#include "statement_checker.h"

#include <algorithm>

namespace moorfold {

void StatementChecker::Named(const std::string& server, std::optional<double> per_second, Time at) {
  if (!per_second) {
    limited_.erase(server);
    return;
  }
  const auto known = limited_.try_emplace(server, Limited{*per_second, at, {}, false}).first;
  // A lower limit holds for requests after it; what came before was allowed by the higher one.
  if (*per_second < known->second.per_second) known->second = {*per_second, at, {}, false};
  known->second.per_second = *per_second;
}

void StatementChecker::Arrived(const std::string& server, Time at) {
  const auto found = limited_.find(server);
  if (found == limited_.end() || at < found->second.since + bounds_.contact) return;
  std::deque<Time>& arrivals = found->second.arrivals;
  arrivals.push_back(at);
  while (arrivals.front() <= at - bounds_.window) arrivals.pop_front();
  const double seconds = std::chrono::duration<double>(bounds_.window).count();
  const double allowed =
      bounds_.overshoot * found->second.per_second * seconds + bounds_.free_requests;
  if (found->second.reported || static_cast<double>(arrivals.size()) <= allowed) return;
  if (excused_(at - bounds_.window, at)) return;
  found->second.reported = true;
  violations_.push_back("limit: " + server + " got " + std::to_string(arrivals.size()) +
                        " requests in a window, allowed " + std::to_string(allowed));
}

std::size_t StatementChecker::InWindow(const std::string& server, Time now) const {
  const auto found = limited_.find(server);
  if (found == limited_.end()) return 0;
  const std::deque<Time>& arrivals = found->second.arrivals;
  return static_cast<std::size_t>(
      std::count_if(arrivals.begin(), arrivals.end(),
                    [&](Time arrival) { return arrival > now - bounds_.window; }));
}

}  // namespace moorfold
