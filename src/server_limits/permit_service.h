#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/async_signal.h"
#include "gateway/server_directory.h"
#include "server_limits/fallback_permits.h"
#include "server_limits/permit_allocator.h"
#include "server_limits/permit_counters.h"

namespace moorfold {

/// Enforces the rate limits that servers state, over all daemons together. Requests a permit from
/// the leader for each request to a limited server (see limits::PermitAllocator), or allocates
/// permits itself while this daemon is the leader. Falls back to limits::FallbackPermits if no
/// allocator responds. Not thread-safe.
class PermitService {
 public:
  /// Functions through which the service reaches the rest of the daemon.
  struct Ports {
    std::function<void(const std::string& to, const PermitRequest& request)> ask;
    std::function<void(const std::string& to, const PermitResponse& response)> answer;
    /// @return "IP:PORT" of the known leader; empty if there is none.
    std::function<std::string()> leader;
    std::function<limits::AllocatorRole()> role;
    /// @return number of daemons in the fleet; 0 if unknown.
    std::function<std::uint32_t()> daemons;
  };

  /// @param self "IP:PORT" at which other daemons reach this one.
  PermitService(boost::asio::io_context& context, std::string self, PermitCounters& counters,
                Ports ports);

  /// Obtains a permit to send a request to the server, and waits until the permit is valid.
  /// @param max_wait how long the request may wait for its permit.
  /// @return whether the request may be sent at once. If not, the server records when to try again
  /// (Server::MarkAtLimit).
  Awaitable<bool> Acquire(ServerPtr server, std::chrono::milliseconds max_wait);
  /// Reports to the leader that the server no longer states a limit, so that other daemons need not
  /// request permits.
  void ReportLimitRemoved(const Server& server);

  /// Handles a message of another daemon. @param from "IP:PORT" of the sender.
  void Hear(const PermitRequest& request, const std::string& from);
  void Hear(const PermitResponse& response, const std::string& from);

 private:
  using Time = BootClock::time_point;

  PermitRequest MakeRequest(const Server& server, std::chrono::microseconds max_wait);
  /// @return nothing if no allocator responds.
  Awaitable<std::optional<PermitResponse>> RequestPermit(const PermitRequest& request);
  /// Uses the fallback share of this daemon when no allocator responds.
  bool TryFallbackPermit(Server& server);

  std::string self_;
  PermitCounters& counters_;
  Ports ports_;
  limits::PermitAllocator allocator_;
  limits::FallbackPermits fallback_permits_;
  AsyncSignal response_arrived_;
  /// Pending permit requests, keyed by their asked_at_us.
  std::map<std::int64_t, std::optional<PermitResponse>> pending_;
  std::int64_t last_asked_us_ = 0;
  /// The leader has not responded recently and is not asked before this time.
  Time leader_unresponsive_until_{};
};

}  // namespace moorfold
