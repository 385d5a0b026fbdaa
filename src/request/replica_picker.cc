#include "request/replica_picker.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold {
namespace {

std::uint32_t Load(const ReplicaCandidate& candidate) {
  return std::max(candidate.in_flight, candidate.reported);
}

bool Usable(const ReplicaCandidate& candidate) {
  return !candidate.set_aside && candidate.in_flight < candidate.limit;
}

}  // namespace

std::optional<std::size_t> PickReplica(std::span<const ReplicaCandidate> candidates,
                                       std::uint64_t prefix_hash) {
  std::optional<std::size_t> least;
  std::optional<std::size_t> preferred;
  std::uint64_t best_weight = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const ReplicaCandidate& candidate = candidates[index];
    if (!Usable(candidate)) continue;
    if (!least || Load(candidate) < Load(candidates[*least])) least = index;
    const std::uint64_t weight =
        XXH3_64bits_withSeed(candidate.server.data(), candidate.server.size(), prefix_hash);
    if (!preferred || weight > best_weight) {
      preferred = index;
      best_weight = weight;
    }
  }
  if (!least) return std::nullopt;
  const bool crowded = Load(candidates[*preferred]) > Load(candidates[*least]) + kAffinityAllowance;
  return crowded ? least : preferred;
}

}  // namespace moorfold
