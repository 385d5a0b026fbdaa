#pragma once

#include <map>
#include <string>

#include "common/boot_clock.h"
#include "tenants/credit_messages.h"

namespace moorfold::quota {

/// Counts the fleet for the sharing of limits, at the daemon that leads.
///
/// Too many daemons counted make limits a little lower, too few let tenants go over them. So a
/// daemon is counted from its first report and until it has been silent for minutes, as one that is
/// cut off goes on making its share; and a new leader, which has heard of few yet, goes on from
/// what the last one counted.
///
/// Pure; one thread.
class CreditSharingPlanner {
 public:
  using Time = BootClock::time_point;

  /// @param self "IP:PORT" of this daemon.
  /// @param strength of its machine: share of a core.
  CreditSharingPlanner(std::string self, double strength)
      : self_(std::move(self)), strength_(strength) {}

  /// A daemon has reported.
  void Note(const std::string& address, double strength, Time now);
  /// @param known what was told last, by this leader or the one before.
  /// @param leader_since when this daemon began to lead.
  /// @return what to tell now. No daemons: too little has been heard yet.
  CreditSharing Count(const CreditSharing& last_told, Time leader_since, Time now);

 private:
  struct Member {
    double strength = 0;
    Time seen{};
  };

  bool IsReporting(const std::string& address, Time leader_since, Time now) const;

  std::string self_;
  double strength_;
  std::map<std::string, Member> members_;  ///< By address; without this daemon.
};

}  // namespace moorfold::quota
