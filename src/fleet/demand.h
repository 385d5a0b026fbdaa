#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/prompt.h"

namespace moorfold {

/// One daemon's demand for one model or adapter.
struct DemandEntry {
  std::string service;
  ModelReference name;
  std::uint32_t waiting = 0;    ///< Requests that found no usable server holding it.
  std::uint32_t in_flight = 0;  ///< Requests currently at servers.
  std::uint32_t arrivals = 0;   ///< Requests since the last report.
  /// Requests ended since the last report whose response was late because of their server.
  std::uint32_t late = 0;
};

/// Counts a daemon's demand between reports. Not thread-safe.
class ModelDemandCounters {
 public:
  struct Key {
    std::string service;
    ModelReference name;
    auto operator<=>(const Key&) const = default;
  };
  struct Count {
    std::uint32_t waiting = 0;
    std::uint32_t in_flight = 0;
    std::uint32_t arrivals = 0;
    std::uint32_t late = 0;
    /// Requests refused since the last report because no server holds the model. Reported as
    /// waiting, so that a model whose requests are all refused at once is still loaded.
    std::uint32_t turned_away = 0;
  };

  Count& CountsOf(const std::string& service, const ModelReference& name) {
    return counts_[{service, name}];
  }
  /// @return the counts of all models and adapters in use. Resets `arrivals`, `late` and
  /// `turned_away`, which is added to `waiting`; removes
  /// entries whose counts are all zero.
  std::vector<DemandEntry> Take();
  /// @return requests that currently wait for a server, over all models.
  std::int64_t Waiting() const;
  /// @return requests currently at servers, over all models.
  std::int64_t InFlight() const;

 private:
  std::map<Key, Count> counts_;
};

/// Increments a demand count for the lifetime of this object. The counters must outlive it.
class ScopedDemandCount {
 public:
  /// @param counted the count to increment in the model's entry.
  ScopedDemandCount(ModelDemandCounters& counters, std::string service, ModelReference model,
                    std::uint32_t ModelDemandCounters::Count::*counted)
      : counters_(counters),
        service_(std::move(service)),
        model_(std::move(model)),
        counted_(counted) {
    ++(counters_.CountsOf(service_, model_).*counted_);
  }
  ~ScopedDemandCount() { --(counters_.CountsOf(service_, model_).*counted_); }
  ScopedDemandCount(const ScopedDemandCount&) = delete;
  ScopedDemandCount& operator=(const ScopedDemandCount&) = delete;

 private:
  ModelDemandCounters& counters_;
  std::string service_;
  ModelReference model_;
  std::uint32_t ModelDemandCounters::Count::*counted_;
};

}  // namespace moorfold
