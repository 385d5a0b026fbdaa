#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace moorfold {

/// The end of a soak: all gateways are killed, get some time to recover, and have to serve.
constexpr std::chrono::milliseconds kFinalFault{26'000};
/// After a planned stop that is judged, nothing else goes wrong for so long.
constexpr std::chrono::milliseconds kCalmAfter{10'000};

/// What the caller does to a gateway's process.
enum class SignalKind : std::uint8_t { kTerminate, kKill, kPause, kReload, kKillAll };

struct PlannedSignal {
  std::chrono::milliseconds at;
  SignalKind kind;
  int gateway;
  std::chrono::milliseconds length;
  bool judged_stop = false;  ///< A planned stop around which nothing else goes wrong.
};

const char* Name(SignalKind kind);

/// The same seed gives the same signals.
std::vector<PlannedSignal> PlanSignals(std::uint64_t seed, std::chrono::milliseconds length,
                                       int gateways);

/// All gateways are killed every few seconds; in between, some are killed or paused. The same seed
/// gives the same signals.
std::vector<PlannedSignal> PlanVersionSignals(std::uint64_t seed, std::chrono::milliseconds length,
                                              int gateways);

/// @return for how long a gateway is out of touch, from a second before the signal on.
std::chrono::milliseconds OutOfTouch(const PlannedSignal& signal);

}  // namespace moorfold
