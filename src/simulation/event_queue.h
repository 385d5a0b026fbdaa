#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/time.h"

namespace moorfold {

/// Virtual time: runs callbacks in the order of their times, and of their making for equal times.
class EventQueue {
 public:
  explicit EventQueue(Timestamp start) : now_(start) {}

  Timestamp Now() const { return now_; }
  void At(Timestamp when, std::function<void()> callback) {
    events_.push({std::max(when, now_), next_++, std::move(callback)});
  }
  void After(Duration delay, std::function<void()> callback) {
    At(now_ + delay, std::move(callback));
  }
  /// Runs everything up to and including `end`.
  void RunUntil(Timestamp end) {
    while (!events_.empty() && events_.top().when <= end) {
      // The queue only hands out const access; the entry is removed right away.
      Event event = std::move(const_cast<Event&>(events_.top()));  // NOLINT
      events_.pop();
      now_ = event.when;
      ++executed_;
      event.callback();
    }
    now_ = std::max(now_, end);
  }
  std::uint64_t executed() const { return executed_; }

 private:
  struct Event {
    Timestamp when;
    std::uint64_t number;
    std::function<void()> callback;
    bool operator<(const Event& other) const {
      return std::pair(when, number) > std::pair(other.when, other.number);  // Earliest on top.
    }
  };

  Timestamp now_;
  std::uint64_t next_ = 0;
  std::uint64_t executed_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace moorfold
