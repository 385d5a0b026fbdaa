#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace moorfold {

/// How limits are shared out. Told by the leader, and kept in the store for daemons that start.
struct CreditSharing {
  std::uint32_t daemons = 0;       ///< Each makes this share of every tenant's credit; 0: unknown.
  std::vector<std::string> hosts;  ///< "IP:PORT" of daemons that pool what others do not need.

  bool operator==(const CreditSharing&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(daemons, hosts);
  }
};

/// Credit on its way. Its age is told, since no two daemons share a clock.
struct CreditPart {
  double units = 0;
  std::int64_t age_us = 0;  ///< When it was sent.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(units, age_us);
  }
};

/// What a daemon gives to a pool, or wants of it.
struct CreditRequest {
  std::string tenant;
  double needed = 0;                ///< Units; 0: none.
  std::uint32_t urgency = 0;        ///< Of the request behind it; 0 comes first.
  std::int64_t patience_us = 0;     ///< How long the request behind it would wait for them.
  std::vector<CreditPart> deposit;  ///< Given up by the sender.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, needed, urgency, patience_us, deposit);
  }
};

/// To a daemon that pools credit. May be lost: what is deposited is lost with it.
struct CreditQuestion {
  std::int64_t asked_at_us = 0;  ///< By the sender's clock; the answer brings it back.
  /// When the receiver sent its last answer, by its own clock; 0: none was heard.
  std::int64_t last_answer_stamp_us = 0;
  std::int64_t since_last_answer_us = 0;  ///< Between the arrival of that answer and this question.
  std::vector<CreditRequest> requests;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, last_answer_stamp_us, since_last_answer_us, requests);
  }
};

/// What a pool gives.
struct CreditGrant {
  std::string tenant;
  std::vector<CreditPart> parts;     ///< Given up by the sender; none: there is not enough.
  bool queued = false;               ///< Another answer follows when there is enough.
  std::int64_t available_in_us = 0;  ///< Where there is not enough: when there should be.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, parts, queued, available_in_us);
  }
};

/// From a daemon that pools credit, to one question, at once and again when a request's turn comes.
/// May be lost, with what it gives.
struct CreditAnswer {
  std::int64_t asked_at_us = 0;  ///< Of the question.
  std::int64_t stamp_us = 0;     ///< When this was sent, by the sender's clock.
  std::int64_t held_us = 0;      ///< How long the question waited at the sender.
  std::vector<CreditGrant> grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, stamp_us, held_us, grants);
  }
};

}  // namespace moorfold
