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

/// Whether a request of a route may be retried after an attempt that may have been executed.
enum class RouteType : std::uint8_t {
  kRepeatable,  ///< May be executed more than once.
  kAtMostOnce,  ///< Executed at most once for each client attempt.
  kStream       ///< Answered by a stream of events; at most once unless the route is resumable.
};

/// One service of a route and its share of the route's traffic.
struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Selects the requests for one or more services and defines their timeouts, retries and priority.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteType type = RouteType::kAtMostOnce;
  Milliseconds timeout{0};     ///< The longest time that a request is held; 0: unlimited.
  Milliseconds target{0};      ///< Responses within this time have their full value.
  Milliseconds gap_target{0};  ///< Longest acceptable pause between events of a stream.
  std::uint32_t attempts = 1;  ///< Maximum number of servers that one request may be executed on.
  std::uint32_t priority = 0;  ///< 0 is the most urgent.
  bool open = false;           ///< Clients need no API key.
  bool resumable = false;      ///< A broken stream may continue on another server.
  std::vector<WeightedService> services;  ///< At least one.

  bool HasService(const std::string& service) const {
    for (const WeightedService& part : services)
      if (part.service == service) return true;
    return false;
  }
};

/// Resource costs of a model as the operator states them. Sizes are in megabytes.
struct ModelDescription {
  std::string name;
  double weights_mb = 0;
  double adapter_mb = 0;           ///< Of each adapter of the model.
  Milliseconds load_time{0};       ///< From the weight store.
  Milliseconds disk_load_time{0};  ///< From the server's own disk.
  Milliseconds warm_load_time{0};  ///< From the server's host memory.
};

/// Capacity of the model servers of one service.
struct EngineDescription {
  std::uint32_t slots = 1;
  double kv_capacity_tokens = 0;
  double weights_mb = 0;  ///< Memory of each server for weights and adapters.
  std::uint32_t adapter_slots = 0;
  double loads_per_second = 1;  ///< Loads from the weight store, over all servers together.
  std::vector<ModelDescription> models;
};

struct ServiceDescription {
  std::string name;
  std::uint32_t max_connections = 0;  ///< To one server, from all clients together; 0: unlimited.
  std::optional<EngineDescription> engine;
};

/// Limits on the size and duration of a client's request.
struct ClientLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4ULL * 1024 * 1024;
  Milliseconds header_timeout{3'000};
  Milliseconds idle_timeout{15'000};
};

/// One complete configuration as the operator wrote it. Immutable once published.
struct RoutingConfiguration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceDescription> services;
  ClientLimits limits;
  std::vector<Tenant> tenants;  ///< If empty, clients need no API key.

  const ServiceDescription* FindService(const std::string& name) const {
    for (const ServiceDescription& service : services)
      if (service.name == name) return &service;
    return nullptr;
  }
};
using RoutingConfigurationConstPtr = std::shared_ptr<const RoutingConfiguration>;

}  // namespace moorfold
