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

/// Lets requests go to servers that name a limit, as many as all daemons together may send there:
/// asks the leader for each (see limits::PermitAllocator), or answers while this daemon leads. One
/// thread.
class PermitService {
 public:
  struct Ports {
    std::function<void(const std::string& to, const PermitRequest& question)> ask;
    std::function<void(const std::string& to, const PermitResponse& answer)> answer;
    /// @return "IP:PORT" of whoever leads, as far as known; empty: nobody.
    std::function<std::string()> leader;
    std::function<limits::AllocatorRole()> role;
    /// @return daemons of the fleet, as far as known; 0: unknown.
    std::function<std::uint32_t()> daemons;
  };

  /// @param self "IP:PORT" at which other daemons reach this one.
  PermitService(boost::asio::io_context& context, std::string self, PermitCounters& figures,
                Ports ports);

  /// @param patience how long the request may wait for its turn.
  /// @return whether a request may be sent to the server at once. If not, the server knows when
  /// another may be (Server::NoteAtLimit).
  Awaitable<bool> Acquire(ServerPtr server, std::chrono::milliseconds max_wait);
  /// The server names no limit any more: others need not ask for it.
  void ReportLimitRemoved(const Server& server);

  /// From other daemons. @param from "IP:PORT" of the sender.
  void Hear(const PermitRequest& question, const std::string& from);
  void Hear(const PermitResponse& answer, const std::string& from);

 private:
  using Time = BootClock::time_point;

  PermitRequest MakeQuestion(const Server& server, std::chrono::microseconds max_wait);
  /// @return nothing where nobody answers.
  Awaitable<std::optional<PermitResponse>> Ask(const PermitRequest& question);
  /// Nobody answers: the daemon's own part of the limit counts.
  bool TakeOwnTurn(Server& server);

  std::string self_;
  PermitCounters& figures_;
  Ports ports_;
  limits::PermitAllocator pool_;
  limits::FallbackPermits fallback_permits_;
  AsyncSignal answered_;
  /// Questions under way, by when they were asked.
  std::map<std::int64_t, std::optional<PermitResponse>> open_;
  std::int64_t last_asked_us_ = 0;
  Time silent_until_{};  ///< Whoever leads has not answered lately.
};

}  // namespace moorfold
