#pragma once

#include <chrono>
#include <cstddef>

#include "fleet/fleet_demand.h"
#include "fleet/routing_configuration.h"

namespace moorfold {

/// What servers bear and how often they fail, as observed; see ConditionsEstimator.
struct ServingConditions {
  /// Requests that one server runs at once and still answers in time.
  double requests_per_server = 1;
  /// Prompt tokens a second that one server reads without a queue, most of each prompt being kept.
  double prompt_tokens_per_second = 1;
  /// Of one server, without notice.
  double failures_per_second = 0;
};

/// What it is worth to hold a model on one server more or fewer. All values are request-seconds
/// lost per second: how many requests, on average, wait or run slower than they should. Pure.
class PlacementValue {
 public:
  using Time = std::chrono::steady_clock::time_point;

  PlacementValue(const ServingConditions& conditions, Time now)
      : conditions_(conditions), now_(now) {}

  /// @return what is lost while `copies` servers hold the model.
  double Cost(const ModelDescription& model, const ModelDemand& demand, std::size_t copies) const;
  /// @return what one more copy saves.
  double Gain(const ModelDescription& model, const ModelDemand& demand, std::size_t copies) const {
    return Cost(model, demand, copies) - Cost(model, demand, copies + 1);
  }
  /// @return whether there is more work than that many servers do in time.
  bool Overloaded(const ModelDemand& demand, std::size_t copies) const {
    return Load(demand) > static_cast<double>(copies);
  }
  /// @return what one copy fewer costs; `copies` is at least 1.
  double Loss(const ModelDescription& model, const ModelDemand& demand, std::size_t copies) const;

 private:
  double ExpectedRate(const ModelDemand& demand) const;
  double Load(const ModelDemand& demand) const;

  ServingConditions conditions_;
  Time now_;
};

}  // namespace moorfold
