#pragma once

#include <chrono>
#include <cstddef>

#include "common/boot_clock.h"
#include "fleet/fleet_demand.h"
#include "fleet/routing_configuration.h"

namespace moorfold {

/// What it is worth to hold a model on one server more or fewer. All values are request-seconds
/// lost per second: how many requests, on average, wait or run slower than they should. Pure.
class PlacementValue {
 public:
  using Time = BootClock::time_point;

  /// @param requests_per_server that one server runs at once and still answers in time.
  PlacementValue(double requests_per_server, Time now)
      : requests_per_server_(requests_per_server), now_(now) {}

  /// @return what is lost while `copies` servers hold the model.
  double Cost(const ModelDescription& model, const ModelDemand& demand, std::size_t replicas) const;
  /// @return what one more copy saves.
  double Gain(const ModelDescription& model, const ModelDemand& demand,
              std::size_t replicas) const {
    return Cost(model, demand, replicas) - Cost(model, demand, replicas + 1);
  }
  /// @return whether there is more work than that many servers do in time.
  bool Overloaded(const ModelDemand& demand, std::size_t replicas) const {
    return RequiredServers(demand) > static_cast<double>(replicas);
  }
  /// @return what one more copy saves by answers that come in time. It is apart from `Gain` since
  /// it weighs less than a model that stands nowhere: it is no reason to take a last copy away.
  double LateResponseGain(const ModelDemand& demand, std::size_t replicas) const;
  /// @return whether answers would still come late with that many copies.
  bool HasLateResponses(const ModelDemand& demand, std::size_t replicas) const;
  /// @return what one copy fewer costs; `copies` is at least 1.
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
