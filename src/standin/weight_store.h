#pragma once

#include <boost/asio/io_context.hpp>
#include <set>

#include "common/async_signal.h"
#include "common/wall_clock.h"
#include "modelled/weight_store_model.h"

namespace moorfold {

/// The weight store that all stand-in engines load from, in real time.
class WeightStore {
 public:
  WeightStore(boost::asio::io_context& context, WeightStoreTraits traits);

  /// Runs the store's clock; spawn it once.
  Awaitable<void> Run();
  /// Transfers `size`. @return false when `abandoned` became true before the end.
  Awaitable<bool> Transfer(MebiBytes size, const bool& abandoned);
  void SetSlowdown(double factor);
  std::size_t active() const { return model_.active(); }

 private:
  WallClock clock_;
  WeightStoreModel model_;
  AsyncSignal changed_;   ///< Wakes Run: a transfer began or ended, or the speed changed.
  AsyncSignal finished_;  ///< Wakes transfers.
  std::set<TransferId> done_;
};

}  // namespace moorfold
