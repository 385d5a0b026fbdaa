#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "balancing/separation_policy.h"
#include "fleet/routing_configuration.h"
#include "tenants/tenant_directory.h"

namespace moorfold {

/// Index over the routes and tenants of one configuration. Immutable and thread-safe.
class RouteTable {
 public:
  /// @throws TenantListError if its tenants contradict each other.
  explicit RouteTable(RoutingConfigurationConstPtr configuration);

  /// @param host the Host header, with or without a port.
  /// @param target path and query of the request.
  /// @return the host's route with the longest matching path prefix, or null.
  const Route* Find(std::string_view host, std::string_view target) const;
  const RoutingConfiguration& configuration() const { return *configuration_; }
  const TenantDirectory& tenants() const { return tenants_; }
  /// @return the service's policy; one that is off if the service has no engine.
  const balancing::SeparationPolicy& SeparationOf(const std::string& service) const;

 private:
  RoutingConfigurationConstPtr configuration_;
  TenantDirectory tenants_;
  balancing::SeparationPolicies separation_;
  /// By host, longest path prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};
using RouteTableConstPtr = std::shared_ptr<const RouteTable>;

/// Distributes the requests of a route over its weighted services by smooth weighted round robin:
/// any sequence of requests is close to the weights. Not thread-safe.
class WeightedRoundRobin {
 public:
  /// @return the service that gets the next request of `route`.
  const std::string& Next(const Route& route);

 private:
  /// Current weights of the services of each route, by route name.
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace moorfold
