#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "fleet/routing_configuration.h"
#include "tenants/tenant_directory.h"

namespace moorfold {

/// The routes and tenants of one configuration, made ready for look-ups. Immutable; any thread.
class RouteTable {
 public:
  /// @throws TenantListError where its tenants contradict each other.
  explicit RouteTable(RoutingConfigurationConstPtr configuration);

  /// @param host the Host header, with or without a port.
  /// @param target path and query of the request.
  /// @return the route of that host with the longest prefix of the path, or null.
  const Route* Find(std::string_view host, std::string_view target) const;
  const RoutingConfiguration& configuration() const { return *configuration_; }
  const TenantDirectory& tenants() const { return tenants_; }

 private:
  RoutingConfigurationConstPtr configuration_;
  TenantDirectory tenants_;
  /// By host; the longest prefixes first.
  std::unordered_map<std::string, std::vector<const Route*>> by_host_;
};
using RouteTableConstPtr = std::shared_ptr<const RouteTable>;

/// Deals the requests of split routes to their parts, so that any run of requests is close to the
/// weights. One thread.
class WeightedRoundRobin {
 public:
  /// @return the service that gets the next request of `route`.
  const std::string& Next(const Route& route);

 private:
  /// Credits of the parts of each route, by the route's name.
  std::unordered_map<std::string, std::vector<double>> credits_;
};

}  // namespace moorfold
