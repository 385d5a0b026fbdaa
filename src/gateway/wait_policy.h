#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "gateway/prompt.h"
#include "gateway/server_choice.h"

namespace moorfold {

/// Expected load of a model or adapter, as the leader announces it with its orders or as the
/// earliest possible time of a load that has not begun.
struct ExpectedModelLoad {
  SteadyTime announced_at{};
  SteadyTime ready_at{};
  bool from_outlook = false;  ///< The load has not begun; see outlook/load_outlook.h.
};

/// Model loads that the leader has announced. Bounded in size; not thread-safe.
class ExpectedModelLoads {
 public:
  void Note(const ModelReference& model, ExpectedModelLoad expected_load);
  /// Records the earliest time of a load that has not begun. Does not replace the announcement of a
  /// load in progress: a datagram may arrive after the announcement that was sent later.
  void NoteOutlook(const ModelReference& model, ExpectedModelLoad outlook);
  /// @return the expected load of the model, or of the base model of an adapter.
  std::optional<ExpectedModelLoad> Find(const ModelReference& model) const;

 private:
  /// By base model; adapters load right after it.
  std::map<std::string, ExpectedModelLoad> by_model_;
};

/// A request that no server can take at the moment, as the wait policy sees it.
struct WaitingRequest {
  SteadyTime arrival;
  SteadyTime expires_at;  ///< The earlier of its deadline and its route's timeout.
  NoServerReason reason = NoServerReason::kNone;
  std::chrono::milliseconds target{0};         ///< Target time to the first byte of the response.
  std::chrono::milliseconds load_time{0};      ///< Stated load time of its model from disk.
  std::chrono::milliseconds response_time{0};  ///< Usual time from send to response head.
  /// How long the client accepts a stream without events.
  std::optional<std::chrono::milliseconds> stream_patience;
  std::optional<ExpectedModelLoad> expected;  ///< Announced load of its model.
  /// If all servers are at their limits: when the first has capacity.
  SteadyTime capacity_at{};
};

/// Decides how long a request that no server can take waits in the gateway.
///
/// A request waits only while there is reason to expect that it will be served in time, and is
/// refused as soon as there is none:
/// - If the load of its model has been announced, it waits until the announced time has clearly
///   passed. If that time is too late for a response in time, it is refused at once, however much
///   of its own time is left.
/// - If the leader has announced nothing for its model, it waits until the leader has received two
///   demand reports for the model and a load from disk would be done. Without an announcement by
///   then, the model will not be available soon.
/// - If its servers are busy, it waits at most until the target time. After that, capacity is
///   better used for a request that can still meet its target.
/// - If all its servers are at their stated limits, it waits until the first has capacity, or is
///   refused at once if that is later than the target time.
/// - If servers crash while processing it, it does not wait at all.
/// - No request waits when its remaining time is shorter than a response usually takes, nor for
///   longer than clients accept a stream without events.
///
/// Pure function.
/// @return until when the request waits; a time in the past means no wait.
SteadyTime WaitDeadline(const WaitingRequest& request);

/// @return whether the request is refused because its model cannot be ready in time according to
/// the load outlook.
bool RefusedByOutlook(const WaitingRequest& request);

/// @param jitter between 0 and 1, different for each refused caller, so that they do not all retry
/// at the same time.
/// @return how long after `now` a refused caller should retry.
std::chrono::milliseconds RetryAfter(const WaitingRequest& request, SteadyTime now, double jitter);

/// @return a number between 0 and 1, derived from the request ID.
double JitterOf(const std::string& request_id);

}  // namespace moorfold
