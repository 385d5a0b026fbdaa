#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace moorfold {

/// One label of a series of counts.
struct MetricLabel {
  std::string_view name;
  std::string_view value;
};

/// Counts by labels, as Prometheus has them. The number of series is bounded, since names of routes
/// come from configurations: beyond the bound all others are counted together. One thread.
class LabelledCounter {
 public:
  static constexpr std::size_t kMaxSeries = 512;

  /// @param amount whole units.
  void Add(std::initializer_list<MetricLabel> labels, std::uint64_t amount = 1);
  /// @return the count of these labels; 0 when it was never added to.
  std::uint64_t Count(std::initializer_list<MetricLabel> labels) const;
  /// @return the sum over all labels.
  std::uint64_t Total() const;
  /// Appends the lines of the text format for `name`.
  void Render(const std::string& name, std::string& text) const;

 private:
  std::map<std::string, std::uint64_t> series_;  ///< By the labels as they are rendered.
  std::uint64_t others_ = 0;
};

}  // namespace moorfold
