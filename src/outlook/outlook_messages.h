#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace moorfold {

/// Sent by the leader to every daemon: the earliest times at which models that no server holds can
/// be ready. May be lost; a later one replaces it.
struct LoadOutlookNotice {
  /// Keeps the datagram well below the size that receivers accept.
  static constexpr std::size_t kMaxEntries = 32;

  struct Entry {
    std::string model;
    std::int64_t ready_in_ms = 0;  ///< From the time of sending.

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(model, ready_in_ms);
    }
  };

  std::string service;
  std::vector<Entry> entries;  ///< At most kMaxEntries.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, entries);
  }
};

}  // namespace moorfold
