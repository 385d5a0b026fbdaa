#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// @return the requested part of the text; nullopt if there is no such part.
/// @param revision of the store entry that holds this text.
std::optional<ConfigurationPart> PartOf(const std::string& text, StoreRevision revision,
                                        const ConfigurationPartRequest& request);

/// Fetches the text of one configuration version from relays, part by part. Accepts only a complete
/// text that matches the digest carried in each part. No I/O; not thread-safe.
class ConfigurationReader {
 public:
  using Time = BootClock::time_point;

  struct Text {
    std::string bytes;
    StoreRevision revision;  ///< Revision of the store entry.
  };

  /// Starts fetching `version`, unless that is already in progress.
  void Want(std::int64_t version);
  void Stop() { *this = ConfigurationReader(); }
  bool running() const { return version_ >= 0; }
  /// @return the request to send now, if any.
  std::optional<ConfigurationPartRequest> Due(Time now);
  /// @return the complete text after its last part; nullopt before.
  std::optional<Text> Take(const ConfigurationPart& part);

 private:
  std::int64_t version_ = -1;
  std::uint32_t next_part_ = 0;
  std::uint64_t digest_ = 0;  ///< Digest carried in the first part.
  std::string bytes_;
  Time asked_at_{};  ///< Zero: the next part has not been requested.
};

}  // namespace moorfold
