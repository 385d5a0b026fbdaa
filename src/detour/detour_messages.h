#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace moorfold {

/// Asks another daemon whether it would forward requests to servers that the sender cannot reach.
/// May be lost.
struct DetourQuery {
  /// Time by the sender's clock; copied into the offer to match it to the query.
  std::int64_t asked_at_us = 0;
  /// Servers that the sender needs; empty: it reaches none, and any contact helps.
  std::vector<std::string> server_ids;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, server_ids);
  }
};

/// Response to one detour query. May be lost.
struct DetourOffer {
  std::int64_t asked_at_us = 0;  ///< Copied from the query.
  bool accepts = false;          ///< The daemon reaches servers and has room for requests.
  /// Proves to the daemon that a forwarded request comes from the daemon that asked.
  std::uint64_t token = 0;
  std::uint16_t port = 0;               ///< TCP port for forwarded requests.
  std::uint32_t active = 0;             ///< Forwarded requests that it is processing.
  std::vector<std::string> server_ids;  ///< Those of the query that responded to it recently.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, accepts, token, port, active, server_ids);
  }
};

}  // namespace moorfold
