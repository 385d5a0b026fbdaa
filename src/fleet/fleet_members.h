#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "fleet/fleet_messages.h"

namespace moorfold {

/// Tracks the daemons that report to this one while it leads. Pure; single-threaded.
class FleetMembers {
 public:
  using Time = BootClock::time_point;

  void Note(const DemandReport& report, Time now);
  /// Chooses the daemon that is offered leadership at a planned stop. The most recently restarted
  /// daemon is preferred, since a rolling restart is least likely to stop it next. While two builds
  /// run side by side, daemons with the newer message format come first, so that leadership changes
  /// only once.
  /// @param prefer_stronger Whether stronger machines come before more recently restarted ones. In
  /// a fleet whose changes overload the link of a weak machine, a weak leader costs more than
  /// another change of leader.
  /// Daemons that reach no server are not eligible.
  /// @return the daemon's "IP:PORT" for datagrams, or nothing if no daemon is eligible.
  std::optional<std::string> ChooseSuccessor(Time now, bool prefer_stronger) const;
  /// @return addresses of up to `max_count` daemons, in round-robin order over successive calls.
  std::vector<std::string> NextAddresses(std::size_t max_count);

 private:
  struct Member {
    std::string address;
    std::chrono::milliseconds uptime{0};  ///< At the last report.
    double strength = 0;                  ///< Of the daemon's machine, as a share of a core.
    bool stopping = false;
    bool isolated = false;     ///< Reaches no server, so it could not order loads.
    std::uint16_t format = 0;  ///< Message format that the daemon's build writes.
    Time last_report_at{};
  };
  static bool IsBetterSuccessor(const Member& left, const Member& right, bool prefer_stronger);

  std::map<std::string, Member>
      members_;  ///< By name; may include daemons whose report has expired.
  Time next_cleanup_at_{};
  std::string last_returned_name_;  ///< Last daemon that NextAddresses returned.
};

}  // namespace moorfold
