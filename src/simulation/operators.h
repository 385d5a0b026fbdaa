#pragma once

#include "core/intent.h"
#include "ports/document_store.h"
#include "simulation/simulated_key_value_store.h"

namespace moorfold {

/// The operators of a simulation: they confirm the first intent and change it now and then, alone
/// or in a race. They use the shipped steps of stating and confirming a plan.
class SimulatedOperators {
 public:
  SimulatedOperators(World& world, SimulatedKeyValueService& service, const Intent& intent,
                     const ZoneName& zone);

  /// Confirms the intent of the scenario, trying until it is in force.
  void ConfirmFirst();
  /// Makes one random change of what is in force.
  void Change();
  /// Two operators change the same base at once; at most one may win.
  void Race();

 private:
  void PlanAndConfirm(const ConfigurationSnapshot& base, const Intent& intent,
                      std::function<void(bool confirmed)> done);
  Intent Mutate(Intent intent);

  World& world_;
  Process process_;
  SimulatedKeyValueStore store_;
  DocumentStore documents_;
  Intent intent_;
};

}  // namespace moorfold
