#include "fleet/demand.h"

namespace moorfold {

std::vector<DemandEntry> DemandBook::Take() {
  std::vector<DemandEntry> entries;
  for (auto at = counts_.begin(); at != counts_.end();) {
    Count& count = at->second;
    const bool empty = count.waiting == 0 && count.in_flight == 0 && count.arrivals == 0;
    if (empty) {
      at = counts_.erase(at);
      continue;
    }
    entries.push_back({at->first.service, at->first.name, count.waiting, count.in_flight,
                       count.arrivals, count.tokens});
    count.arrivals = 0;
    count.tokens = 0;
    ++at;
  }
  return entries;
}

bool DemandBook::AnyWaiting() const {
  for (const auto& [key, count] : counts_)
    if (count.waiting > 0) return true;
  return false;
}

}  // namespace moorfold
