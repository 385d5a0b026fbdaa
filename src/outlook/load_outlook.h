#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace moorfold::outlook {

/// A model that no server holds and that needs a load from the weight store.
struct AwaitedModel {
  std::string model;
  std::chrono::milliseconds load_time{0};  ///< From the weight store, alone.
};

/// State of the loads from the weight store of one service.
struct WeightStoreState {
  /// Remaining time of each load in progress.
  std::vector<std::chrono::milliseconds> loads_in_progress;
  std::size_t concurrent_loads = 1;  ///< Loads that the store serves at once at full speed.
};

/// Earliest time at which a model can be ready, from now.
struct ModelOutlook {
  std::string model;
  std::chrono::milliseconds ready_in{0};
};

/// Predicts when models that no server holds can be ready if the weight store loads them one after
/// the other in the given order, behind the loads in progress. Answers load in which more models
/// are requested than the weight store can load in time. Pure function.
/// @param awaited Models in the order in which they will be loaded.
std::vector<ModelOutlook> PlanOutlook(const std::vector<AwaitedModel>& awaited,
                                      const WeightStoreState& state);

}  // namespace moorfold::outlook
