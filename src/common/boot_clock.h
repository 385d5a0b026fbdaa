#pragma once

#include <atomic>
#include <boost/asio/basic_waitable_timer.hpp>
#include <chrono>
#include <ctime>

namespace moorfold {

/// The project's one clock for durations, deadlines, leases and ages: time since the machine
/// started, with the time that it was suspended (CLOCK_BOOTTIME). The standard library's steady
/// clock stands still while a machine is suspended: a leader that wakes would believe in a lease
/// that has lapsed, a daemon in knowledge that is old, a request in a deadline that has passed.
///
/// Never goes back and takes no part in changes of the time of day. Its readings mean nothing on
/// another machine. Any thread.
class BootClock {
 public:
  // NOLINTBEGIN(readability-identifier-naming): the standard names what a clock has.
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;

  static time_point now() noexcept {
    return time_point(source().load(std::memory_order_relaxed)());
  }
  // NOLINTEND(readability-identifier-naming)

  using Source = duration (*)();
  /// Where readings come from, for the whole process. Tests set another, to let time jump as it
  /// does when a machine wakes. @return the source before.
  static Source SetSource(Source replacement) { return source().exchange(replacement); }
  static duration ReadSystem() noexcept {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec);
  }

 private:
  static std::atomic<Source>& source() {
    static std::atomic<Source> current{&ReadSystem};
    return current;
  }
};

/// A timer of the event loop against that clock. The kernel's waiting does not count suspended
/// time: after a suspension a timer may fire late by up to its whole length. Whoever is about to
/// send therefore looks at the clock again.
using BootTimer = boost::asio::basic_waitable_timer<BootClock>;

}  // namespace moorfold
