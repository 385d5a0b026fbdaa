#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// Fetches all servers from a relay page by page, with one outstanding request at a time. Retries a
/// late page, and restarts from the first page if another relay answers or the relay has lost its
/// state. No I/O; not thread-safe.
class SnapshotReader {
 public:
  using Time = BootClock::time_point;

  enum class PageResult {
    kIgnored,   ///< Not the requested page: the caller must discard it.
    kDeclined,  ///< The relay does not have all servers itself.
    kPage,      ///< The caller must apply the page; more follow.
    kLastPage   ///< The caller must apply the page; it is the last.
  };

  void Begin() {
    Stop();
    running_ = true;
  }
  void Stop() { *this = SnapshotReader(); }
  bool running() const { return running_; }

  /// @return the request to send now, if any.
  std::optional<ServersRequest> Due(Time now);
  /// @param from "IP:PORT" of the sender.
  PageResult Take(const ServersPage& page, const std::string& from);

  /// Revision of the first page. After the last page, all changes up to it are known.
  StoreRevision revision() const { return revision_; }
  /// Time, from the first page, at which the relay's data was known to be current.
  Time current_at() const { return current_at_; }

 private:
  bool Continues(const ServersPage& page, const std::string& from) const;

  bool running_ = false;
  std::string after_;
  std::string relay_;  ///< Sender of the first page; empty before it arrives.
  StoreRevision revision_;
  Time current_at_{};
  std::optional<std::int64_t> asked_at_us_;  ///< Identifies the outstanding request.
  Time asked_at_{};                          ///< When the outstanding request was first sent.
  Time sent_at_{};                           ///< When a request was last sent.
  bool declined_ = false;                    ///< The last answer was a decline.
};

}  // namespace moorfold
