#pragma once

#include <algorithm>
#include <chrono>

namespace moorfold {

/// How many loads from the weight store are worth having under way at once. The store shares its
/// speed among them: beyond some number each takes longer and none is gained, but the urgent ones
/// wait behind the others. That number is nowhere stated, so it is learned from how long loads
/// take against what the operator states for one alone. One thread.
class StoreLoadLimit {
 public:
  /// A load has ended.
  /// @param stated how long it takes alone.
  /// @param taken how long it took, as far as seen: up to a poll's pause too long.
  /// @param together loads that were under way when it began, itself included.
  void NoteLoad(std::chrono::milliseconds stated, std::chrono::milliseconds taken,
                std::size_t together) {
    if (stated.count() <= 0 || taken.count() <= 0) return;
    const double slowdown =
        static_cast<double>(taken.count()) / static_cast<double>(stated.count());
    const double count = static_cast<double>(together);
    if (slowdown > kSlowed)
      limit_ = std::clamp(std::min(limit_, count / slowdown + 1), kLeast, kMost);
    else if (count >= limit_ - 1)
      limit_ = std::min(kMost, limit_ + 1);
  }
  /// @return loads that may begin beside those under way.
  double Free(std::size_t under_way) const {
    return std::max(0.0, limit_ - static_cast<double>(under_way));
  }
  double limit() const { return limit_; }

 private:
  /// Ratio of times from which on a load counts as slowed: above the error of reports and polls.
  static constexpr double kSlowed = 1.25;
  static constexpr double kLeast = 2;
  static constexpr double kMost = 1'000;
  /// Loads at once before any has been timed.
  static constexpr double kFirst = 4;

  double limit_ = kFirst;
};

}  // namespace moorfold
