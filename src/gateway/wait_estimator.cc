#include "gateway/wait_estimator.h"

#include <algorithm>
#include <chrono>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest sample in the moving average of the time to the response head.
constexpr double kNewSampleWeight = 0.1;

/// How long a client waits for the next event of a stream, including the first (documented for
/// users).
milliseconds StreamPatience(const Route& route) {
  constexpr milliseconds kMinPatience{2'000};
  constexpr int kTargetMultiple = 4;
  constexpr int kGapMultiple = 8;
  return std::max({kMinPatience, route.target * kTargetMultiple, route.gap_target * kGapMultiple});
}

/// @return the stated load time of the request's model from a server's disk; 0 if none is stated.
milliseconds DiskLoadTime(const GatewayRequest& request) {
  const ServiceDescription* service = request.table->configuration().FindService(request.service);
  if (service == nullptr || !service->engine) return milliseconds(0);
  for (const ModelDescription& model : service->engine->models)
    if (model.name == request.model.model)
      return std::chrono::duration_cast<milliseconds>(model.disk_load_time);
  return milliseconds(0);
}

}  // namespace

WaitingRequest WaitEstimator::MakeWaitingRequest(const GatewayRequest& request,
                                                 NoServerReason reason) const {
  WaitingRequest waiting_request{
      request.arrival, request.expires_at, reason, request.route->target, {}, {}, {}, {}};
  const auto average = response_ms_.find(request.service);
  waiting_request.response_time = average == response_ms_.end()
                                      ? request.route->target
                                      : milliseconds(static_cast<std::int64_t>(average->second));
  if (request.route->type == RouteType::kStream)
    waiting_request.stream_patience = StreamPatience(*request.route);
  waiting_request.capacity_at = request.capacity_at;
  if (request.model.model.empty()) return waiting_request;
  waiting_request.expected = view_.expected.Find(request.model);
  // An adapter of a held model loads within milliseconds, so an outlook of that model is outdated.
  if (waiting_request.expected && waiting_request.expected->from_outlook &&
      !view_.servers.ServersWithModel(request.service, request.model.model).empty())
    waiting_request.expected.reset();
  waiting_request.load_time = DiskLoadTime(request);
  return waiting_request;
}

SteadyTime WaitEstimator::WaitUntil(const GatewayRequest& request, NoServerReason reason) const {
  return WaitDeadline(MakeWaitingRequest(request, reason));
}

void WaitEstimator::RecordResponseTime(const GatewayRequest& request, SteadyTime sent_at) {
  if (!request.head_sent || request.head_at < sent_at) return;
  const double elapsed =
      std::chrono::duration<double, std::milli>(request.head_at - sent_at).count();
  double& average = response_ms_.try_emplace(request.service, elapsed).first->second;
  average += kNewSampleWeight * (elapsed - average);
}

}  // namespace moorfold
