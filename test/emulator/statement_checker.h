#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// Judges what servers got against the limits that they named. Pure bookkeeping; one thread.
class StatementChecker {
 public:
  using Time = BootClock::time_point;

  struct Bounds {
    /// From then on after a limit was first named, it holds.
    std::chrono::milliseconds contact{3'000};
    std::chrono::milliseconds window{4'000};
    double overshoot = 1.5;
    double free_requests = 5;
  };

  explicit StatementChecker(Bounds bounds) : bounds_(bounds) {}
  StatementChecker() : StatementChecker(Bounds()) {}

  /// Requests of daemons that were disturbed lately do not count: asked with the window's length.
  using Excused = std::function<bool(Time from, Time to)>;
  void SetExcused(Excused excused) { excused_ = std::move(excused); }
  /// The server's answers name that limit from now on; nothing: none.
  void Named(const std::string& server, std::optional<double> per_second, Time at);
  /// A request has reached the server.
  void Arrived(const std::string& server, Time at);
  /// @return requests that reached it in the window that ends now.
  std::size_t InWindow(const std::string& server, Time now) const;

  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Limited {
    double per_second = 0;
    Time since{};
    std::deque<Time> arrivals;  ///< Of the last window.
    bool reported = false;
  };

  Bounds bounds_;
  Excused excused_ = [](Time, Time) { return false; };
  std::map<std::string, Limited> limited_;
  std::vector<std::string> violations_;
};

}  // namespace moorfold
