#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "detour/detour_grants.h"
#include "detour/detour_messages.h"
#include "detour/detour_peers.h"

namespace moorfold {

/// Counters of one daemon, exported as metrics.
struct DetourCounters {
  std::uint64_t sent = 0;       ///< Requests that this daemon sent through another one.
  std::uint64_t carried = 0;    ///< Requests of other daemons that this one took.
  std::uint64_t declined = 0;   ///< Requests of other daemons that this one did not take.
  std::uint64_t not_found = 0;  ///< Requests for which no daemon offered a detour.
};

/// Finds daemons that forward requests to servers which this daemon cannot reach, and offers the
/// same to others: a detour of one hop, as in resilient overlay networks (Andersen et al., SOSP
/// 2001). Daemons are asked only while a request needs it, so nothing is sent in ordinary times,
/// and what is sent does not grow with the size of the fleet. Not thread-safe.
class DetourService {
 public:
  /// Functions through which the service reaches the rest of the daemon.
  struct Ports {
    std::function<void(const std::string& to, const DetourQuery& query)> ask;
    std::function<void(const std::string& to, const DetourOffer& offer)> answer;
    /// @return "IP:PORT" of each other known daemon.
    std::function<std::vector<std::string>()> peers;
    /// @return whether this daemon can forward requests of others now.
    std::function<bool()> accepts;
    /// @return whether the server has responded to this daemon recently.
    std::function<bool(const std::string& server_id)> reaches;
    /// @return number of forwarded requests that this daemon is processing.
    std::function<std::uint32_t()> active;
    std::uint16_t port = 0;  ///< TCP port at which this daemon takes forwarded requests.
  };

  DetourService(boost::asio::io_context& context, DetourCounters& counters, Ports ports);

  /// Finds a daemon for one request. Waits for offers only if none is known, and not for long.
  Awaitable<std::optional<detour::Target>> Find(detour::Need need);
  /// @return whether there are daemons to ask.
  bool HasPeers() const { return !ports_.peers().empty(); }
  /// @return whether a request with that token may be taken from that address.
  bool Allows(std::uint64_t token, const std::string& ip) const {
    return grants_.Allows(token, ip, BootClock::now());
  }

  /// Handles a message of another daemon. @param from "IP:PORT" of the sender.
  void Hear(const DetourQuery& query, const std::string& from);
  void Hear(const DetourOffer& offer, const std::string& from);

 private:
  using Time = BootClock::time_point;

  void Ask(const std::vector<std::string>& server_ids);
  void AskIfDue(const std::vector<std::string>& server_ids);

  DetourCounters& counters_;
  Ports ports_;
  detour::DetourPeers peers_;
  detour::DetourGrants grants_;
  AsyncSignal offer_arrived_;
  std::int64_t asked_at_us_ = 0;  ///< Identifies the latest query.
  Time asked_at_{};
  std::vector<std::string> asked_for_;  ///< Servers of the latest query.
  std::set<std::string> unanswered_;    ///< Daemons that have not answered the latest query.
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace moorfold
