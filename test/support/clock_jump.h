#pragma once

#include <atomic>
#include <chrono>

#include "common/boot_clock.h"

namespace moorfold {

/// Lets the project's clock jump ahead, as it does over a suspension of the machine, until the end
/// of the test. The event loop's own waiting does not take part, as there.
class ClockJump {
 public:
  ClockJump() : before_(BootClock::SetSource(&Read)) { Offset() = 0; }
  ~ClockJump() { BootClock::SetSource(before_); }
  ClockJump(const ClockJump&) = delete;
  ClockJump& operator=(const ClockJump&) = delete;

  void Sleep(std::chrono::milliseconds time) { Offset() += BootClock::duration(time).count(); }

 private:
  static std::atomic<BootClock::rep>& Offset() {
    static std::atomic<BootClock::rep> offset{0};
    return offset;
  }
  static BootClock::duration Read() {
    return BootClock::ReadSystem() + BootClock::duration(Offset().load());
  }

  BootClock::Source before_;
};

}  // namespace moorfold
