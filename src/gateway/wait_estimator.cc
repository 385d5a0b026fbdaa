#include "gateway/wait_estimator.h"

#include <algorithm>
#include <chrono>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// Of the newest answer in the usual time to an answer's head.
constexpr double kAnswerTimeWeight = 0.1;

/// How long a client waits for the next event of a stream, also for its first (from the users'
/// pages).
milliseconds StreamPatience(const Route& route) {
  constexpr milliseconds kLeast{2'000};
  constexpr int kTargets = 4;
  constexpr int kGaps = 8;
  return std::max({kLeast, route.target * kTargets, route.gap_target * kGaps});
}

/// @return how long a load of the request's model takes from a server's disk; 0 where none is
/// stated.
milliseconds StatedLoad(const GatewayRequest& request) {
  const ServiceDescription* service = request.table->configuration().FindService(request.service);
  if (service == nullptr || !service->engine) return milliseconds(0);
  for (const ModelDescription& model : service->engine->models)
    if (model.name == request.model.model)
      return std::chrono::duration_cast<milliseconds>(model.disk_load_time);
  return milliseconds(0);
}

}  // namespace

WaitingRequest WaitEstimator::Describe(const GatewayRequest& request, NoServerReason reason) const {
  WaitingRequest held{request.arrival, request.end, reason, request.route->target, {}, {}, {}, {}};
  const auto usual = answer_ms_.find(request.service);
  held.answer = usual == answer_ms_.end() ? request.route->target
                                          : milliseconds(static_cast<std::int64_t>(usual->second));
  if (request.route->type == RouteType::kStream) held.patience = StreamPatience(*request.route);
  held.capacity_at = request.capacity_at;
  if (request.model.model.empty()) return held;
  held.expected = view_.expected.Find(request.model);
  held.load = StatedLoad(request);
  return held;
}

SteadyTime WaitEstimator::End(const GatewayRequest& request, NoServerReason reason) const {
  return WaitDeadline(Describe(request, reason));
}

void WaitEstimator::NoteAnswerTime(const GatewayRequest& request, SteadyTime sent_at) {
  if (!request.head_sent || request.head_at < sent_at) return;
  const double taken = std::chrono::duration<double, std::milli>(request.head_at - sent_at).count();
  double& usual = answer_ms_.try_emplace(request.service, taken).first->second;
  usual += kAnswerTimeWeight * (taken - usual);
}

}  // namespace moorfold
