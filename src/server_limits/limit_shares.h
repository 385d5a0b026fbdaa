#pragma once

#include <chrono>

namespace moorfold::limits {

using std::chrono::milliseconds;

/// What a server that names a limit may get: kMaxOvershootFactor times as much, in any window of
/// that length.
inline constexpr milliseconds kLimitWindow{4'000};
inline constexpr double kMaxOvershootFactor = 1.5;

/// Parts of a limit that are given out independently of each other. A leader whose successor it
/// does not know of, and daemons that reach neither, add theirs to the leader's.
inline constexpr double kLeaderShare = 0.9;
inline constexpr double kDeputyShare = 0.3;
inline constexpr double kFallbackShare = 0.2;

/// A request that has its turn is sent within that time.
inline constexpr milliseconds kPermitLifetime{150};
/// An answer that takes longer is not waited for.
inline constexpr milliseconds kAnswerTimeout{120};

// All parts at once, over a window and what was granted just before it, stay inside the promise.
static_assert((kLeaderShare + kDeputyShare + kFallbackShare) *
                  (kLimitWindow + kPermitLifetime + kAnswerTimeout).count() <=
              kMaxOvershootFactor * static_cast<double>(kLimitWindow.count()));

/// A daemon that has found no turn asks again no sooner, and no later: the limit may have ended
/// meanwhile.
inline constexpr milliseconds kMinRetryDelay{5};
inline constexpr milliseconds kMaxRetryDelay{2'000};

/// So much goes to a server in any case: only an answer shows that a limit has risen or ended.
inline constexpr double kProbesPerSecond = 0.1;

}  // namespace moorfold::limits
