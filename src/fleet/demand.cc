#include "fleet/demand.h"

#include <utility>

namespace moorfold {

std::vector<DemandEntry> ModelDemandCounters::Take() {
  std::vector<DemandEntry> entries;
  for (auto at = counts_.begin(); at != counts_.end();) {
    Count& count = at->second;
    const bool empty = count.waiting == 0 && count.in_flight == 0 && count.arrivals == 0 &&
                       count.late == 0 && count.turned_away == 0;
    if (empty) {
      at = counts_.erase(at);
      continue;
    }
    entries.push_back({at->first.service, at->first.name, count.waiting + count.turned_away,
                       count.in_flight, count.arrivals, count.late});
    count.arrivals = 0;
    count.late = 0;
    count.turned_away = 0;
    ++at;
  }
  return entries;
}

std::vector<VersionDemandEntry> ModelDemandCounters::TakeVersionDemand() {
  std::vector<VersionDemandEntry> entries;
  for (auto& [key, count] : version_counts_) {
    const std::uint32_t waiting = count.waiting + std::exchange(count.turned_away, 0U);
    if (waiting > 0) entries.push_back({key.service, key.name, key.software_version, waiting});
  }
  std::erase_if(version_counts_, [](const auto& counted) { return counted.second.waiting == 0; });
  return entries;
}

std::int64_t ModelDemandCounters::Waiting() const {
  std::int64_t waiting = 0;
  for (const auto& [key, count] : counts_) waiting += count.waiting;
  return waiting;
}

std::int64_t ModelDemandCounters::InFlight() const {
  std::int64_t in_flight = 0;
  for (const auto& [key, count] : counts_) in_flight += count.in_flight;
  return in_flight;
}

}  // namespace moorfold
