#include "fleet/placement_value.h"

#include <algorithm>

#include "common/boot_clock.h"

namespace moorfold {

namespace {

/// Seconds from the first request for an absent model to its load's beginning: its report, the end
/// of an unload that makes room, the server's report of that (sums of the controller's own times).
constexpr double kReactionTimeS = 0.7;
/// Share of a request's speed that each other one at its server takes: a step of an engine's batch
/// grows by some thousandths for each request, and prompts are read between steps. On one
/// deployment 0.001 to 0.004 did alike and 0.01 cost 0.030 of what callers are owed (standard error
/// 0.008, paired days); another did better with 0.004 or more.
constexpr double kSlowdownPerRequest = 0.003;
/// A model whose last request lies so many of its mean intervals back is asked for less often than
/// its rate says: after three, one request in twenty comes later by chance.
constexpr double kMaxIdleIntervals = 3;
/// A model's last copy is not taken from requests that run on it without need: it would have to
/// come back for the next of them.
constexpr double kLastReplicaInFlightWeight = 0.1;

double Seconds(BootClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// What a late answer counts, in request-seconds: as a request that waits so long for a model. It
/// has lost most of its credit, as that one has when its target has passed.
constexpr double kLateResponseCostS = 2;
/// HasLateResponses answers a second that are put up with: one in a report now and then is chance.
constexpr double kToleratedLatePerSecond = 0.5;

}  // namespace

double PlacementValue::ExpectedArrivalsPerSecond(const ModelDemand& demand) const {
  constexpr double kShortestIdleS = 0.01;
  const double idle_s = std::max(kShortestIdleS, Seconds(now_ - demand.last_seen));
  return std::min(demand.long_term_arrivals_per_second, kMaxIdleIntervals / idle_s);
}

/// @return how many servers' worth of work there is.
double PlacementValue::RequiredServers(const ModelDemand& demand) const {
  return (demand.in_flight + demand.waiting) / requests_per_server_;
}

/// Pauses come where several long prompts meet at one server, so their number falls with the square
/// of how many share the requests.
double PlacementValue::ExpectedLatePerSecond(const ModelDemand& demand, double replicas) {
  const double share =
      static_cast<double>(std::max<std::size_t>(1, demand.serving_servers)) / replicas;
  return demand.late_responses_per_second * share * share;
}

bool PlacementValue::HasLateResponses(const ModelDemand& demand, std::size_t replicas) const {
  return replicas > 0 &&
         ExpectedLatePerSecond(demand, static_cast<double>(replicas)) > kToleratedLatePerSecond;
}

double PlacementValue::LateResponseGain(const ModelDemand& demand, std::size_t replicas) const {
  if (replicas == 0) return 0;
  const double count = static_cast<double>(replicas);
  return kLateResponseCostS *
         (ExpectedLatePerSecond(demand, count) - ExpectedLatePerSecond(demand, count + 1));
}

double PlacementValue::Cost(const ModelDescription& model, const ModelDemand& demand,
                            std::size_t replicas) const {
  const double requests = demand.in_flight + demand.waiting;
  if (replicas == 0)
    return demand.waiting +
           ExpectedArrivalsPerSecond(demand) * (Seconds(model.disk_load_time) + kReactionTimeS);
  const double count = static_cast<double>(replicas);
  const double contention = kSlowdownPerRequest * requests * requests / count;
  const double excess = std::max(0.0, RequiredServers(demand) - count) * requests_per_server_;
  return contention + excess;
}

double PlacementValue::RemovalLoss(const ModelDescription& model, const ModelDemand& demand,
                                   std::size_t replicas) const {
  const double running = replicas == 1 ? kLastReplicaInFlightWeight * demand.in_flight : 0;
  return Cost(model, demand, replicas - 1) - Cost(model, demand, replicas) + running;
}

}  // namespace moorfold
