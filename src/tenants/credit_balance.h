#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold::quota {

using Time = BootClock::time_point;

/// Units that a tenant may use, and when they came into being.
struct Credit {
  Time created_at{};
  double units = 0;
};

/// Merges neighbours until at most `most` are left. A merged part is as old as its oldest: credit
/// never grows younger.
std::vector<Credit> Merge(std::vector<Credit> credits, std::size_t max_parts);

/// Credit at one daemon, oldest first. Pure; one thread.
class CreditBalance {
 public:
  void Add(Credit credit);
  /// Forgets what came into being before `since`.
  void DropBefore(Time since);
  /// @return units held.
  double Units() const;
  /// Takes `units`, the oldest first. @return when the oldest of them came into being; nothing
  /// where there are fewer, which takes none.
  std::optional<Time> Take(double units);
  /// Takes up to `units`, the oldest first.
  std::vector<Credit> TakeUpTo(double units);

 private:
  /// Parts that came into being so close to each other are kept as one, as old as the older.
  static constexpr std::chrono::milliseconds kMergeInterval{50};

  std::deque<Credit> credits_;
};

}  // namespace moorfold::quota
