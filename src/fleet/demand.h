#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gateway/prompt.h"

namespace moorfold {

/// What one daemon wants of one model or adapter.
struct DemandEntry {
  std::string service;
  ModelReference name;
  std::uint32_t waiting = 0;    ///< Requests that found no usable server holding it.
  std::uint32_t in_flight = 0;  ///< Requests at servers now.
  std::uint32_t arrivals = 0;   ///< Requests since the last report.
  std::uint32_t late = 0;       ///< Of those that ended since then: late by what their server did.
};

/// Counts a daemon's demand between reports. One thread.
class DemandCounters {
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
  };

  Count& CountsOf(const std::string& service, const ModelReference& name) {
    return counts_[{service, name}];
  }
  /// @return what has happened since the last call; entries with nothing in them are forgotten.
  std::vector<DemandEntry> Take();
  /// @return requests that wait for a server now, over all models.
  std::int64_t Waiting() const;
  /// @return requests at servers now, over all models.
  std::int64_t InFlight() const;

 private:
  std::map<Key, Count> counts_;
};

/// Counts one request in a book for as long as this lives. The book outlives it.
class ScopedDemandCount {
 public:
  /// @param counted which count of the model's entry.
  ScopedDemandCount(DemandCounters& book, std::string service, ModelReference model,
                    std::uint32_t DemandCounters::Count::*counted)
      : book_(book), service_(std::move(service)), model_(std::move(model)), counted_(counted) {
    ++(book_.CountsOf(service_, model_).*counted_);
  }
  ~ScopedDemandCount() { --(book_.CountsOf(service_, model_).*counted_); }
  ScopedDemandCount(const ScopedDemandCount&) = delete;
  ScopedDemandCount& operator=(const ScopedDemandCount&) = delete;

 private:
  DemandCounters& book_;
  std::string service_;
  ModelReference model_;
  std::uint32_t DemandCounters::Count::*counted_;
};

}  // namespace moorfold
