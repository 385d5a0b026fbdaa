#include "standin/weight_store.h"

#include "common/boot_clock.h"

namespace moorfold {
namespace {
/// How soon an abandoned transfer gives its slot back.
constexpr std::chrono::milliseconds kAbandonCheck{20};
}  // namespace

WeightStore::WeightStore(boost::asio::io_context& context, WeightStoreTraits traits)
    : model_(traits), changed_(context.get_executor()), finished_(context.get_executor()) {}

Awaitable<void> WeightStore::Run() {
  while (true) {
    const std::vector<TransferId> done = model_.TakeFinished(clock_.Now());
    done_.insert(done.begin(), done.end());
    if (!done.empty()) finished_.NotifyAll();
    const std::optional<Timestamp> next = model_.NextChange();
    if (!next) {
      co_await changed_.Wait();
      continue;
    }
    const Duration left = std::max(Duration{0}, *next - clock_.Now());
    co_await changed_.Wait(BootClock::now() + left);
  }
}

Awaitable<bool> WeightStore::Transfer(MebiBytes size, const bool& abandoned) {
  const TransferId transfer = model_.Start(size, clock_.Now());
  changed_.NotifyAll();
  while (!done_.contains(transfer)) {
    if (abandoned) {
      model_.Cancel(transfer, clock_.Now());
      changed_.NotifyAll();
      co_return false;
    }
    co_await finished_.Wait(BootClock::now() + kAbandonCheck);
  }
  done_.erase(transfer);
  co_return true;
}

void WeightStore::SetSlowdown(double factor) {
  model_.SetSlowdown(factor, clock_.Now());
  changed_.NotifyAll();
}

}  // namespace moorfold
