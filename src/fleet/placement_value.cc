#include "fleet/placement_value.h"

#include <algorithm>

#include "common/boot_clock.h"

namespace moorfold {

namespace {

/// Seconds from the first request for an unloaded model to the start of its load: the demand
/// report, the unload that frees memory and the server's report of its completion (sum of the
/// controller's intervals).
constexpr double kReactionTimeS = 0.7;
/// Relative slowdown of a request for each other request at its server: a step of an engine's batch
/// takes some thousandths longer for each request, and prompts are processed between steps. On one
/// deployment 0.001 to 0.004 performed alike and 0.01 cost 0.030 of the attainable response value
/// (responses within their route target earn full value; standard error 0.008, paired days);
/// another performed better with 0.004 or more.
constexpr double kSlowdownPerRequest = 0.003;
/// After this many mean intervals without a request, the estimated rate is reduced: one interval in
/// twenty exceeds three means by chance.
constexpr double kMaxIdleIntervals = 3;
/// Weight of the requests in flight on a model's last replica: evicting it needlessly would require
/// another load for the next request.
constexpr double kLastReplicaInFlightWeight = 0.1;

double Seconds(BootClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Cost of a late response in request-seconds, equal to a request that waits this long for a model.
/// Both have lost most of their response value once the target has passed.
constexpr double kLateResponseCostS = 2;
/// Tolerated late responses per second: an occasional one in a report is random.
constexpr double kToleratedLatePerSecond = 0.5;

}  // namespace

double PlacementValue::ExpectedArrivalsPerSecond(const ModelDemand& demand) const {
  constexpr double kShortestIdleS = 0.01;
  const double idle_s = std::max(kShortestIdleS, Seconds(now_ - demand.last_seen));
  return std::min(demand.long_term_arrivals_per_second, kMaxIdleIntervals / idle_s);
}

/// @return the number of servers that the demand requires.
double PlacementValue::RequiredServers(const ModelDemand& demand) const {
  return (demand.in_flight + demand.waiting) / requests_per_server_;
}

/// Pauses occur where several long prompts share a server, so their rate falls with the square of
/// the number of servers that share the requests.
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
