#pragma once

#include <cstdint>
#include <string>

namespace moorfold {

/// Asks the daemon that allocates permits (the leader) whether a request may be sent to a server
/// now. May be lost.
struct PermitRequest {
  /// Time by the sender's clock; copied into the response to match it to the request.
  std::int64_t asked_at_us = 0;
  std::string server_id;
  std::int64_t incarnation = 0;  ///< Incarnation of the server, as in ServerRecord.
  bool limited = true;           ///< False if the server no longer states a limit.
  double limit_per_second = 0;
  /// Age of the stated limit at the time of sending, in microseconds: the time since the request
  /// was sent whose response stated it.
  std::int64_t age_us = 0;
  /// How long the request can wait for its permit. Negative if no permit is wanted and the message
  /// only reports what the server stated.
  std::int64_t max_wait_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, server_id, incarnation, limited, limit_per_second, age_us, max_wait_us);
  }
};

enum class PermitVerdict : std::uint8_t {
  kGranted,      ///< The request may be sent once `wait_us` has passed, but not much later.
  kDenied,       ///< All permits within the maximum wait are taken.
  kUnlimited,    ///< The server no longer states a limit.
  kNotAllocator  ///< This daemon does not allocate permits.
};

/// Response to one permit request. May be lost, and the permit it grants is then lost as well.
struct PermitResponse {
  std::int64_t asked_at_us = 0;  ///< Copied from the request.
  PermitVerdict verdict = PermitVerdict::kNotAllocator;
  /// Time until the permit is valid, or until it makes sense to ask again.
  std::int64_t wait_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, verdict, wait_us);
  }
};

}  // namespace moorfold
