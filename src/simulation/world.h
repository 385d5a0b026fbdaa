#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "core/time.h"
#include "core/types.h"
#include "modelled/engine_model.h"
#include "simulation/event_queue.h"

namespace moorfold {

/// Bugs that tests plant to show that each checker bites. All off in normal use.
struct PlantedBugs {
  EngineBugs engine;
  bool load_orders_reach_a_second_server = false;  ///< Finds replicas_over_decided.
  bool engines_report_no_memory_used = false;      ///< With engine.ignore_memory: memory.
  bool waiting_requests_are_forgotten = false;     ///< request_dropped
  bool foreign_answers_are_passed_on = false;      ///< answer_mismatched
  bool failed_requests_count_as_not_run = false;   ///< refused_but_run
  bool claims_are_skipped = false;                 ///< ran_twice
  bool leaving_servers_stay_in_use = false;        ///< work_to_leaving
  bool planned_stops_do_not_drain = false;         ///< stream_cut_by_planned_stop
  bool configuration_is_forgotten = false;         ///< configuration_reverted
  bool configuration_is_not_spread = false;        ///< configuration_late
};

/// Faults of the network and the platform that are in force now.
struct ActiveFaults {
  double message_loss = 0;
  std::set<ZoneName> cut_zones;
  bool key_value_down = false;
  Duration key_value_delay{0};
  std::uint32_t lost_answers = 0;
};

/// What all parts of one simulation share.
struct World {
  World(Timestamp start, std::uint64_t seed) : queue(start), random(seed) {}

  EventQueue queue;
  std::mt19937_64 random;
  ActiveFaults faults;
  PlantedBugs bugs;
  Duration zone_distance{0};

  double Uniform() { return static_cast<double>(random() >> 11U) * 0x1.0p-53; }
  bool Chance(double probability) { return Uniform() < probability; }
  /// @return an exponential variate with mean `mean`.
  Duration Exponential(Duration mean);
  /// One way between two zones, with jitter.
  Duration NetworkDelay(const ZoneName& from, const ZoneName& to);
  bool Cut(const ZoneName& left, const ZoneName& right) const {
    return left != right && (faults.cut_zones.contains(left) || faults.cut_zones.contains(right));
  }
};

}  // namespace moorfold
