#include "core/demand/residency_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>
#include <utility>

namespace moorfold {
namespace {

constexpr Duration kForever = std::chrono::hours(24 * 365);
constexpr Duration kNoKeepAlive = std::chrono::seconds(1);

constexpr std::array<std::pair<PolicyKind, const char*>, 5> kPolicyNames{{
    {PolicyKind::kOnDemand, "on_demand"},
    {PolicyKind::kAlwaysLoaded, "always_loaded"},
    {PolicyKind::kFixedKeepAlive, "fixed_keep_alive"},
    {PolicyKind::kHistogramKeepAlive, "histogram_keep_alive"},
    {PolicyKind::kCostAware, "cost_aware"},
}};

class FixedKeepAlive : public ResidencyPolicy {
 public:
  explicit FixedKeepAlive(Duration keep_alive) : keep_alive_(keep_alive) {}
  Duration KeepAlive(const ModelIntent&, const ModelDemand&, std::uint32_t,
                     Timestamp) const override {
    return keep_alive_;
  }
  bool HoldAhead(const ModelIntent&, const ModelDemand&, Timestamp) const override { return false; }

 private:
  Duration keep_alive_;
};

class AlwaysLoaded : public FixedKeepAlive {
 public:
  AlwaysLoaded() : FixedKeepAlive(kForever) {}
  bool HoldAhead(const ModelIntent&, const ModelDemand&, Timestamp) const override { return true; }
};

/// @return the upper bound of a bucket of the gap histogram.
Duration GapEdge(std::size_t bucket) { return std::chrono::seconds(std::int64_t{1} << bucket); }

std::uint32_t GapCount(const DemandHistory& history) {
  std::uint32_t total = 0;
  for (const std::uint32_t count : history.gaps) total += count;
  return total;
}

/// Keeps a replica for the 95th percentile of the gaps.
class HistogramKeepAlive : public ResidencyPolicy {
 public:
  explicit HistogramKeepAlive(Duration fallback) : fallback_(fallback) {}
  Duration KeepAlive(const ModelIntent&, const ModelDemand& demand, std::uint32_t,
                     Timestamp) const override {
    const std::uint32_t total = GapCount(demand.history);
    if (total < kEnoughGaps) return fallback_;
    double seen = 0;
    for (std::size_t bucket = 0; bucket < kGapBuckets; ++bucket) {
      seen += demand.history.gaps[bucket];
      if (seen >= kCoveredShare * total) return GapEdge(bucket);
    }
    return fallback_;
  }
  bool HoldAhead(const ModelIntent&, const ModelDemand&, Timestamp) const override { return false; }

 private:
  static constexpr std::uint32_t kEnoughGaps = 10;
  static constexpr double kCoveredShare = 0.95;
  Duration fallback_;
};

/// Weighs accelerator time against the expected cold start. In an hour with `rate` bursts an
/// hour, holding the model for that hour costs 3600 accelerator-seconds and saves `rate` cold
/// starts of `load_time` each, weighted by the intent's cold_start_second_cost. In an hour in which
/// that does not pay, a replica is kept while the gap histogram makes the next request likely
/// enough to pay for the time held.
class CostAware : public ResidencyPolicy {
 public:
  CostAware(Duration assumed_load_time, Duration fallback)
      : assumed_load_time_(assumed_load_time), fallback_(fallback) {}

  Duration KeepAlive(const ModelIntent& model, const ModelDemand& demand, std::uint32_t level,
                     Timestamp) const override {
    const double cold_cost = ColdStartCost(model, demand);
    if (level > 0) return FromSeconds(std::min(cold_cost, ToSeconds(fallback_)));
    const std::uint32_t total = GapCount(demand.history);
    if (total < kEnoughGaps) return FromSeconds(std::min(cold_cost, ToSeconds(fallback_)));
    return BestKeepAlive(demand.history, total, cold_cost);
  }

  bool HoldAhead(const ModelIntent& model, const ModelDemand& demand,
                 Timestamp now) const override {
    const Duration ahead = LoadTime(demand) + kPrewarmMargin;
    return WorthHolding(model, demand, now) || WorthHolding(model, demand, now + ahead);
  }

 private:
  static constexpr std::uint32_t kEnoughGaps = 8;
  static constexpr Duration kPrewarmMargin = std::chrono::seconds(60);
  static constexpr double kSecondsPerHour = 3600;

  Duration LoadTime(const ModelDemand& demand) const {
    return demand.load_time > Duration{0} ? demand.load_time : assumed_load_time_;
  }
  double ColdStartCost(const ModelIntent& model, const ModelDemand& demand) const {
    return model.cold_start_second_cost * ToSeconds(LoadTime(demand));
  }
  bool WorthHolding(const ModelIntent& model, const ModelDemand& demand, Timestamp when) const {
    const std::size_t slot = HourOfWeek(when);
    const DemandHistory& history = demand.history;
    const double weeks = history.weeks_by_hour[slot];
    if (weeks <= 0) return false;
    const double bursts = history.bursts_by_hour[slot] / weeks;
    const double chance =
        1.0 - std::exp(-bursts);  // An hour that is held throughout has one cold start.
    return chance * ColdStartCost(model, demand) > kSecondsPerHour;
  }
  /// Evaluates each bucket bound: cost = time held over all gaps + cold starts after longer gaps.
  static Duration BestKeepAlive(const DemandHistory& history, std::uint32_t total,
                                double cold_cost) {
    double best_cost = cold_cost * total;
    Duration best = kNoKeepAlive;
    for (std::size_t edge = 0; edge < kGapBuckets; ++edge) {
      const double keep = ToSeconds(GapEdge(edge));
      double cost = 0;
      for (std::size_t bucket = 0; bucket < kGapBuckets; ++bucket) {
        const double gap = std::min(ToSeconds(GapEdge(bucket)) * 0.75, keep);
        cost += history.gaps[bucket] * (bucket <= edge ? gap : keep + cold_cost);
      }
      if (cost >= best_cost) continue;
      best_cost = cost;
      best = GapEdge(edge);
    }
    return best;
  }

  Duration assumed_load_time_;
  Duration fallback_;
};

}  // namespace

ResidencyPolicyConstPtr MakeResidencyPolicy(const CoreSettings& settings) {
  switch (settings.policy) {
    case PolicyKind::kOnDemand:
      return std::make_shared<FixedKeepAlive>(kNoKeepAlive);
    case PolicyKind::kAlwaysLoaded:
      return std::make_shared<AlwaysLoaded>();
    case PolicyKind::kFixedKeepAlive:
      return std::make_shared<FixedKeepAlive>(settings.keep_alive);
    case PolicyKind::kHistogramKeepAlive:
      return std::make_shared<HistogramKeepAlive>(settings.keep_alive);
    case PolicyKind::kCostAware:
      return std::make_shared<CostAware>(settings.assumed_load_time, settings.keep_alive);
  }
  throw std::invalid_argument("unknown policy kind");
}

const char* ToString(PolicyKind kind) {
  for (const auto& [candidate, name] : kPolicyNames)
    if (candidate == kind) return name;
  return "unknown";
}

std::vector<std::string> PolicyNames() {
  std::vector<std::string> names;
  for (const auto& [kind, name] : kPolicyNames) names.emplace_back(name);
  return names;
}

}  // namespace moorfold
