#pragma once

#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace moorfold {

/// How limits are shared. Published by the leader, and stored for daemons that start.
struct CreditSharing {
  std::uint32_t daemons =
      0;  ///< Each daemon accrues one part in this many of every tenant's credit; 0: unknown.
  std::vector<std::string> hosts;  ///< "IP:PORT" of daemons that pool surplus credit.

  bool operator==(const CreditSharing&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(daemons, hosts);
  }
};

/// Credit in transit. It carries its age, since daemons do not share a clock.
struct CreditPart {
  double units = 0;
  std::int64_t age_us = 0;  ///< Age at the time of sending.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(units, age_us);
  }
};

/// A deposit to a pool, a request for credit from it, or both.
struct CreditRequest {
  std::string tenant;
  double needed = 0;                ///< Units; 0: none.
  std::uint32_t urgency = 0;        ///< Of the client request; 0 is served first.
  std::int64_t patience_us = 0;     ///< How long the client request waits for the units.
  std::vector<CreditPart> deposit;  ///< Already deducted by the sender.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, needed, urgency, patience_us, deposit);
  }
};

/// Sent to a pool. May be lost, together with its deposits.
struct CreditQuestion {
  std::int64_t asked_at_us = 0;  ///< By the sender's clock; the answer echoes it.
  /// When the receiver sent its last answer, by the receiver's clock; 0: none has arrived.
  std::int64_t last_answer_stamp_us = 0;
  std::int64_t since_last_answer_us = 0;  ///< Between the arrival of that answer and this question.
  std::vector<CreditRequest> requests;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, last_answer_stamp_us, since_last_answer_us, requests);
  }
};

/// A pool's response to one tenant's request for credit.
struct CreditGrant {
  std::string tenant;
  std::vector<CreditPart> parts;  ///< Already deducted by the sender; empty if there is not enough.
  bool queued = false;            ///< Another answer follows when there is enough.
  std::int64_t available_in_us = 0;  ///< If there is not enough: expected time until there is.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tenant, parts, queued, available_in_us);
  }
};

/// A pool's answer to one question, sent at once and again when a queued request is served. May be
/// lost, together with the credit that it grants.
struct CreditAnswer {
  std::int64_t asked_at_us = 0;  ///< Id of the question.
  std::int64_t stamp_us = 0;     ///< Time of sending, by the sender's clock.
  std::int64_t held_us = 0;      ///< How long the question was held at the sender.
  std::vector<CreditGrant> grants;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(asked_at_us, stamp_us, held_us, grants);
  }
};

}  // namespace moorfold
