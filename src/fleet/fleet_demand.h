#pragma once

#include <chrono>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "fleet/fleet_messages.h"

namespace moorfold {

/// The fleet's total demand for one model or adapter, as reported to the leader.
struct ModelDemand {
  double waiting = 0;  ///< Requests that found no server.
  double in_flight = 0;
  double arrivals_per_second = 0;  ///< Short-term average, over a few seconds.
  /// Long-term average, over some tens of seconds, for rarely requested models.
  double long_term_arrivals_per_second = 0;
  /// Short-term average rate of responses that were late because of their servers: the first part
  /// or a pause between parts took longer than the route's target.
  double late_responses_per_second = 0;
  BootClock::time_point last_seen{};
  /// How long requests have waited, repeatedly, without any being served.
  double unserved_s = 0;
  /// Number of serving servers that held the model when late responses were measured. Set by the
  /// planner.
  std::size_t serving_servers = 0;
};

/// Aggregates the reports of all daemons. Not thread-safe.
class FleetDemand {
 public:
  using Time = BootClock::time_point;
  /// Time constant of the long-term rate in seconds: a model requested every few seconds
  /// contributes to it.
  static constexpr double kLongTermTimeConstantS = 20;

  void Add(const DemandReport& report, Time now);
  /// @return demand by model and adapter of one service. Removes entries without arrivals, waiting
  /// requests or a rate update for 60 s; each call updates the rates of the remaining entries.
  std::map<ModelReference, ModelDemand> ForService(const std::string& service, Time now);
  /// @return whether at least two daemons recently failed to reach the server. A single daemon may
  /// itself be isolated from the network.
  bool Unreachable(const std::string& server_id, Time now) const;

 private:
  struct SenderState {
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    Time at{};
  };
  struct Entry {
    std::map<std::string, SenderState> senders;
    double arrivals_per_second = 0;  ///< Decays with kShortTermTimeConstantS.
    double long_term_arrivals_per_second = 0;
    double late_responses_per_second = 0;
    Time decayed_at{};
    Time last_seen{};
    Time unserved_since{};  ///< Zero if a request was served since one last waited.
  };

  static void Decay(Entry& entry, Time now);
  void RemoveExpiredUnreachable(Time now);

  std::map<std::string, std::map<ModelReference, Entry>> services_;
  /// By server and daemon: when the daemon last reported the server as unreachable.
  std::map<std::string, std::map<std::string, Time>> unreachable_;
  Time next_cleanup_{};
};

}  // namespace moorfold
