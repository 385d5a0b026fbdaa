#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold::quota {

using Time = BootClock::time_point;

/// Units that a tenant may use, with their creation time.
struct Credit {
  Time created_at{};
  double units = 0;
};

/// Merges adjacent parts until at most `max_parts` are left. A merged part takes the older creation
/// time, so that merging never extends the lifetime of credit.
std::vector<Credit> Merge(std::vector<Credit> credits, std::size_t max_parts);

/// A tenant's credit at one daemon, oldest first. No I/O. Not thread-safe.
class CreditBalance {
 public:
  void Add(Credit credit);
  /// Drops credit created before `since`.
  void DropBefore(Time since);
  /// @return Sum of the units held.
  double Units() const;
  /// Takes `units`, the oldest first. @return The creation time of the oldest unit taken; nothing,
  /// and no units are taken, if there are fewer.
  std::optional<Time> Take(double units);
  /// Takes up to `units`, the oldest first.
  std::vector<Credit> TakeUpTo(double units);

 private:
  /// Parts created within this time of each other are merged, with the older creation time.
  static constexpr std::chrono::milliseconds kMergeInterval{50};

  std::deque<Credit> credits_;
};

}  // namespace moorfold::quota
