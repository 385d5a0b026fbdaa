#include "fleet/fleet_members.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// Age after which a report no longer counts. Reports arrive twice a second; a daemon that missed
/// three may have failed.
constexpr milliseconds kReportExpiry{1'600};
constexpr milliseconds kCleanupInterval{500};
/// A daemon with a shorter uptime may not know the servers yet.
constexpr milliseconds kMinSuccessorUptime{300};

}  // namespace

void FleetMembers::Note(const DemandReport& report, Time now) {
  members_[report.sender] = {report.address,
                             milliseconds(report.uptime_ms),
                             report.strength,
                             report.stopping,
                             report.isolated,
                             report.format,
                             now};
  // Not done for each report: that work would grow with the square of the number of daemons.
  if (now < next_cleanup_at_) return;
  next_cleanup_at_ = now + kCleanupInterval;
  std::erase_if(members_, [&](const auto& member) {
    return now - member.second.last_report_at > kReportExpiry;
  });
}

bool FleetMembers::IsBetterSuccessor(const Member& left, const Member& right,
                                     bool prefer_stronger) {
  if (left.format != right.format) return left.format > right.format;
  if (prefer_stronger && left.strength != right.strength) return left.strength > right.strength;
  return left.uptime < right.uptime;
}

std::optional<std::string> FleetMembers::ChooseSuccessor(Time now, bool prefer_stronger) const {
  const Member* best = nullptr;
  for (const auto& [name, member] : members_) {
    if (member.stopping || member.isolated || now - member.last_report_at > kReportExpiry) continue;
    if (member.uptime < kMinSuccessorUptime) continue;
    if (best == nullptr || IsBetterSuccessor(member, *best, prefer_stronger)) best = &member;
  }
  if (best == nullptr) return std::nullopt;
  return best->address;
}

std::vector<std::string> FleetMembers::NextAddresses(std::size_t max_count) {
  std::vector<std::string> addresses;
  auto next = members_.upper_bound(last_returned_name_);
  while (addresses.size() < std::min(max_count, members_.size())) {
    if (next == members_.end()) next = members_.begin();
    addresses.push_back(next->second.address);
    last_returned_name_ = next->first;
    ++next;
  }
  return addresses;
}

}  // namespace moorfold
