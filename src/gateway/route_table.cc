#include "gateway/route_table.h"

#include <algorithm>

namespace moorfold {

RouteTable::RouteTable(RoutingConfigurationConstPtr configuration)
    : configuration_(std::move(configuration)),
      tenants_(configuration_->tenants),
      separation_(balancing::MakeSeparationPolicies(*configuration_)) {
  for (const Route& route : configuration_->routes) by_host_[route.host].push_back(&route);
  for (auto& [host, routes] : by_host_)
    std::stable_sort(routes.begin(), routes.end(), [](const Route* left, const Route* right) {
      return left->path_prefix.size() > right->path_prefix.size();
    });
}

const Route* RouteTable::Find(std::string_view host, std::string_view target) const {
  const auto found = by_host_.find(std::string(host.substr(0, host.find(':'))));
  if (found == by_host_.end()) return nullptr;
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route* route : found->second)
    if (path.starts_with(route->path_prefix)) return route;
  return nullptr;
}

const balancing::SeparationPolicy& RouteTable::SeparationOf(const std::string& service) const {
  static const balancing::SeparationPolicy kOff;
  const auto found = separation_.find(service);
  return found == separation_.end() ? kOff : found->second;
}

const std::string& WeightedRoundRobin::Next(const Route& route) {
  if (route.services.size() == 1) return route.services.front().service;
  std::vector<double>& credits = credits_[route.name];
  credits.resize(route.services.size(), 0);
  double total = 0;
  for (std::size_t part = 0; part < credits.size(); ++part) {
    credits[part] += route.services[part].weight;
    total += route.services[part].weight;
  }
  const auto largest = std::max_element(credits.begin(), credits.end());
  *largest -= total;
  return route.services[static_cast<std::size_t>(largest - credits.begin())].service;
}

}  // namespace moorfold
