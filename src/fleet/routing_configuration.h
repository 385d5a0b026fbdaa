#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "tenants/tenant.h"

namespace moorfold {

using Milliseconds = std::chrono::milliseconds;

/// What may be done with a request of a route after an attempt that may have run.
enum class RouteType : std::uint8_t {
  kRepeatable,  ///< May run more than once.
  kAtMostOnce,  ///< At most once for each client attempt.
  kStream       ///< Answered by a sequence of events; at most once unless the route is resumable.
};

/// One part of a route's traffic.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Which requests go to which service, and what is promised about them.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteType type = RouteType::kAtMostOnce;
  Milliseconds timeout{0};                ///< The longest that a request is held. 0: no bound.
  Milliseconds target{0};                 ///< Answers within it earn their full worth.
  Milliseconds gap_target{0};             ///< Longest wanted pause between events of a stream.
  std::uint32_t attempts = 1;             ///< Most servers that one request may run on.
  std::uint32_t priority = 0;             ///< 0 is the most urgent.
  bool open = false;                      ///< Callers need no key.
  bool resumable = false;                 ///< A broken stream may go on at another server.
  std::vector<WeightedService> services;  ///< At least one.
};

/// What a model costs. Sizes in megabytes, as the operator states them.
struct ModelDescription {
  std::string name;
  double weights_mb = 0;
  double adapter_mb = 0;           ///< Of each of its adapters.
  Milliseconds load_time{0};       ///< From the weight store.
  Milliseconds disk_load_time{0};  ///< From the server's own disk.
  Milliseconds warm_load_time{0};  ///< From the server's host memory.
};

/// How the model servers of one service work.
struct EngineDescription {
  std::uint32_t slots = 1;
  double kv_capacity_tokens = 0;
  double weights_mb = 0;  ///< Memory of each server for weights and adapters.
  std::uint32_t adapter_slots = 0;
  double loads_per_second = 1;  ///< Loads from the weight store, over all servers.
  std::vector<ModelDescription> models;
};

struct ServiceDescription {
  std::string name;
  std::uint32_t max_connections = 0;  ///< Of one server, from all callers together. 0: no bound.
  std::optional<EngineDescription> engine;
};

/// What a client may send and how long it may take.
struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4ULL * 1024 * 1024;
  Milliseconds header_timeout{3'000};
  Milliseconds idle_timeout{15'000};
};

/// One whole configuration as the operator wrote it. Immutable once published.
struct RoutingConfiguration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceDescription> services;
  ClientLimits limits;
  std::vector<Tenant> tenants;  ///< None: callers need no keys.

  const ServiceDescription* FindService(const std::string& name) const {
    for (const ServiceDescription& service : services)
      if (service.name == name) return &service;
    return nullptr;
  }
};
using RoutingConfigurationConstPtr = std::shared_ptr<const RoutingConfiguration>;

}  // namespace moorfold
