#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "core/intent.h"
#include "core/settings.h"
#include "core/types.h"

namespace moorfold {

constexpr std::size_t kHoursPerWeek = 168;
constexpr std::size_t kGapBuckets = 24;

/// What is remembered of one model's demand in one zone. Gaps are bucketed by powers of two
/// seconds; hours by the hour of the week (UTC).
struct DemandHistory {
  Timestamp first_seen{};
  Timestamp last_arrival{};
  std::uint64_t arrivals = 0;
  std::array<std::uint32_t, kGapBuckets> gaps{};
  std::array<float, kHoursPerWeek> bursts_by_hour{};  ///< Idle gaps that ended in this hour.
  std::array<float, kHoursPerWeek> weeks_by_hour{};   ///< How often the hour was lived through.
  std::int64_t last_hour = -1;                        ///< Hours since the epoch.
};

struct RouterDemand {
  DemandSample sample;
  Timestamp received{};
};

/// The demand for one model as its zone's coordinator sees it.
struct ModelDemand {
  /// Latest sample of each router and adapter.
  std::map<std::pair<DaemonName, AdapterName>, RouterDemand> routers;
  /// last_needed[n]: when more than n replicas were last needed.
  std::vector<Timestamp> last_needed;
  DemandHistory history;
  Duration load_time{0};  ///< Moving average of observed loads; zero: none seen.
};

struct DemandState {
  std::map<ModelName, ModelDemand> models;
};

void RecordSample(ModelDemand& demand, const DaemonName& router, const DemandSample& sample,
                  Timestamp now);
/// Forgets samples of routers that have been silent for `expiry`.
void ExpireSamples(ModelDemand& demand, Timestamp now, Duration expiry);
/// @return requests in flight and waiting over all routers.
std::uint32_t Concurrency(const ModelDemand& demand);
std::uint32_t Waiting(const ModelDemand& demand);
/// @return the adapters that requests wait for.
std::vector<AdapterName> WaitingAdapters(const ModelDemand& demand);

/// @return the hour of the week (UTC, 0 = Thursday 00:00, as the epoch began) of a time.
std::size_t HourOfWeek(Timestamp when);

}  // namespace moorfold
