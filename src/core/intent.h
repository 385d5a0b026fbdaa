#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/types.h"

namespace moorfold {

/// How urgent a model's requests are; a lower value is served first.
enum class Priority : std::uint8_t { kCritical = 0, kInteractive = 1, kBatch = 2 };

struct AdapterIntent {
  AdapterName name;
  MebiBytes memory = 0;

  auto operator<=>(const AdapterIntent&) const = default;
};

/// What the operators want of one model. `replicas` bounds how many replicas of one version may
/// be loaded in each zone; how many are loaded at a moment is moorfold's decision.
struct ModelIntent {
  ModelName name;
  std::uint32_t version = 1;
  MebiBytes memory = 0;          ///< Weights and working memory of one replica.
  MebiBytes adapter_memory = 0;  ///< Reserved with each replica for its adapters.
  Priority priority = Priority::kInteractive;
  Duration deadline{0};                ///< For requests that name none.
  std::uint32_t concurrency = 8;       ///< Requests one replica runs at once at full speed.
  double cold_start_second_cost = 60;  ///< Accelerator-seconds worth one second of cold start.
  std::map<ZoneName, std::uint32_t> replicas;
  std::vector<AdapterIntent> adapters;

  auto operator<=>(const ModelIntent&) const = default;
  /// @return the memory reserved on a server for one replica.
  MebiBytes ReplicaMemory() const { return memory + adapter_memory; }
  const AdapterIntent* FindAdapter(const AdapterName& adapter) const {
    for (const AdapterIntent& candidate : adapters)
      if (candidate.name == adapter) return &candidate;
    return nullptr;
  }
};

/// An ordinary back end that is called through moorfold, such as booking.
struct ServiceIntent {
  std::string name;
  Duration deadline{0};
  std::vector<std::string> non_repeatable_paths;  ///< Path prefixes; at most one execution.

  auto operator<=>(const ServiceIntent&) const = default;
};

/// The declared configuration: everything operators want to be available.
struct Intent {
  std::map<ModelName, ModelIntent> models;
  std::map<std::string, ServiceIntent> services;

  auto operator<=>(const Intent&) const = default;
};

/// The difference between two consecutive revisions of the configuration.
struct ConfigurationDelta {
  Revision base = 0;
  Revision revision = 0;
  std::vector<ModelIntent> changed_models;
  std::vector<ModelName> removed_models;
  std::vector<ServiceIntent> changed_services;
  std::vector<std::string> removed_services;

  auto operator<=>(const ConfigurationDelta&) const = default;
  bool Empty() const {
    return changed_models.empty() && removed_models.empty() && changed_services.empty() &&
           removed_services.empty();
  }
};

/// @return the delta that turns `from` into `to`; revisions are left zero.
ConfigurationDelta DiffIntents(const Intent& from, const Intent& to);

/// Applies `delta` to `intent` without looking at revisions.
void ApplyDelta(const ConfigurationDelta& delta, Intent& intent);

}  // namespace moorfold
