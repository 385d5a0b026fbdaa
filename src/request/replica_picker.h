#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace moorfold {

/// What the choice among replicas goes by.
struct ReplicaCandidate {
  std::string_view server;
  std::uint32_t in_flight = 0;  ///< From this daemon, exact.
  std::uint32_t reported = 0;   ///< From all daemons, late.
  std::uint32_t limit = 0;      ///< More from this daemon must wait.
  bool set_aside = false;       ///< Failed lately, or was tried for this request.
};

/// Chooses the replica that probably holds the prompt's prefix in its cache (highest rendezvous
/// weight of prefix and server), unless it has `kAffinityAllowance` requests more than the least
/// loaded one; then the least loaded.
/// @return an index, or nothing when every candidate is full or set aside.
std::optional<std::size_t> PickReplica(std::span<const ReplicaCandidate> candidates,
                                       std::uint64_t prefix_hash);

constexpr std::uint32_t kAffinityAllowance = 2;

}  // namespace moorfold
