#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace moorfold {

struct VersionPlayOptions {
  std::uint64_t seed = 1;
  std::chrono::seconds length{45};
  int gateways = 4;
  int servers = 3;  ///< Of each of two software versions at the start.
};

/// Plays resumable streams while servers of two software versions, at times three, serve side by
/// side: servers break streams off, releases go forth and back, whole versions are replaced around
/// the moments at which all gateways are killed (PlanVersionSignals), gateways are cut from the
/// store or paused while servers join, the store is slow or away, and another writer leaves odd
/// entries among those of the servers. Clients take broken streams up at any gateway. Gateways are
/// processes that the caller starts with the settings files in `folder`.
/// @return the exit status: failed if a stream holds events of two versions, misses or repeats one,
/// or if take-ups go on less than half as often as new streams begin.
int RunVersionPlay(const VersionPlayOptions& options, const std::string& folder);

}  // namespace moorfold
