#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tenants/key_digest.h"

namespace moorfold {

/// What a tenant's limit counts.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };

/// How much of the fleet a tenant may use, over all daemons together.
struct QuotaLimit {
  QuotaUnit unit = QuotaUnit::kRequests;
  double rate_per_second = 0;  ///< Units; 0: no limit.
  double burst = 0;            ///< Units beyond the rate, when it was not used before.
  double default_tokens = 0;   ///< What a request counts that states no tokens.

  bool Limited() const { return rate_per_second > 0; }
  auto operator<=>(const QuotaLimit&) const = default;
};

/// An organisation whose callers show keys of its own.
struct Tenant {
  std::string name;
  std::optional<std::uint32_t> priority;  ///< Of its requests, in place of their routes'.
  QuotaLimit limit;
  std::vector<KeyDigest> keys;
};

}  // namespace moorfold
