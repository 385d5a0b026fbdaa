#pragma once

#include <cstdint>
#include <string>

namespace moorfold {

/// To the daemon that shares limits of servers out: may a request go there now? May be lost.
struct PermitRequest {
  std::int64_t asked_at_us = 0;  ///< By the sender's clock; the answer brings it back.
  std::string server_id;
  std::int64_t life = 0;  ///< Of the server, as ServerRecord has it.
  bool limited = true;    ///< False: the server names no limit any more.
  double limit_per_second = 0;
  /// How old that is, when this is sent: since the request was sent that showed it.
  std::int64_t age_us = 0;
  /// How long the request would wait for its turn; below zero: there is no request, this only tells
  /// what the server said.
  std::int64_t max_wait_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, server_id, life, limited, limit_per_second, age_us, max_wait_us);
  }
};

enum class PermitVerdict : std::uint8_t {
  kGranted,      ///< The request may be sent after the stated time, and shortly after that.
  kDenied,       ///< The turns within its patience are taken.
  kUnlimited,    ///< The server names no limit any more.
  kNotAllocator  ///< This daemon shares no limits out.
};

/// To one question. May be lost, and its turn with it.
struct PermitResponse {
  std::int64_t asked_at_us = 0;  ///< Of the question.
  PermitVerdict verdict = PermitVerdict::kNotAllocator;
  std::int64_t wait_us = 0;  ///< Until the turn, or until asking again makes sense.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, verdict, wait_us);
  }
};

}  // namespace moorfold
