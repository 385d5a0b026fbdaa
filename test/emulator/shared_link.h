#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "common/boot_clock.h"
#include "http/http_types.h"

namespace moorfold {

/// The link of one machine, which all its connections share. One thread.
class SharedLink {
 public:
  enum class Direction : std::uint8_t { kToMachine, kFromMachine };

  SharedLink(boost::asio::io_context& context, double bytes_per_second)
      : context_(context), bytes_per_second_(bytes_per_second) {}

  /// Returns when the link has carried all before and these bytes.
  Awaitable<void> Carry(Direction direction, std::size_t bytes) {
    BootClock::time_point& free_at =
        direction == Direction::kToMachine ? inbound_free_at_ : outbound_free_at_;
    const std::chrono::duration<double> taken(static_cast<double>(bytes) / bytes_per_second_);
    free_at = std::max(free_at, BootClock::now()) +
              std::chrono::duration_cast<BootClock::duration>(taken);
    BootTimer timer(context_, free_at);
    co_await timer.async_wait(boost::asio::use_awaitable);
  }

 private:
  boost::asio::io_context& context_;
  double bytes_per_second_;
  BootClock::time_point inbound_free_at_{};
  BootClock::time_point outbound_free_at_{};
};

}  // namespace moorfold
