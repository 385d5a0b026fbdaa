#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "config/deployment_file.h"
#include "core/time.h"

namespace moorfold {

using TransferId = std::uint64_t;

/// The rate-limited weight store: it admits a number of loads a second, and more loads at once
/// than its full-speed slots share the bandwidth of the slots. Pure: time is an argument, and
/// never goes back.
class WeightStoreModel {
 public:
  explicit WeightStoreModel(WeightStoreTraits traits) : traits_(traits) {}

  TransferId Start(MebiBytes size, Timestamp now);
  void Cancel(TransferId transfer, Timestamp now);
  /// @param factor above 1 makes all transfers slower; 1 is normal.
  void SetSlowdown(double factor, Timestamp now);
  /// @return the transfers that are complete at `now`, and forgets them.
  std::vector<TransferId> TakeFinished(Timestamp now);
  /// @return when something next changes by itself.
  std::optional<Timestamp> NextChange() const;
  std::size_t active() const { return active_.size(); }
  std::size_t waiting() const { return waiting_.size(); }

 private:
  struct Transfer {
    TransferId id = 0;
    double remaining = 0;  ///< MiB
  };
  double SpeedOfOne() const;  ///< MiB/s
  void AdvanceTo(Timestamp now);
  void Progress(Duration elapsed);
  std::optional<Timestamp> NextAdmission() const;

  WeightStoreTraits traits_;
  double slowdown_ = 1;
  Timestamp now_{};
  Timestamp last_admission_{};
  std::deque<Transfer> waiting_;
  std::vector<Transfer> active_;
  std::vector<TransferId> finished_;
  TransferId next_ = 1;
};

}  // namespace moorfold
