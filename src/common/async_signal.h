#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <vector>

#include "common/boot_clock.h"
#include "http/http_types.h"

namespace moorfold {

/// Wakes coroutines of one thread that wait for a condition: they test it, wait, and test again.
class AsyncSignal {
 public:
  explicit AsyncSignal(const boost::asio::any_io_executor& executor)
      : timer_(executor, Deadline::max()) {}

  /// Returns at the next NotifyAll, or at `deadline`.
  Awaitable<void> Wait(Deadline deadline = Deadline::max()) {
    if (deadline == Deadline::max()) {
      co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
      co_return;
    }
    // Its own timer, ended by the first of deadline and notification.
    BootTimer limited(timer_.get_executor(), deadline);
    const Registration registration(limited_, limited);
    co_await limited.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
  }

  void NotifyAll() {
    timer_.cancel();
    for (BootTimer* limited : *limited_) limited->cancel();
  }

 private:
  using Timers = std::vector<BootTimer*>;

  /// Also undone when the waiting coroutine is destroyed instead of resumed, which may happen after
  /// the signal's own end: at the destruction of the context that runs both.
  class Registration {
   public:
    Registration(std::shared_ptr<Timers> timers, BootTimer& timer)
        : timers_(std::move(timers)), timer_(&timer) {
      timers_->push_back(timer_);
    }
    ~Registration() { std::erase(*timers_, timer_); }
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    std::shared_ptr<Timers> timers_;
    BootTimer* timer_;
  };

  BootTimer timer_;
  std::shared_ptr<Timers> limited_ = std::make_shared<Timers>();
};

/// Suspends the calling coroutine.
inline Awaitable<void> Sleep(BootClock::duration duration) {
  BootTimer timer(co_await boost::asio::this_coro::executor, duration);
  co_await timer.async_wait(boost::asio::use_awaitable);
}

}  // namespace moorfold
