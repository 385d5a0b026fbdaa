#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tenants/key_digest.h"

namespace moorfold {

/// Unit that a tenant's limit counts.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };

/// Limit on a tenant's use, over all daemons together.
struct QuotaLimit {
  QuotaUnit unit = QuotaUnit::kRequests;
  double rate_per_second = 0;  ///< Units per second; 0: no limit.
  double burst = 0;            ///< Units beyond the rate, available after a time of lower use.
  double default_tokens = 0;   ///< Cost of a request that states no token count.

  bool Limited() const { return rate_per_second > 0; }
  auto operator<=>(const QuotaLimit&) const = default;
};

/// An organization whose callers authenticate with its own keys.
struct Tenant {
  std::string name;
  std::optional<std::uint32_t> priority;  ///< Priority of its requests; overrides the route's.
  QuotaLimit limit;
  std::vector<KeyDigest> keys;
};

}  // namespace moorfold
