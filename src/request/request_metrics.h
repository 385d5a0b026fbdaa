#pragma once

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>

namespace moorfold {

/// What callers experience, as Prometheus metrics. Any thread.
class RequestMetrics {
 public:
  explicit RequestMetrics(prometheus::Registry& registry);

  prometheus::Counter& served;
  prometheus::Counter& refused;  ///< Not run.
  prometheus::Counter& unknown;  ///< May have been run.
  prometheus::Counter& retries;
  prometheus::Counter& disconnected;       ///< The caller went away first.
  prometheus::Histogram& first_byte_warm;  ///< Seconds.
  prometheus::Histogram& first_byte_cold;  ///< Seconds; the request waited for a load.
};

}  // namespace moorfold
