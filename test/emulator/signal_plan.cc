#include "signal_plan.h"

#include <algorithm>
#include <random>

namespace moorfold {

using std::chrono::milliseconds;
using std::chrono::seconds;

const char* Name(SignalKind kind) {
  switch (kind) {
    case SignalKind::kTerminate:
      return "term";
    case SignalKind::kKill:
      return "kill";
    case SignalKind::kPause:
      return "pause";
    case SignalKind::kReload:
      return "hup";
    case SignalKind::kKillAll:
      return "kill_all";
  }
  return "none";
}

std::vector<PlannedSignal> PlanSignals(std::uint64_t seed, milliseconds length, int gateways) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  std::vector<PlannedSignal> signals;
  milliseconds at = seconds(10);
  const milliseconds last = length - kFinalFault;
  const auto draw_signal = [&] {
    return PlannedSignal{at, static_cast<SignalKind>(draw(0, 3)), draw(0, gateways - 1),
                         milliseconds(draw(500, 4'000))};
  };
  while (at + seconds(15) < last) {
    // A series strikes different gateways shortly after each other; one in three comes alone.
    const int length_of_series = draw(0, 2) == 0 ? 1 : draw(2, std::max(2, gateways));
    PlannedSignal signal = draw_signal();
    signal.judged_stop = length_of_series == 1 && signal.kind == SignalKind::kTerminate;
    signals.push_back(signal);
    for (int next = 1; next < length_of_series; ++next) {
      at += milliseconds(draw(100, 1'500));
      PlannedSignal another = draw_signal();
      another.gateway = (signal.gateway + next) % gateways;
      signals.push_back(another);
    }
    const milliseconds least = signal.judged_stop ? kCalmAfter : seconds(4);
    at += least + milliseconds(draw(0, 10'000));
  }
  signals.push_back({last, SignalKind::kKillAll, 0, milliseconds(1'000)});
  return signals;
}

std::vector<PlannedSignal> PlanVersionSignals(std::uint64_t seed, milliseconds length,
                                              int gateways) {
  constexpr milliseconds kFirst{8'000};
  constexpr milliseconds kCalmEnd{9'000};
  constexpr milliseconds kBackAfterKill{300};
  std::mt19937_64 random(seed);
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  std::vector<PlannedSignal> signals;
  for (milliseconds at = kFirst; at < length - kCalmEnd;) {
    signals.push_back({at, SignalKind::kKillAll, 0, kBackAfterKill});
    milliseconds next = at + milliseconds(draw(2'000, 3'500));
    signals.push_back({next, draw(0, 2) == 0 ? SignalKind::kKill : SignalKind::kPause,
                       draw(0, gateways - 1), milliseconds(draw(500, 2'500))});
    at = next + milliseconds(draw(3'000, 5'500));
  }
  return signals;
}

milliseconds OutOfTouch(const PlannedSignal& signal) {
  constexpr milliseconds kEarly{1'000};
  constexpr milliseconds kLongestStop{8'500};
  constexpr milliseconds kContact{3'000};
  if (signal.kind == SignalKind::kReload) return milliseconds(0);
  const bool stops = signal.kind == SignalKind::kTerminate;
  return kEarly + (stops ? kLongestStop : signal.length) + kContact;
}

}  // namespace moorfold
