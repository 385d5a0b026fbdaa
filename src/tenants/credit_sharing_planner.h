#pragma once

#include <map>
#include <string>

#include "common/boot_clock.h"
#include "tenants/credit_messages.h"

namespace moorfold::quota {

/// Plans, at the leader, how limits are shared: counts the daemons and selects those that pool
/// credit.
///
/// Counting too many daemons lowers the limits a little; counting too few lets tenants exceed them.
/// A daemon is therefore counted from its first report until it has been silent for minutes, since
/// a partitioned daemon keeps accruing its share. A new leader, which has received few reports,
/// starts from its predecessor's count.
///
/// No I/O. Not thread-safe.
class CreditSharingPlanner {
 public:
  using Time = BootClock::time_point;

  /// @param self "IP:PORT" of this daemon.
  /// @param strength Processor capacity of this machine, as a share of a core.
  CreditSharingPlanner(std::string self, double strength)
      : self_(std::move(self)), strength_(strength) {}

  /// Records a report from another daemon; a report from this daemon is ignored.
  void Note(const std::string& address, double strength, Time now);
  /// @param last_published The sharing published last, by this leader or its predecessor.
  /// @param leader_since When this daemon became leader.
  /// @return The sharing to publish now. Its `daemons` is 0 while too few reports have arrived.
  CreditSharing Count(const CreditSharing& last_published, Time leader_since, Time now);

 private:
  struct Member {
    double strength = 0;
    Time seen{};
  };

  bool IsReporting(const std::string& address, Time leader_since, Time now) const;

  std::string self_;
  double strength_;
  std::map<std::string, Member> members_;  ///< By address, excluding this daemon.
};

}  // namespace moorfold::quota
