#pragma once

#include <chrono>
#include <optional>

#include "common/boot_clock.h"

namespace moorfold {

/// What a server says of itself beside one answer.
struct ServerAdvisory {
  bool leaving = false;  ///< It is about to end.
  /// Requests a second that it takes from all daemons together; nothing: it names no limit.
  std::optional<double> limit_per_second;
  /// It turned the request away and wants no other of this daemon for so long; 0: it names no time.
  std::chrono::milliseconds pause{0};
};

/// What a server has said of itself so far, in one life. Entries of the store know none of it, so
/// no entry that is read anew takes it back. Pure.
struct ServerAdvisoryState {
  using Time = BootClock::time_point;

  bool leaving = false;                    ///< For the rest of its life.
  std::optional<double> limit_per_second;  ///< In force until an answer names it no more.
  Time limit_received_at{};                ///< When an answer last named it.
  /// When the request was sent whose answer showed `limit_per_second` as it is: the server said so
  /// no earlier.
  Time limit_requested_at{};
  Time paused_until{};

  /// Takes over what an answer says.
  /// @param sent_at when its request was sent. An answer without a limit ends one only if its
  /// request was sent after the limit was heard: answers on different connections may pass each
  /// other.
  /// @param from_run whether the server ran the request. Only then does a missing limit mean none.
  /// @return whether anything is new.
  bool Take(const ServerAdvisory& statement, Time sent_at, Time now, bool from_run);
};

}  // namespace moorfold
