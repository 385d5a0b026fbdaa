#pragma once

#include <chrono>
#include <memory>
#include <string>

#include "common/async_signal.h"
#include "fleet/demand.h"
#include "gateway/route_table.h"
#include "gateway/server_directory.h"

namespace moorfold {

/// What one daemon believes: the configuration, the servers, and its own demand. One thread; the
/// store's view writes it, requests read it.
struct FleetView {
  explicit FleetView(const boost::asio::any_io_executor& executor)
      : changed(executor), demand_raised(executor) {}

  RouteTableConstPtr routes;  ///< Null until a configuration is known.
  ServerDirectory servers;
  DemandBook demand;
  SteadyTime configured_at{};  ///< When `routes` was taken over.
  SteadyTime last_store_contact{};
  AsyncSignal changed;        ///< Notified when a waiting request may find a server now.
  AsyncSignal demand_raised;  ///< Notified when a request begins to wait for a server.

  /// @return whether the store was heard from so lately that its newest configuration is known.
  bool Fresh(SteadyTime now) const {
    constexpr std::chrono::milliseconds kFreshness{4'500};
    return routes != nullptr && now - last_store_contact < kFreshness;
  }
};

}  // namespace moorfold
