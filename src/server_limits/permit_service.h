#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "common/async_signal.h"
#include "gateway/server_directory.h"
#include "server_limits/own_turns.h"
#include "server_limits/permit_figures.h"
#include "server_limits/permit_pool.h"

namespace moorfold {

/// Lets requests go to servers that name a limit, as many as all daemons together may send there:
/// asks the leader for each (see limits::PermitPool), or answers while this daemon leads. One
/// thread.
class PermitService {
 public:
  struct Ports {
    std::function<void(const std::string& to, const PermitQuestion& question)> ask;
    std::function<void(const std::string& to, const PermitAnswer& answer)> answer;
    /// @return "IP:PORT" of whoever leads, as far as known; empty: nobody.
    std::function<std::string()> leader;
    std::function<limits::PoolRole()> role;
    /// @return daemons of the fleet, as far as known; 0: unknown.
    std::function<std::uint32_t()> daemons;
  };

  /// @param self "IP:PORT" at which other daemons reach this one.
  PermitService(boost::asio::io_context& context, std::string self, PermitFigures& figures,
                Ports ports);

  /// @param patience how long the request may wait for its turn.
  /// @return whether a request may be sent to the server at once. If not, the server knows when
  /// another may be (Server::MarkAtLimit).
  Awaitable<bool> Acquire(ServerPtr server, std::chrono::milliseconds patience);
  /// The server names no limit any more: others need not ask for it.
  void TellUnlimited(const Server& server);

  /// From other daemons. @param from "IP:PORT" of the sender.
  void Hear(const PermitQuestion& question, const std::string& from);
  void Hear(const PermitAnswer& answer, const std::string& from);

 private:
  using Time = BootClock::time_point;

  PermitQuestion MakeQuestion(const Server& server, std::chrono::microseconds patience);
  /// @return nothing where nobody answers.
  Awaitable<std::optional<PermitAnswer>> Ask(const PermitQuestion& question);
  /// Nobody answers: the daemon's own part of the limit counts.
  bool TakeOwnTurn(Server& server);

  std::string self_;
  PermitFigures& figures_;
  Ports ports_;
  limits::PermitPool pool_;
  limits::OwnTurns own_turns_;
  AsyncSignal answered_;
  /// Questions under way, by when they were asked.
  std::map<std::int64_t, std::optional<PermitAnswer>> open_;
  std::int64_t last_asked_us_ = 0;
  Time silent_until_{};  ///< Whoever leads has not answered lately.
};

}  // namespace moorfold
