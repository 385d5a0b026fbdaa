#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// Stands for a zone in messages: the same number at every daemon.
using ZoneId = std::int64_t;
ZoneId ZoneIdOf(const std::string& zone);

/// The relays of one zone.
struct ZoneRelays {
  ZoneId zone = 0;
  /// "IP:PORT" at which they hear questions. The first watches the store. Each other one asks those
  /// before it, watches the store where all of these are silent, and answers the zone's daemons.
  std::vector<std::string> relays;

  bool operator==(const ZoneRelays&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, relays);
  }
};

/// Which daemons of a large fleet watch the store, and which pass on what those know, so that all
/// others ask neither the store nor the leader: what the store serves grows with the zones, and
/// what one daemon answers does not grow. Told by the leader, and kept in the store for daemons
/// that start. A plan that is out of date does no harm: a daemon that is no relay says so, and is
/// left for another.
struct RelayPlan {
  std::int64_t number = 0;        ///< Rises with each plan; 0: none was made yet.
  std::uint32_t daemons = 0;      ///< Of the fleet, as counted when it was made.
  std::vector<ZoneRelays> zones;  ///< None: the fleet is too small to need relays.

  bool needed() const { return !zones.empty(); }
  /// @return whether the daemon at that address is a relay.
  bool Names(const std::string& address) const;
  std::vector<std::string> AllRelays() const;

  bool operator==(const RelayPlan&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, daemons, zones);
  }
};

/// Chooses relays, at the leader: in each zone the strongest, more the more daemons it has, and as
/// far as possible those of the plan before. Pure; one thread.
class RelayPlanner {
 public:
  using Time = BootClock::time_point;

  struct Member {
    std::string address;  ///< "IP:PORT".
    ZoneId zone = 0;
    double strength = 0;          ///< Of its machine: share of a core.
    bool stopping = false;        ///< It is at a planned stop.
    bool supports_relays = true;  ///< Its build knows relays.
  };

  /// @param from_daemons fleets of fewer need none; 0: none does.
  explicit RelayPlanner(std::uint32_t from_daemons) : from_daemons_(from_daemons) {}

  /// A daemon has reported.
  void Note(const Member& member, Time now);
  /// @param known the plan in force, by this leader or the one before.
  /// @param leading_since when this daemon began to lead.
  /// @return the plan that is to be in force; `known` where nothing needs to change.
  RelayPlan Plan(const RelayPlan& known, Time leading_since, Time now);

 private:
  struct Seen {
    Member member;
    Time at{};
  };
  std::vector<ZoneRelays> Choose(const RelayPlan& known) const;
  bool MayRelay(const std::string& address) const;

  std::uint32_t from_daemons_;
  std::map<std::string, Seen> members_;  ///< By address.
};

}  // namespace moorfold
