#pragma once

#include <algorithm>
#include <cstdint>

#include "ports/store_revision.h"

namespace moorfold {

/// More revisions than a store gives out in one era: 5,000 a second for a week are 2^31.5.
inline constexpr std::int64_t kTokensPerEra = std::int64_t{1} << 32;
/// The greatest token: what JSON numbers hold for certain.
inline constexpr std::int64_t kMaxFencingToken = (std::int64_t{1} << 53) - 1;

/// The fencing token of a leader that claimed its key with a change of that revision. It rises with
/// each claim, also where the store comes back from a copy and gives its revisions out again: the
/// returns count before the revision. Without a return tokens are bare revisions, as builds that
/// know no eras make them: leadership may pass between builds in both directions. A server without
/// fences sees rising numbers and no more.
/// @return at most kMaxFencingToken, which two million returns reach.
constexpr std::int64_t FencingToken(const StoreRevision& claimed_at) {
  const std::int64_t restore_count = std::max<std::int64_t>(0, claimed_at.era - kEraWithoutReturn);
  const std::int64_t number = std::min(claimed_at.number, kTokensPerEra - 1);
  constexpr std::int64_t kMaxRestoreCount = kMaxFencingToken / kTokensPerEra;
  return std::min(restore_count, kMaxRestoreCount) * kTokensPerEra + number;
}

}  // namespace moorfold
