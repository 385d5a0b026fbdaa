#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
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

/// One daemon's demand for one model or adapter on servers of one software version.
struct VersionDemandEntry {
  std::string service;
  ModelReference name;
  std::string software_version;
  std::uint32_t waiting = 0;  ///< Requests that found no usable server of that version holding it.
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

  struct VersionKey {
    std::string service;
    ModelReference name;
    std::string software_version;
    auto operator<=>(const VersionKey&) const = default;
  };
  struct VersionCount {
    std::uint32_t waiting = 0;      ///< Requests that wait now, see ScopedVersionNeed.
    std::uint32_t turned_away = 0;  ///< Requests refused since the last report.
  };

  /// Counts a refused request that only servers of one software version may serve, and that none of
  /// them holds the model or adapter for. Counted until the next report, so that the leader has the
  /// model loaded on that version although every such request is refused at once. Independent of
  /// CountsOf(), where the same request may count as well. The caller notifies
  /// FleetView::demand_raised.
  /// @param software_version as in ServerRecord::software_version.
  void NeedOnVersion(const std::string& service, const ModelReference& name,
                     const std::string& software_version) {
    ++VersionCountsOf(service, name, software_version).turned_away;
  }
  VersionCount& VersionCountsOf(const std::string& service, const ModelReference& name,
                                const std::string& software_version) {
    return version_counts_[{service, name, software_version}];
  }
  /// @return the demand that is bound to a software version. Resets `turned_away`, which is added
  /// to `waiting`; removes entries whose counts are zero.
  std::vector<VersionDemandEntry> TakeVersionDemand();

  /// @return requests that currently wait for a server, over all models.
  std::int64_t Waiting() const;
  /// @return requests currently at servers, over all models.
  std::int64_t InFlight() const;

 private:
  std::map<Key, Count> counts_;
  std::map<VersionKey, VersionCount> version_counts_;
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

/// Counts a request that waits for a server of one software version, for the lifetime of this
/// object. The counters must outlive it.
class ScopedVersionNeed {
 public:
  ScopedVersionNeed(ModelDemandCounters& counters, std::string service, ModelReference model,
                    std::string software_version)
      : counters_(counters),
        service_(std::move(service)),
        model_(std::move(model)),
        software_version_(std::move(software_version)) {
    ++counters_.VersionCountsOf(service_, model_, software_version_).waiting;
  }
  ~ScopedVersionNeed() { --counters_.VersionCountsOf(service_, model_, software_version_).waiting; }
  ScopedVersionNeed(const ScopedVersionNeed&) = delete;
  ScopedVersionNeed& operator=(const ScopedVersionNeed&) = delete;

 private:
  ModelDemandCounters& counters_;
  std::string service_;
  ModelReference model_;
  std::string software_version_;
};

}  // namespace moorfold
