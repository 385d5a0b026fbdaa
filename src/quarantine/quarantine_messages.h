#pragma once

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "quarantine/fingerprint.h"

namespace moorfold {

/// Times in these messages are ages at the moment of sending, in milliseconds, because daemons have
/// no common clock. The transit time makes events appear younger by that much.

/// A server that crashed while it ran a request.
struct CrashReport {
  std::string server_id;
  std::string version;  ///< Version of the server's software.
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server_id, version, age_ms);
  }
};

/// Evidence that servers of a version do not crash under a request; earlier crashes do not count.
struct ClearanceReport {
  std::string version;  ///< Empty: all versions, released by the operator.
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, age_ms);
  }
};

/// Evidence that a daemon holds on one request under which servers crashed. Contains no part of the
/// request itself.
struct CaseUpdate {
  Fingerprint fingerprint;
  std::string service;
  std::vector<CrashReport> crashes;
  std::vector<ClearanceReport> clearances;
  std::vector<std::string> quarantined_versions;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(fingerprint.bytes, service, crashes, clearances, quarantined_versions);
  }
};

/// Sent between any two daemons, and the value of the store entry. May be lost, duplicated or
/// delayed.
struct QuarantineNotice {
  std::vector<CaseUpdate> cases;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(cases);
  }
};

}  // namespace moorfold
