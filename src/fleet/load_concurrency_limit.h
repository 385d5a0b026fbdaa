#pragma once

#include <algorithm>
#include <chrono>

#include "common/boot_clock.h"

namespace moorfold {

/// How many loads from the weight store are worth having under way at once. The store shares its
/// speed among them: beyond some number each takes longer and none is gained, but the urgent ones
/// wait behind the others. That number is nowhere stated, so it is learned from how long loads
/// take, or are taking, against what the operator states for one alone. One thread.
class LoadConcurrencyLimit {
 public:
  using Time = BootClock::time_point;

  /// A load has ended.
  /// @param stated how long it takes alone.
  /// @param taken how long it took, as far as seen: up to a poll's pause too long.
  /// @param together loads that were under way when it began, itself included.
  void RecordCompletedLoad(std::chrono::milliseconds stated, std::chrono::milliseconds taken,
                           std::size_t together, Time now) {
    if (stated.count() <= 0 || taken.count() <= 0 || together == 0) return;
    if (Slowed(stated, taken)) {
      NoteSlowed(stated, taken, together, now);
      return;
    }
    Learn(stated);
    const bool full = static_cast<double>(together) >= limit_ - 1;
    if (full && now - slowed_at_ > kBelieved) limit_ = std::min(kMost, limit_ + 1);
  }
  /// A load is still under way: where it is late already, that shows long before its end.
  void RecordLoadInProgress(std::chrono::milliseconds stated, std::chrono::milliseconds so_far,
                            std::size_t together, Time now) {
    if (stated.count() > 0 && together > 0 && Slowed(stated, so_far))
      NoteSlowed(stated, so_far, together, now);
  }
  /// @param stated how long the load that is to begin takes alone.
  /// @return loads that may begin beside those under way.
  double AvailableLoads(std::size_t under_way, std::chrono::milliseconds stated) {
    const double limit = learned_ ? limit_ : First(stated);
    return std::max(0.0, limit - static_cast<double>(under_way));
  }
  double limit() const { return limit_; }

 private:
  /// Ratio of times from which on a load counts as slowed: above the error of reports and polls.
  static constexpr double kSlowed = 1.25;
  /// The end of a load is seen so much later: a report tells of some hundred ms before, and is
  /// asked for each 150 ms. Without it loads of 1.3 s count as slowed that are not.
  static constexpr std::chrono::milliseconds kSeenLate{500};
  static constexpr double kLeast = 1;
  static constexpr double kMost = 1'000;
  /// Before any load has been timed: so many at once, or fewer where each takes long. Four loads of
  /// 13 s at a store that gives one its full speed all take 53 s, and the most urgent comes no
  /// sooner than the least.
  static constexpr double kFirst = 4;
  static constexpr std::chrono::milliseconds kFirstTogether{12'000};  ///< Sum of their times.
  /// How long a slowed load keeps the limit from being tried again.
  static constexpr std::chrono::seconds kBelieved{60};

  static bool Slowed(std::chrono::milliseconds stated, std::chrono::milliseconds taken) {
    const auto own = taken - kSeenLate;
    return static_cast<double>(own.count()) > kSlowed * static_cast<double>(stated.count());
  }
  static double First(std::chrono::milliseconds stated) {
    const auto one = std::max(std::chrono::milliseconds(1), stated);
    const double fit =
        static_cast<double>(kFirstTogether.count()) / static_cast<double>(one.count());
    return std::clamp(fit, kLeast, kFirst);
  }
  void Learn(std::chrono::milliseconds stated) {
    if (!learned_) limit_ = First(stated);
    learned_ = true;
  }
  void NoteSlowed(std::chrono::milliseconds stated, std::chrono::milliseconds taken,
                  std::size_t together, Time now) {
    Learn(stated);
    const double slowdown =
        static_cast<double>(taken.count()) / static_cast<double>(stated.count());
    limit_ = std::clamp(std::min(limit_, static_cast<double>(together) / slowdown), kLeast, kMost);
    slowed_at_ = now;
  }

  double limit_ = kFirst;
  bool learned_ = false;
  Time slowed_at_ = Time{} - kBelieved;
};

}  // namespace moorfold
