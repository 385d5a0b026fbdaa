#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/fleet_messages.h"

namespace moorfold::streams {

/// Where a resumable stream began. Value of the store entry of a stream.
struct StreamOrigin {
  std::string service;
  std::string software_version;

  bool operator==(const StreamOrigin&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, software_version);
  }
};

/// What a missing entry of a stream means.
enum class ImpliedState : std::uint8_t {
  kNone,     ///< Nothing: no version is implied, and each stream is entered.
  kOpen,     ///< The stream began at the implied version; such streams are not entered.
  kClosing,  ///< As kOpen, but from now on each stream is entered.
};

/// The software version at which streams of a service begin without an entry of their own.
struct ImpliedVersion {
  std::string service;
  ImpliedState state = ImpliedState::kNone;
  std::string software_version;  ///< Unused for kNone.

  bool operator==(const ImpliedVersion&) const = default;
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, state, software_version);
  }
};

/// Value of the store entry that states the implied version of each service.
struct ImpliedVersionRecord {
  /// Era of the store in which the record was written. In a later era the store was restored from
  /// an older copy, which may lack entries of streams, so the record says nothing then.
  std::int64_t era = kEraUntold;
  std::vector<ImpliedVersion> services;  ///< Sorted by service.

  bool operator==(const ImpliedVersionRecord&) const = default;
  /// @return the implied version of a service; state kNone if the record does not name it.
  ImpliedVersion Find(const std::string& service) const {
    for (const ImpliedVersion& implied : services)
      if (implied.service == service) return implied;
    return {service, ImpliedState::kNone, ""};
  }
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(era, services);
  }
};

}  // namespace moorfold::streams
