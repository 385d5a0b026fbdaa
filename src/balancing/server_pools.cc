#include "balancing/server_pools.h"

#include <algorithm>

#include "common/stable_hash.h"

namespace moorfold::balancing {

namespace {

/// The pool of paced requests gets two of five servers, rounded to the nearest number.
constexpr std::size_t kPacedParts = 2;
constexpr std::size_t kAllParts = 5;

}  // namespace

ServerRank RankOf(std::string_view server_id) {
  return MixHash(HashAppend(kHashOffsetBasis, server_id));
}

void ServerPools::Divide() {
  if (ranks_.size() < 2) return;
  const std::size_t rounded = (ranks_.size() * kPacedParts + kAllParts / 2) / kAllParts;
  const std::size_t paced = std::max<std::size_t>(1, rounded);
  const auto last_paced = ranks_.begin() + static_cast<std::ptrdiff_t>(paced - 1);
  std::nth_element(ranks_.begin(), last_paced, ranks_.end());
  last_paced_rank_ = *last_paced;
}

}  // namespace moorfold::balancing
