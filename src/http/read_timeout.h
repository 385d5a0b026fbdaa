#pragma once

#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <memory>

#include "common/boot_clock.h"

namespace moorfold {

/// Cancels the reading of a request that takes too long. The stream's own expiry would close the
/// connection, and the caller would never hear why.
class ReadTimeout {
 public:
  ReadTimeout(boost::beast::tcp_stream& stream, std::chrono::milliseconds length)
      : state_(std::make_shared<State>(stream.get_executor(), length)) {
    state_->timer.async_wait([state = state_, &stream](const boost::system::error_code& error) {
      if (error || state->ended) return;
      state->passed = true;
      boost::system::error_code ignored;
      stream.socket().cancel(ignored);
    });
  }
  ~ReadTimeout() {
    state_->ended = true;
    state_->timer.cancel();
  }
  ReadTimeout(const ReadTimeout&) = delete;
  ReadTimeout& operator=(const ReadTimeout&) = delete;
  bool passed() const { return state_->passed; }

 private:
  struct State {
    State(const boost::asio::any_io_executor& executor, std::chrono::milliseconds length)
        : timer(executor, length) {}
    BootTimer timer;
    bool ended = false;
    bool passed = false;
  };
  std::shared_ptr<State> state_;
};

}  // namespace moorfold
