#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include "request/request_metrics.h"
#include "request/routing_table.h"

namespace moorfold {

struct RequestLimits {
  std::uint32_t queued_per_model = 1'000;  ///< Per worker thread.
  std::uint64_t queued_bytes = 64ULL * 1024 * 1024;
  std::uint32_t requests_per_caller = 1'000;  ///< Per worker thread.
};

/// What the worker threads of one daemon share. Every member is safe from any thread.
struct WorkerShared {
  RoutingTablePublisher tables;
  RequestLimits limits;
  RequestMetrics* metrics = nullptr;
  std::atomic<std::uint64_t> queued_bytes{0};
  std::atomic<std::uint64_t> next_request{0};
  std::string daemon_name;
  std::uint64_t incarnation = 0;
  std::uint32_t worker_count = 1;
  /// Tells the core that requests wait for a model.
  std::function<void()> nudge_core;
  /// Wakes the requests that wait for a replica, on every worker.
  std::function<void()> wake_waiting;
};

}  // namespace moorfold
