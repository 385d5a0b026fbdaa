#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "fleet/fleet_messages.h"

namespace moorfold {

/// The fleet's requests for one model or adapter that only servers of one software version may
/// serve.
struct VersionNeed {
  ModelReference name;
  std::string software_version;
  /// Requests that found no server. 0 shortly after the last one: nothing needs to be loaded, but
  /// what was loaded may be needed again.
  double waiting = 0;
  double unserved_s = 0;  ///< How long such requests have been reported, without a long gap.
};

/// Aggregates the demand of all daemons that is bound to software versions. A need that no daemon
/// reports again ends by itself. Not thread-safe.
class FleetVersionDemand {
 public:
  using Time = BootClock::time_point;

  void Add(const VersionDemand& demand, Time now);
  /// @return the needs of one service, in a fixed order.
  std::vector<VersionNeed> ForService(const std::string& service, Time now);

 private:
  struct Key {
    ModelReference name;
    std::string software_version;
    auto operator<=>(const Key&) const = default;
  };
  struct SenderState {
    double waiting = 0;
    Time at{};
  };
  struct Need {
    std::map<std::string, SenderState> senders;
    Time first_reported{};
    Time last_reported{};
  };

  void RemoveExpired(Time now);

  std::map<std::string, std::map<Key, Need>> services_;
};

}  // namespace moorfold
