#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "balancing/separation_policy.h"

namespace moorfold::balancing {

/// Position of a server in the order that the pools are cut from.
using ServerRank = std::uint64_t;

/// @return a hash of the server id that is the same on every daemon. It does not depend on the
/// model, so that a server is in the same pool for most of its models.
ServerRank RankOf(std::string_view server_id);

/// Divides the servers that can take a request into a pool for paced requests and a pool for long
/// prompts. Every daemon that knows the same servers divides them alike, without messages. Servers
/// are given by their ranks, which callers compute once per server: hashing 100 ids for each
/// request would take most of the time that a choice may take. Pure.
class ServerPools {
 public:
  void Reserve(std::size_t servers) { ranks_.reserve(servers); }
  /// Adds a server that holds the model and is usable. Call before Divide.
  void Add(ServerRank rank) { ranks_.push_back(rank); }
  /// Assigns the added servers to the pools.
  void Divide();
  /// @return whether the server is in the pool of the other kind of work. False for neutral work
  /// and if only one server was added.
  bool InOtherPool(ServerRank rank, RequestWork work) const {
    if (work == RequestWork::kNeutral || ranks_.size() < 2) return false;
    return (rank <= last_paced_rank_) != (work == RequestWork::kPaced);
  }

 private:
  std::vector<ServerRank> ranks_;  ///< Divide changes their order.
  ServerRank last_paced_rank_ = 0;
};

}  // namespace moorfold::balancing
