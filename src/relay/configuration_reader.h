#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// @return the part of the text that is asked for; nothing where it has no such part.
/// @param revision of the store's entry with this text.
std::optional<ConfigurationPart> PartOf(const std::string& text, StoreRevision revision,
                                        const ConfigurationRequest& question);

/// Asks relays for the text of one version of the configuration, part by part. Only a text that is
/// whole, by the digest that each part tells, is taken for it. Pure; one thread.
class ConfigurationReader {
 public:
  using Time = BootClock::time_point;

  struct Text {
    std::string bytes;
    StoreRevision revision;  ///< Of the store's entry.
  };

  /// Begins with that version, unless it is under way.
  void Want(std::int64_t version);
  void Stop() { *this = ConfigurationReader(); }
  bool running() const { return version_ >= 0; }
  /// @return the question that is to be sent now, if any.
  std::optional<ConfigurationRequest> Due(Time now);
  /// @return the text, with its last part.
  std::optional<Text> Take(const ConfigurationPart& part);

 private:
  std::int64_t version_ = -1;
  std::uint32_t next_part_ = 0;
  std::uint64_t digest_ = 0;  ///< As the first part tells it.
  std::string bytes_;
  Time asked_at_{};  ///< Zero: the next part was not asked for.
};

}  // namespace moorfold
