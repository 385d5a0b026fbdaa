#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "common/async_signal.h"
#include "fleet/demand.h"
#include "gateway/hold_policy.h"
#include "gateway/route_table.h"
#include "gateway/server_directory.h"

namespace moorfold {

/// What one daemon believes: the configuration, the servers, and its own demand. One thread; the
/// store's view writes it, requests read it.
struct FleetView {
  explicit FleetView(const boost::asio::any_io_executor& executor)
      : changed(executor), demand_raised(executor), refreshed(executor) {}

  RouteTableConstPtr routes;  ///< Null until a configuration is known.
  ServerDirectory servers;
  ExpectedModels expected;
  DemandBook demand;
  SteadyTime configured_at{};             ///< When `routes` was taken over.
  SteadyTime servers_current_at{};        ///< At that time the store knew no more of servers.
  SteadyTime configuration_current_at{};  ///< The same of the configuration.
  /// A configuration must be in force so soon after the store has it. Source: the platform's bound.
  std::chrono::milliseconds configuration_bound{2'000};
  bool configuration_readable = true;  ///< False: what stands in its place cannot be read.
  /// A server that leaves must be unused so soon after the store has it. Source: the same.
  std::chrono::milliseconds staleness_bound{2'000};
  /// Nothing says that the store is out of reach: its last read was answered, and no request has
  /// waited in vain for one since.
  bool store_reachable = false;
  AsyncSignal changed;        ///< Notified when a waiting request may find a server now.
  AsyncSignal demand_raised;  ///< Notified when a request begins to wait for a server.
  AsyncSignal refreshed;      ///< Notified when the store was read, or could not be.

  /// What a daemon does while it knows that it is behind:
  /// - It goes on sending requests to servers as it knew them last. A server proves itself with
  ///   each answer: one that is not the one expected, or is leaving, says so, and is not used
  ///   again. Refusing instead would end the service of every daemon in an outage of the store.
  /// - It goes on using the routes that it knows. A route that it does not know may have been added
  ///   since: its requests are turned away at once as not run, with a time to come back, and never
  ///   told that there is no such route, unless this holds.
  /// @return whether no configuration can be in force by now that this daemon does not know.
  bool ConfigurationCurrent(SteadyTime now) const {
    return routes != nullptr && now - configuration_current_at < configuration_bound;
  }

  /// What is older than its bound is not used while the store answers: a process that stood still,
  /// or waited for the processor, finds requests in its sockets before it has read what changed
  /// meanwhile.
  /// @return whether a request is to wait for the read of the store that is due or under way.
  bool ShouldAwaitRead(SteadyTime now) const {
    const bool configuration_old = configuration_readable && !ConfigurationCurrent(now);
    const bool old = configuration_old || now - servers_current_at >= staleness_bound;
    return routes != nullptr && store_reachable && old;
  }
};

}  // namespace moorfold
