#pragma once

#include <cereal/types/array.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "quarantine/fingerprint.h"

namespace moorfold {

/// Times in these messages are ages at the moment of sending, in milliseconds: daemons share no
/// clock. What a message takes to arrive makes things look younger by that much.

/// A server that ended while it ran a request.
struct CrashReport {
  std::string server_id;
  std::string version;  ///< Of the server's software.
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(server_id, version, age_ms);
  }
};

/// A proof that servers of a version do not end under a request: crashes before it do not count.
struct ClearanceReport {
  std::string version;  ///< Empty: all, by the operator's word.
  std::int64_t age_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, age_ms);
  }
};

/// What a daemon knows of one request under which servers ended. Holds no part of the request.
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

/// Between any two daemons, and what stands in the store. May be lost, come twice or late.
struct QuarantineNotice {
  std::vector<CaseUpdate> cases;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(cases);
  }
};

}  // namespace moorfold
