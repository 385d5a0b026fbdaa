#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "fleet/fleet_messages.h"

namespace moorfold {

/// The daemons that report to this one while it leads. Pure; one thread.
class FleetMembers {
 public:
  using Time = BootClock::time_point;

  void Note(const DemandReport& report, Time now);
  /// Whom to offer leadership at a planned stop. In a rolling restart whoever has just been
  /// restarted is the least likely to be stopped next. Where
  /// daemons of two builds run, those of the newer format come first: leadership changes hands
  /// once.
  /// @param strongest whether strong machines come before younger daemons: in a fleet whose changes
  /// a weak machine's link does not bring, a weak leader costs more than another change of leaders.
  /// @return its "IP:PORT" for datagrams, or nothing when no daemon may be offered it.
  std::optional<std::string> ChooseSuccessor(Time now, bool prefer_stronger) const;
  /// @return addresses of up to `most` daemons, going round with each call.
  std::vector<std::string> NextAddresses(std::size_t max_count);

 private:
  struct Member {
    std::string address;
    std::chrono::milliseconds uptime{0};  ///< At its last report.
    double strength = 0;                  ///< Of its machine: share of a core.
    bool stopping = false;
    std::uint16_t format = 0;  ///< In which its build writes.
    Time last_report_at{};
  };
  static bool IsBetterSuccessor(const Member& left, const Member& right, bool prefer_stronger);

  std::map<std::string, Member> members_;  ///< By name; some longer than they count.
  Time next_cleanup_at_{};
  std::string last_returned_name_;  ///< Name of the last that NextAddresses returned.
};

}  // namespace moorfold
