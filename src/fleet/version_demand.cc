#include "fleet/version_demand.h"

#include <chrono>

namespace moorfold {

namespace {
/// A refused client comes back after a second or two; until then its request counts as waiting.
constexpr std::chrono::milliseconds kReportTimeout{3'000};
/// Time after the last report in which a need still protects the replica that met it.
constexpr std::chrono::milliseconds kNeedTimeout{6'000};
}  // namespace

void FleetVersionDemand::Add(const VersionDemand& demand, Time now) {
  RemoveExpired(now);
  for (const VersionDemandEntry& entry : demand.entries) {
    if (entry.waiting == 0) continue;
    Need& need = services_[entry.service][{entry.name, entry.software_version}];
    if (need.senders.empty()) need.first_reported = now;
    need.senders[demand.sender] = {static_cast<double>(entry.waiting), now};
    need.last_reported = now;
  }
}

void FleetVersionDemand::RemoveExpired(Time now) {
  for (auto& [service, needs] : services_)
    std::erase_if(needs,
                  [&](const auto& need) { return now - need.second.last_reported > kNeedTimeout; });
  std::erase_if(services_, [](const auto& service) { return service.second.empty(); });
}

std::vector<VersionNeed> FleetVersionDemand::ForService(const std::string& service, Time now) {
  RemoveExpired(now);
  std::vector<VersionNeed> needs;
  const auto found = services_.find(service);
  if (found == services_.end()) return needs;
  for (const auto& [key, need] : found->second) {
    double waiting = 0;
    for (const auto& [sender, state] : need.senders)
      if (now - state.at <= kReportTimeout) waiting += state.waiting;
    const double unserved_s = std::chrono::duration<double>(now - need.first_reported).count();
    needs.push_back({key.name, key.software_version, waiting, unserved_s});
  }
  return needs;
}

}  // namespace moorfold
