#pragma once

#include <chrono>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "fleet/fleet_messages.h"

namespace moorfold {

/// The demand of the whole fleet for one model or adapter, as the leader sees it.
struct ModelDemand {
  double waiting = 0;  ///< Requests that found no server.
  double in_flight = 0;
  double arrivals_per_second = 0;            ///< Over the last seconds.
  double long_term_arrivals_per_second = 0;  ///< Over some tens of seconds, for rare models.
  /// Answers that came late by what their servers did, over the last seconds: first parts or pauses
  /// between parts that took longer than the route aims at.
  double late_responses_per_second = 0;
  BootClock::time_point last_seen{};
  /// For how long requests have waited for it, again and again, without one being served.
  double unserved_s = 0;
  /// Servers on which it stood while that was seen. Set by the planner.
  std::size_t serving_servers = 0;
};

/// Adds up the reports of all daemons. One thread.
class FleetDemand {
 public:
  using Time = BootClock::time_point;
  /// Time constant of the usual rate, in seconds: a model asked for every few seconds shows in it.
  static constexpr double kLongTermTimeConstantS = 20;

  void Add(const DemandReport& report, Time now);
  /// @return demand by model and adapter of one service; what no daemon has named for long is left
  /// out.
  std::map<ModelReference, ModelDemand> ForService(const std::string& service, Time now);
  /// @return whether more than one daemon could not reach the server lately. One alone may itself
  /// be cut off.
  bool Unreachable(const std::string& server_id, Time now) const;

 private:
  struct SenderState {
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    Time at{};
  };
  struct Entry {
    std::map<std::string, SenderState> senders;
    double arrivals_per_second = 0;  ///< Decays with kHalfLife.
    double long_term_arrivals_per_second = 0;
    double late_responses_per_second = 0;
    Time decayed_at{};
    Time last_seen{};
    Time unserved_since{};  ///< Zero: served since it was last waited for.
  };

  static void Decay(Entry& entry, Time now);
  void RemoveExpiredUnreachable(Time now);

  std::map<std::string, std::map<ModelReference, Entry>> services_;
  /// By server: when each daemon last said that it is out of reach.
  std::map<std::string, std::map<std::string, Time>> unreachable_;
  Time next_cleanup_{};
};

}  // namespace moorfold
