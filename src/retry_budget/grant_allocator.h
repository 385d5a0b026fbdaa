#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "common/boot_clock.h"
#include "retry_budget/earned_retries.h"

namespace moorfold::retry {

/// How long a grant may be used, counted from the query for it.
inline constexpr std::chrono::milliseconds kGrantLifetime{500};

/// Grants most of what the fleet may retry regardless of its requests, on the daemon that leads:
/// the rest is left for fractions of earned retries. Grants are counted over a window and their
/// lifetime. A new leader does not know what its predecessor granted, so it grants nothing until
/// that has left the window. Deterministic: time is passed in. Not thread-safe.
class GrantAllocator {
 public:
  /// @param min_retries retries per window and service regardless of requests.
  GrantAllocator(std::chrono::milliseconds window, double min_retries);

  /// Called while this daemon holds the leader's lease, at least at each grant. A term that begins
  /// soon after the previous one continues it: no other leader can have granted anything yet.
  void Lead(Time now);
  /// @param service one that the configuration names.
  /// @return number of retries granted, at most `wanted`.
  std::uint32_t Grant(const std::string& service, std::uint32_t wanted, Time now);
  /// Removes services without grants in the window.
  void RemoveIdle(Time now);
  std::size_t size() const { return services_.size(); }

 private:
  struct Slice {
    std::int64_t number = -1;
    std::uint32_t granted = 0;
  };
  static constexpr int kSlices = 24;
  using Grants = std::array<Slice, kSlices>;

  std::uint32_t GrantedInWindow(const Grants& grants, Time now) const;

  BootClock::duration slice_;
  std::uint32_t capacity_;  ///< Grants per window.
  Time grants_from_{};
  Time led_until_{};  ///< Latest time known of this daemon's lease; zero if it has not led.
  std::map<std::string, Grants> services_;
};

}  // namespace moorfold::retry
