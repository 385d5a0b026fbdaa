#pragma once

#include <chrono>

namespace moorfold::limits {

using std::chrono::milliseconds;

/// A server that states a rate limit receives at most kMaxOvershootFactor times that rate in any
/// window of length kLimitWindow.
inline constexpr milliseconds kLimitWindow{4'000};
inline constexpr double kMaxOvershootFactor = 1.5;

/// Shares of a limit that are granted independently of each other: by the leader, by a former
/// leader that does not know its successor (deputy), and by daemons that reach neither (fallback).
/// The deputy and fallback shares may be spent in addition to the leader's.
inline constexpr double kLeaderShare = 0.9;
inline constexpr double kDeputyShare = 0.3;
inline constexpr double kFallbackShare = 0.2;

/// A request is sent within this time after its permit becomes valid.
inline constexpr milliseconds kPermitLifetime{150};
/// Timeout for a response to a permit request.
inline constexpr milliseconds kResponseTimeout{120};

// All shares together, over a window plus the permits granted just before it, must stay within the
// guaranteed maximum.
static_assert((kLeaderShare + kDeputyShare + kFallbackShare) *
                  (kLimitWindow + kPermitLifetime + kResponseTimeout).count() <=
              kMaxOvershootFactor * static_cast<double>(kLimitWindow.count()));

/// Bounds on the delay after which a daemon that was denied asks again. The upper bound exists
/// because the limit may have ended in the meantime.
inline constexpr milliseconds kMinRetryDelay{5};
inline constexpr milliseconds kMaxRetryDelay{2'000};

/// Minimum rate sent to any limited server, because only a response shows that a limit was raised
/// or removed.
inline constexpr double kProbesPerSecond = 0.1;

}  // namespace moorfold::limits
