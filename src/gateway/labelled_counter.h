#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace moorfold {

/// One label of a metric series.
struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

/// A Prometheus counter with labels. Not thread-safe. The number of series is bounded, since route
/// names come from configurations; further label sets are counted in one common series.
class LabelledCounter {
 public:
  static constexpr std::size_t kMaxSeries = 512;

  /// @param amount in the unit of the metric.
  void Add(std::initializer_list<MetricLabel> labels, std::uint64_t amount = 1);
  /// @return the count for these labels; 0 if there is none.
  std::uint64_t Count(std::initializer_list<MetricLabel> labels) const;
  /// @return the sum over all series.
  std::uint64_t Total() const;
  /// Appends the metric `name` in the Prometheus text format.
  void Render(const std::string& name, std::string& text) const;

 private:
  std::map<std::string, std::uint64_t> series_;  ///< By rendered labels.
  std::uint64_t others_ = 0;
};

}  // namespace moorfold
