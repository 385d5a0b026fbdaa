#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace moorfold {

/// Counts of a latency by upper bounds in milliseconds, as Prometheus histograms are.
class LatencyHistogram {
 public:
  static constexpr std::array<double, 12> kBoundsMs = {1,   2,   5,   10,   20,   50,
                                                       100, 200, 500, 1000, 2000, 5000};
  void Observe(double milliseconds);
  /// Appends the lines of the text format for `name`.
  void Render(const std::string& name, std::string& text) const;

 private:
  std::array<std::uint64_t, kBoundsMs.size()> counts_{};
  std::uint64_t count_ = 0;
  double sum_ms_ = 0;
};

/// What a gateway counts. One thread.
struct GatewayMetrics {
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t failed_may_have_run = 0;
  std::uint64_t broken_off = 0;
  std::uint64_t client_left = 0;
  std::uint64_t no_route = 0;
  std::uint64_t repeats = 0;
  std::uint64_t repeats_denied = 0;
  std::uint64_t waits_for_server = 0;
  std::uint64_t store_failures = 0;
  std::uint64_t store_batches = 0;
  std::uint64_t orders_sent = 0;
  std::uint64_t orders_unanswered = 0;
  std::uint64_t orders_conflicting = 0;
  std::uint64_t log_lines_lost = 0;
  std::int64_t configuration_version = 0;
  std::int64_t servers_known = 0;
  std::int64_t leading = 0;
  std::int64_t store_silence_ms = 0;
  std::int64_t peak_memory_kb = 0;
  LatencyHistogram time_to_head;
  LatencyHistogram wait_for_server;

  /// @return all figures in Prometheus' text format.
  std::string Render() const;
};

}  // namespace moorfold
