#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// A limit as the emulated operator states it, in requests.
struct EmulatedLimit {
  double rate_per_second = 0;  ///< 0: no limit.
  double burst = 0;
};

/// What servers saw of tenants, over a whole run.
struct TenantSummary {
  double most_used = 0;  ///< In any window, as a share of what is promised.
  std::uint64_t refused_below_limit = 0;
  std::uint64_t served_with_key_gone = 0;
  std::uint64_t reserved_passed_on = 0;  ///< Headers of the system's own, and keys.
};

/// Judges what servers and clients of tenants saw against what is promised. Pure bookkeeping; one
/// thread.
class TenantChecker {
 public:
  using Time = BootClock::time_point;

  struct Bounds {
    std::chrono::milliseconds window{8'000};
    double overshoot = 0.1;
    double slack = 4;
    std::chrono::milliseconds configuration{2'000};
  };

  explicit TenantChecker(Bounds bounds) : bounds_(bounds) {}
  TenantChecker() : TenantChecker(Bounds()) {}

  void SetLimit(const std::string& tenant, EmulatedLimit limit) { limits_[tenant] = limit; }
  /// A client sends a request. @param tenant whose key it shows; empty: no tenant ever had it.
  void Sent(const std::string& id, const std::string& tenant, Time at);
  /// The key of a request was there, or was not, since that time.
  void KeyChanged(const std::string& id, bool there, Time since);
  /// The key of a request, if it changes at all and was there, may have gone by now.
  void KeyMayHaveGone(const std::string& id, Time now);
  /// A server runs a request.
  /// @param tenant in whose name.
  /// @param reserved how many headers it carries that only the system may set, or that are keys.
  void Ran(const std::string& id, const std::string& tenant, std::uint64_t reserved, Time at);
  /// @param behind whether the gateway may know the configuration as it was for a reason.
  void Answered(const std::string& id, unsigned status, bool behind);

  /// @return whether every configuration in question allows the request.
  bool Proper(const std::string& id) const;
  const TenantSummary& summary() const { return summary_; }
  const std::vector<std::string>& violations() const { return violations_; }

 private:
  struct Request {
    std::string tenant;
    Time sent{};
    bool key_there = true;
    Time key_since{};
  };

  double Promised(const EmulatedLimit& limit) const;
  /// @return requests of the tenant that ran in the window that ends now.
  double Used(const std::string& tenant, Time now);

  Bounds bounds_;
  std::map<std::string, EmulatedLimit> limits_;
  std::map<std::string, Request> requests_;
  std::map<std::string, std::deque<Time>> ran_;  ///< By tenant, within the window.
  TenantSummary summary_;
  std::vector<std::string> violations_;
};

}  // namespace moorfold
