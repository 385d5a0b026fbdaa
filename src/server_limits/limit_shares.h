#pragma once

#include <chrono>

namespace moorfold::limits {

using std::chrono::milliseconds;

/// What a server that names a limit may get: kOvershoot times as much, in any window of that
/// length.
inline constexpr milliseconds kWindow{4'000};
inline constexpr double kOvershoot = 1.5;

/// Parts of a limit that are given out independently of each other. A leader whose successor it
/// does not know of, and daemons that reach neither, add theirs to the leader's.
inline constexpr double kLeaderShare = 0.9;
inline constexpr double kDeputyShare = 0.3;
inline constexpr double kOwnShare = 0.2;

/// A request that has its turn is sent within that time.
inline constexpr milliseconds kPermitLife{150};
/// An answer that takes longer is not waited for.
inline constexpr milliseconds kAnswerTimeout{120};

// All parts at once, over a window and what was granted just before it, stay inside the promise.
static_assert((kLeaderShare + kDeputyShare + kOwnShare) *
                  (kWindow + kPermitLife + kAnswerTimeout).count() <=
              kOvershoot * static_cast<double>(kWindow.count()));

/// A daemon that has found no turn asks again no sooner, and no later: the limit may have ended
/// meanwhile.
inline constexpr milliseconds kShortestDenied{5};
inline constexpr milliseconds kLongestDenied{2'000};

/// So much goes to a server in any case: only an answer shows that a limit has risen or ended.
inline constexpr double kProbesPerSecond = 0.1;

}  // namespace moorfold::limits
