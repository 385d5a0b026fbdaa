#include "fleet/fleet_members.h"

#include <algorithm>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// Reports come twice a second; a daemon that missed three may be gone.
constexpr milliseconds kHeardLately{1'600};
constexpr milliseconds kForgetEvery{500};
/// Before that, a daemon may not know the servers yet.
constexpr milliseconds kSettlingIn{300};

}  // namespace

void FleetMembers::Note(const DemandReport& report, Time now) {
  members_[report.sender] = {report.address,  milliseconds(report.uptime_ms),
                             report.strength, report.stopping,
                             report.format,   now};
  // Not with each report, or the work would grow with the square of the daemons.
  if (now < forget_next_) return;
  forget_next_ = now + kForgetEvery;
  std::erase_if(members_,
                [&](const auto& member) { return now - member.second.seen > kHeardLately; });
}

bool FleetMembers::BetterSuccessor(const Member& left, const Member& right, bool strongest) {
  if (left.format != right.format) return left.format > right.format;
  if (strongest && left.strength != right.strength) return left.strength > right.strength;
  return left.uptime < right.uptime;
}

std::optional<std::string> FleetMembers::ChooseSuccessor(Time now, bool strongest) const {
  const Member* best = nullptr;
  for (const auto& [name, member] : members_) {
    if (member.stopping || now - member.seen > kHeardLately) continue;
    if (member.uptime < kSettlingIn) continue;
    if (best == nullptr || BetterSuccessor(member, *best, strongest)) best = &member;
  }
  if (best == nullptr) return std::nullopt;
  return best->address;
}

std::vector<std::string> FleetMembers::NextAddresses(std::size_t most) {
  std::vector<std::string> addresses;
  auto next = members_.upper_bound(told_last_);
  while (addresses.size() < std::min(most, members_.size())) {
    if (next == members_.end()) next = members_.begin();
    addresses.push_back(next->second.address);
    told_last_ = next->first;
    ++next;
  }
  return addresses;
}

}  // namespace moorfold
