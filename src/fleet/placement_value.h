#pragma once

#include <chrono>
#include <cstddef>

#include "common/boot_clock.h"
#include "fleet/fleet_demand.h"
#include "fleet/routing_configuration.h"

namespace moorfold {

/// Value of holding a model on one server more or fewer. All values are request-seconds lost per
/// second: the average number of requests that wait or run slower than they should. Stateless.
class PlacementValue {
 public:
  using Time = BootClock::time_point;

  /// @param requests_per_server concurrent requests that one server handles within the response
  /// target.
  PlacementValue(double requests_per_server, Time now)
      : requests_per_server_(requests_per_server), now_(now) {}

  /// @return the loss while `replicas` servers hold the model.
  double Cost(const ModelDescription& model, const ModelDemand& demand, std::size_t replicas) const;
  /// @return the loss that one more replica avoids.
  double Gain(const ModelDescription& model, const ModelDemand& demand,
              std::size_t replicas) const {
    return Cost(model, demand, replicas) - Cost(model, demand, replicas + 1);
  }
  /// @return whether the demand exceeds the capacity of that many servers.
  bool Overloaded(const ModelDemand& demand, std::size_t replicas) const {
    return RequiredServers(demand) > static_cast<double>(replicas);
  }
  /// @return the loss that one more replica avoids through fewer late responses. Separate from
  /// `Gain` because it does not justify evicting another model's last replica, except one whose
  /// weights stay local (PlannerLimits): a model without a replica loses more.
  double LateResponseGain(const ModelDemand& demand, std::size_t replicas) const;
  /// @return whether late responses would persist with that many replicas.
  bool HasLateResponses(const ModelDemand& demand, std::size_t replicas) const;
  /// @return the additional loss with one replica fewer; `replicas` is at least 1.
  double RemovalLoss(const ModelDescription& model, const ModelDemand& demand,
                     std::size_t replicas) const;

 private:
  double ExpectedArrivalsPerSecond(const ModelDemand& demand) const;
  double RequiredServers(const ModelDemand& demand) const;
  static double ExpectedLatePerSecond(const ModelDemand& demand, double replicas);

  double requests_per_server_;
  Time now_;
};

}  // namespace moorfold
