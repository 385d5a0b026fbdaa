#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// Asks a relay for all its servers, page by page: one question at a time, again when its answer is
/// late, and from the beginning where the relay is another one or has lost what it knew. Pure; one
/// thread.
class SnapshotReader {
 public:
  using Time = BootClock::time_point;

  enum class Taken {
    kIgnored,   ///< Not what was asked for: the page is to be left alone.
    kDeclined,  ///< The relay does not know all servers itself.
    kPage,      ///< The page is to be taken over; more follow.
    kWhole      ///< The page is to be taken over, and was the last.
  };

  void Begin() {
    Stop();
    running_ = true;
  }
  void Stop() { *this = SnapshotReader(); }
  bool running() const { return running_; }

  /// @return the question that is to be sent now, if any.
  std::optional<ServersRequest> Due(Time now);
  /// @param from "IP:PORT" of the sender.
  Taken Take(const ServersPage& page, const std::string& from);

  /// Of the first page: once all are taken, everything up to it is known.
  StoreRevision revision() const { return revision_; }
  /// The same: at that time the relay knew of nothing newer.
  Time current_at() const { return current_at_; }

 private:
  bool Continues(const ServersPage& page, const std::string& from) const;

  bool running_ = false;
  std::string after_;
  std::string relay_;  ///< That has sent the first page; empty before.
  StoreRevision revision_;
  Time current_at_{};
  std::optional<std::int64_t> asked_at_us_;  ///< Of the question that is open.
  Time asked_at_{};                          ///< When that was sent first ..
  Time sent_at_{};                           ///< .. and last.
  bool declined_ = false;                    ///< The relay asked last has declined.
};

}  // namespace moorfold
