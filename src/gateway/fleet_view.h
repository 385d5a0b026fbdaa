#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "common/async_signal.h"
#include "fleet/demand.h"
#include "gateway/route_table.h"
#include "gateway/server_directory.h"
#include "gateway/wait_policy.h"

namespace moorfold {

/// What one daemon knows of the fleet: the configuration, the servers and its own demand. Not
/// thread-safe; StoreView writes it and request handling reads it.
struct FleetView {
  explicit FleetView(const boost::asio::any_io_executor& executor)
      : changed(executor), demand_raised(executor), refreshed(executor) {}

  RouteTableConstPtr routes;  ///< Null until a configuration is known.
  ServerDirectory servers;
  ExpectedModelLoads expected;
  ModelDemandCounters demand;
  SteadyTime configured_at{};       ///< When `routes` was last replaced.
  SteadyTime servers_current_at{};  ///< `servers` was complete as of this time.
  /// `routes` was the newest configuration as of this time.
  SteadyTime configuration_current_at{};
  /// A configuration must be in force within this time after the store has it. The platform defines
  /// this bound.
  std::chrono::milliseconds configuration_bound{2'000};
  /// False while the store's configuration entry is missing, unreadable or older than `routes`.
  bool configuration_readable = true;
  /// A leaving server must receive no more requests within this time after the store shows that it
  /// leaves. The platform defines this bound.
  std::chrono::milliseconds staleness_bound{2'000};
  /// Whether the store is considered reachable: its last read succeeded, and no request has since
  /// waited for a read that did not complete.
  bool store_reachable = false;
  AsyncSignal changed;        ///< Notified when a waiting request may now find a server.
  AsyncSignal demand_raised;  ///< Notified when a request begins to wait for a server.
  AsyncSignal refreshed;      ///< Notified when a read of the store succeeds or fails.

  /// While a daemon knows that its view is outdated:
  /// - It keeps sending requests to the servers that it knows. Each response identifies its server,
  ///   so a server that has been replaced or is leaving is detected and no longer used. Rejecting
  ///   the requests instead would stop every daemon during an outage of the store.
  /// - It keeps using the routes that it knows. A request without a matching route may belong to a
  ///   route that was added since, so it is rejected at once as not executed, with a time to retry.
  ///   It is told that there is no such route only while this function returns true.
  /// @return whether `routes` is certain to be the configuration in force.
  bool ConfigurationCurrent(SteadyTime now) const {
    return routes != nullptr && now - configuration_current_at < configuration_bound;
  }

  /// A view older than its bound is not used while the store is reachable. After the process was
  /// suspended or waited for the CPU, requests may be queued in its sockets before it has read what
  /// changed in the meantime.
  /// @return whether a request must wait for the read of the store that is due or in progress.
  bool ShouldAwaitRead(SteadyTime now) const {
    const bool configuration_old = configuration_readable && !ConfigurationCurrent(now);
    const bool old = configuration_old || now - servers_current_at >= staleness_bound;
    return routes != nullptr && store_reachable && old;
  }
};

}  // namespace moorfold
