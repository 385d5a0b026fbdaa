#pragma once

#include <cstdint>
#include <string>

namespace moorfold {

/// Asks the leader for retries that the fleet may send regardless of its requests. May be lost.
struct RetryGrantRequest {
  /// Time by the sender's clock; copied into the response to match it to the request.
  std::int64_t asked_at_us = 0;
  std::string service;
  std::uint32_t wanted = 0;  ///< Number of requests that wait for a retry now.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, service, wanted);
  }
};

/// Response to one such request. May be lost, and what it grants is then lost as well.
struct RetryGrantResponse {
  std::int64_t asked_at_us = 0;  ///< Copied from the request.
  std::uint32_t granted = 0;     ///< Usable for a second from the time of the request.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, granted);
  }
};

}  // namespace moorfold
