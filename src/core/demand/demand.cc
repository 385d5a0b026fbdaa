#include "core/demand/demand.h"

#include <algorithm>
#include <bit>
#include <set>

namespace moorfold {
namespace {

constexpr float kHourMemory = 0.7F;  ///< Weight of earlier weeks relative to the latest.
/// Requests with shorter gaps are one burst, since no policy releases a model within a burst.
constexpr Duration kBurstGap = std::chrono::seconds(30);

std::int64_t HoursSinceEpoch(Timestamp when) {
  return std::chrono::duration_cast<std::chrono::hours>(when.time_since_epoch()).count();
}

void EnterHour(DemandHistory& history, Timestamp now) {
  const std::int64_t hour = HoursSinceEpoch(now);
  if (history.last_hour == hour) return;
  const std::int64_t first = history.last_hour < 0 ? hour : history.last_hour + 1;
  for (std::int64_t passed = std::max(first, hour - static_cast<std::int64_t>(kHoursPerWeek));
       passed <= hour; ++passed) {
    const auto slot = static_cast<std::size_t>(passed) % kHoursPerWeek;
    history.bursts_by_hour[slot] *= kHourMemory;
    history.weeks_by_hour[slot] = history.weeks_by_hour[slot] * kHourMemory + 1.0F;
  }
  history.last_hour = hour;
}

void RecordArrival(DemandHistory& history, std::uint32_t arrivals, Timestamp now) {
  if (history.arrivals == 0) history.first_seen = now;
  EnterHour(history, now);
  const Duration gap = now - history.last_arrival;
  if (history.arrivals == 0 || gap > kBurstGap) history.bursts_by_hour[HourOfWeek(now)] += 1.0F;
  if (history.arrivals > 0) {
    const auto seconds = static_cast<std::uint64_t>(std::max(0.0, ToSeconds(gap)));
    const auto bucket = static_cast<std::size_t>(std::bit_width(seconds));
    ++history.gaps[std::min(bucket, kGapBuckets - 1)];
  }
  history.arrivals += arrivals;
  history.last_arrival = now;
}

}  // namespace

std::size_t HourOfWeek(Timestamp when) {
  return static_cast<std::size_t>(HoursSinceEpoch(when)) % kHoursPerWeek;
}

void RecordSample(ModelDemand& demand, const DaemonName& router, const DemandSample& sample,
                  Timestamp now) {
  demand.routers[{router, sample.adapter}] = {sample, now};
  const bool active = sample.arrivals > 0 || sample.waiting > 0 || sample.in_flight > 0;
  if (active) RecordArrival(demand.history, sample.arrivals, now);
}

void ExpireSamples(ModelDemand& demand, Timestamp now, Duration expiry) {
  std::erase_if(demand.routers,
                [&](const auto& entry) { return now - entry.second.received > expiry; });
}

std::uint32_t Concurrency(const ModelDemand& demand) {
  std::uint32_t total = 0;
  for (const auto& [key, router] : demand.routers)
    total += router.sample.in_flight + router.sample.waiting;
  return total;
}

std::uint32_t Waiting(const ModelDemand& demand) {
  std::uint32_t total = 0;
  for (const auto& [key, router] : demand.routers) total += router.sample.waiting;
  return total;
}

std::vector<AdapterName> WaitingAdapters(const ModelDemand& demand) {
  std::set<AdapterName> adapters;
  for (const auto& [key, router] : demand.routers)
    if (router.sample.waiting > 0 && !key.second.empty()) adapters.insert(key.second);
  return {adapters.begin(), adapters.end()};
}

}  // namespace moorfold
