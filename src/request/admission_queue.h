#pragma once

#include <cstdint>
#include <optional>
#include <set>

#include "core/intent.h"
#include "core/time.h"

namespace moorfold {

/// A request's place among those that wait for a replica of one model: more urgent ones first,
/// then the earlier deadline, then the earlier arrival.
struct QueueTicket {
  Priority priority = Priority::kInteractive;
  std::int64_t deadline_microseconds = 0;  ///< On any clock, the same for all tickets.
  std::uint64_t arrival = 0;

  auto operator<=>(const QueueTicket&) const = default;
};

/// The bounded queue of one model. Not thread-safe: each worker thread has its own.
class AdmissionQueue {
 public:
  /// @return the request's ticket, or nothing when `limit` requests wait already.
  std::optional<QueueTicket> Enter(Priority priority, std::int64_t deadline_microseconds,
                                   std::size_t limit) {
    if (tickets_.size() >= limit) return std::nullopt;
    const QueueTicket ticket{priority, deadline_microseconds, next_arrival_++};
    tickets_.insert(ticket);
    return ticket;
  }
  void Leave(const QueueTicket& ticket) { tickets_.erase(ticket); }
  bool IsFirst(const QueueTicket& ticket) const {
    return !tickets_.empty() && *tickets_.begin() == ticket;
  }
  /// @return how many requests are served before `ticket`.
  std::size_t Position(const QueueTicket& ticket) const {
    return static_cast<std::size_t>(std::distance(tickets_.begin(), tickets_.find(ticket)));
  }
  std::size_t size() const { return tickets_.size(); }

 private:
  std::set<QueueTicket> tickets_;
  std::uint64_t next_arrival_ = 0;
};

/// @param waiting_before requests that are served first.
/// @param slots requests served at once by all replicas.
/// @param service_seconds mean time of one request; 0: not known.
/// @return the predicted wait in seconds.
inline double PredictWait(std::size_t waiting_before, std::uint32_t slots, double service_seconds) {
  if (slots == 0) return 0;
  return static_cast<double>(waiting_before + 1) * service_seconds / slots;
}

}  // namespace moorfold
