#include "request/request_metrics.h"

namespace moorfold {
namespace {

prometheus::Family<prometheus::Counter>& Requests(prometheus::Registry& registry) {
  return prometheus::BuildCounter()
      .Name("moorfold_requests_total")
      .Help("Requests by their end")
      .Register(registry);
}

prometheus::Family<prometheus::Histogram>& FirstByte(prometheus::Registry& registry) {
  return prometheus::BuildHistogram()
      .Name("moorfold_first_byte_seconds")
      .Help("Time from a request's arrival to the first byte of its answer")
      .Register(registry);
}

const prometheus::Histogram::BucketBoundaries kWarmBuckets = {
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.37, 0.5, 1, 2, 5};
const prometheus::Histogram::BucketBoundaries kColdBuckets = {0.1, 0.2, 0.5, 1,  2,  5,
                                                              10,  20,  30,  60, 120};

}  // namespace

RequestMetrics::RequestMetrics(prometheus::Registry& registry)
    : served(Requests(registry).Add({{"end", "served"}})),
      refused(Requests(registry).Add({{"end", "refused_not_run"}})),
      unknown(Requests(registry).Add({{"end", "unknown"}})),
      retries(prometheus::BuildCounter()
                  .Name("moorfold_retries_total")
                  .Help("Attempts after the first")
                  .Register(registry)
                  .Add({})),
      disconnected(Requests(registry).Add({{"end", "caller_left"}})),
      first_byte_warm(FirstByte(registry).Add({{"start", "warm"}}, kWarmBuckets)),
      first_byte_cold(FirstByte(registry).Add({{"start", "cold"}}, kColdBuckets)) {}

}  // namespace moorfold
