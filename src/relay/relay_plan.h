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

/// Identifies a zone in messages; every daemon derives the same number.
using ZoneId = std::int64_t;
ZoneId ZoneIdOf(const std::string& zone);

/// The relays of one zone.
struct ZoneRelays {
  ZoneId zone = 0;
  /// "IP:PORT" at which relays receive requests. The first relay watches the store. Every other
  /// relay asks those before it, watches the store if none of them answers, and answers the daemons
  /// of the zone.
  std::vector<std::string> relays;

  bool operator==(const ZoneRelays&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(zone, relays);
  }
};

/// Assigns the daemons of a large fleet that watch the store and those that forward its data, so
/// that all other daemons ask neither the store nor the leader. Load on the store then grows with
/// the number of zones, and load on a single daemon stays constant. The leader distributes the plan
/// and keeps it in the store for starting daemons. An outdated plan is harmless: a daemon that is
/// not a relay says so, and the requester moves on to another.
struct RelayPlan {
  std::int64_t number = 0;        ///< Increases with each plan; 0: no plan was made yet.
  std::uint32_t daemons = 0;      ///< Size of the fleet when the plan was made.
  std::vector<ZoneRelays> zones;  ///< Empty: the fleet is too small to need relays.

  bool needed() const { return !zones.empty(); }
  /// @return whether the daemon at `address` is a relay.
  bool Names(const std::string& address) const;
  std::vector<std::string> AllRelays() const;

  bool operator==(const RelayPlan&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, daemons, zones);
  }
};

/// Chooses relays at the leader: the strongest daemons of each zone, in proportion to the size of
/// the zone, keeping relays of the previous plan where possible. No I/O; not thread-safe.
class RelayPlanner {
 public:
  using Time = BootClock::time_point;

  struct Member {
    std::string address;  ///< "IP:PORT".
    ZoneId zone = 0;
    double strength = 0;          ///< Capacity of its machine as a share of a core.
    bool stopping = false;        ///< The daemon is in a planned shutdown.
    bool supports_relays = true;  ///< Whether its build supports relays.
  };

  /// @param from_daemons minimum fleet size for relays; 0 disables relays.
  explicit RelayPlanner(std::uint32_t from_daemons) : from_daemons_(from_daemons) {}

  /// Records a report of a daemon.
  void Note(const Member& member, Time now);
  /// @param known the plan in force, made by this leader or its predecessor.
  /// @param leading_since when this daemon became leader.
  /// @return the new plan; `known` if nothing needs to change.
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
