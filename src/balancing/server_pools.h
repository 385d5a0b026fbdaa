#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "balancing/separation_policy.h"

namespace moorfold::balancing {

/// Divides the servers that can take a request into a pool for paced requests and a pool for long
/// prompts. Every daemon that knows the same servers divides them alike, without messages. Servers
/// keep their relative order whatever the model, so that a server is in the same pool for most of
/// its models. Pure.
class ServerPools {
 public:
  /// Adds a server that holds the model and is usable. Call before Divide.
  void Add(const std::string& server_id);
  /// Assigns the added servers to the pools.
  void Divide();
  /// @return whether the server is in the pool of the other kind of work. False for neutral work
  /// and if only one server was added.
  bool InOtherPool(const std::string& server_id, RequestWork work) const;

 private:
  std::vector<std::uint64_t> ranks_;  ///< Hashes of the server ids.
  std::uint64_t last_paced_rank_ = 0;
};

}  // namespace moorfold::balancing
