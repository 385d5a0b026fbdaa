#pragma once

#include <algorithm>
#include <cstdint>

#include "ports/store_revision.h"

namespace moorfold {

/// Greater than the number of revisions in one store era: 5,000 a second for a week are 2^31.5.
inline constexpr std::int64_t kTokensPerEra = std::int64_t{1} << 32;
/// The greatest token: the largest integer that JSON numbers represent reliably.
inline constexpr std::int64_t kMaxFencingToken = (std::int64_t{1} << 53) - 1;

/// Returns the fencing token of a leader whose claim of the leader key has the given revision.
/// Tokens rise with each claim, even when the store is restored from an older copy and issues its
/// revisions again: the number of restores takes the high bits and the revision the low bits.
/// Without a restore the token equals the bare revision, as in builds without store eras, so
/// leadership can pass between such builds in both directions. A server that does not check fencing
/// tokens only sees rising numbers.
/// @return at most kMaxFencingToken, which is reached after two million restores.
constexpr std::int64_t FencingToken(const StoreRevision& claimed_at) {
  const std::int64_t restore_count = std::max<std::int64_t>(0, claimed_at.era - kEraWithoutReturn);
  const std::int64_t number = std::min(claimed_at.number, kTokensPerEra - 1);
  constexpr std::int64_t kMaxRestoreCount = kMaxFencingToken / kTokensPerEra;
  return std::min(restore_count, kMaxRestoreCount) * kTokensPerEra + number;
}

}  // namespace moorfold
