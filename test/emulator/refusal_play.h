#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace moorfold {

struct RefusalPlayOptions {
  std::uint64_t seed = 1;
  std::chrono::seconds length{40};
  int gateways = 7;
  int servers = 2;   ///< Of each of the two services.
  bool cuts = true;  ///< Gateways are cut off from all servers now and then.
};

/// Plays requests that may run only once, with short and long bodies, against servers that refuse
/// early, send refusals again and lose answers. Gateways are processes that the caller starts with
/// the settings files in `folder`. Writes the IDs of all requests that were answered with a promise
/// that they did not run to `folder`/promised.txt, each with its gateway.
/// @return the exit status.
int RunRefusalPlay(const RefusalPlayOptions& options, const std::string& folder);

}  // namespace moorfold
