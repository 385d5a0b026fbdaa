#pragma once

#include <chrono>
#include <optional>

#include "common/boot_clock.h"

namespace moorfold {

/// What a server advises daemons in the headers of one response.
struct ServerAdvisory {
  bool leaving = false;  ///< The server is about to stop.
  /// Requests a second that the server accepts from all daemons together; empty if the response
  /// names no limit.
  std::optional<double> limit_per_second;
  /// The server rejected the request and asks this daemon to send no other for this long; 0 if it
  /// names no duration.
  std::chrono::milliseconds pause{0};
};

/// Advisories that a server process has sent so far, merged. Entries of the store carry none of
/// them, so reading an entry again does not reset them. Pure.
struct ServerAdvisoryState {
  using Time = BootClock::time_point;

  bool leaving = false;                    ///< Stays set until the server process ends.
  std::optional<double> limit_per_second;  ///< In force until a response omits it.
  Time limit_received_at{};                ///< When a response last named it.
  /// Send time of the request whose response last set or cleared `limit_per_second`. The server
  /// stated the limit no earlier than that.
  Time limit_requested_at{};
  Time paused_until{};

  /// Merges the advisory of one response.
  /// @param sent_at Send time of the request. A response without a limit clears the limit only if
  /// its request was sent after the limit was received, since responses on different connections
  /// can overtake each other.
  /// @param from_run Whether the server executed the request. Only then does a missing limit mean
  /// that there is none.
  /// @return whether the state changed.
  bool Take(const ServerAdvisory& statement, Time sent_at, Time now, bool from_run);
};

}  // namespace moorfold
