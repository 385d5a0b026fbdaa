#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "gateway/prompt.h"
#include "gateway/server_choice.h"

namespace moorfold {

/// When a model or adapter is expected to stand somewhere, as the leader tells with its orders.
struct ExpectedModelLoad {
  SteadyTime told_at{};
  SteadyTime ready_at{};
};

/// What the leader has told of models that are on their way. Bounded; one thread.
class ExpectedModelLoads {
 public:
  void Note(const ModelReference& model, ExpectedModelLoad expectation);
  /// @return what is expected of the model, or of the base model of an adapter.
  std::optional<ExpectedModelLoad> Find(const ModelReference& model) const;

 private:
  std::map<std::string, ExpectedModelLoad> by_model_;  ///< By base model: adapters follow at once.
};

/// A request that no server can take now.
struct WaitingRequest {
  SteadyTime arrival;
  SteadyTime end;  ///< The earlier of its deadline and its route's time-out.
  NoServerReason reason = NoServerReason::kNone;
  std::chrono::milliseconds target{0};  ///< Until its answer should begin.
  std::chrono::milliseconds load{0};    ///< Of its model, from a server's disk, as stated.
  std::chrono::milliseconds answer{0};  ///< Until an answer of its kind usually begins.
  std::optional<std::chrono::milliseconds> patience;  ///< Of its client with a silent stream.
  std::optional<ExpectedModelLoad> expected;          ///< Of its model.
  SteadyTime
      capacity_at{};  ///< Where all its servers are at their limits: when the first takes more.
};

/// How long a request that no server can take is held, and when its caller should come back.
///
/// The caller has one question: will it be served here in time? It is held while something says so,
/// and refused as soon as nothing does:
/// - A model on its way is waited for until the leader's time for it has clearly passed. When that
///   time leaves none for the answer, the request is refused at once, however much of its own time
///   is left.
/// - A model of which the leader says nothing is waited for until the leader has had two reports of
///   it and such a load would be done: who has heard nothing by then is not going to be served
///   soon.
/// - A place at a busy server is waited for as long as the answer is wanted within. Past that, a
///   place serves more with a request that can still be in time.
/// - A request whose servers have all said how much they take is held until the first takes more,
/// if
///   that is soon enough, and else refused at once.
/// - A request under which servers end is not held at all.
/// - Nobody is held when the rest of the time is shorter than an answer usually takes, nor for
/// longer
///   than clients bear a silent stream.
///
/// Pure.
/// @return until when it is held; in the past: not at all.
SteadyTime WaitDeadline(const WaitingRequest& request);

/// @param spread between 0 and 1, another for each refused caller, so that they do not all come
/// back at once.
/// @return when a refused caller should come back, after `now`.
std::chrono::milliseconds RetryAfter(const WaitingRequest& request, SteadyTime now, double spread);

/// @return a number between 0 and 1 that differs between ids.
double JitterOf(const std::string& request_id);

}  // namespace moorfold
