#include "gateway/refusal_responder.h"

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "detour/detour_headers.h"
#include "gateway/refusals.h"
#include "gateway/wait_policy.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// How long a refusal waits for the log to take its line, and how often it tries.
constexpr milliseconds kMaxLogWait{100};
constexpr milliseconds kLogPollInterval{10};

RequestEnd EndWith(const Refusal& refusal, RequestEnd end) {
  end.outcome = refusal.may_have_run ? RequestOutcome::kFailed : RequestOutcome::kRefused;
  end.reason = refusal.reason;
  end.status = refusal.status;
  return end;
}

Refusal RejectionRefusal(unsigned status, const std::string& request_id) {
  if (status == http_status::kUnavailable) return MemoryShortRefusal(JitterOf(request_id));
  if (status == http_status::kInternalError)
    return {status, EndReason::kInternalError, "report this", true, 0};
  return {status, EndReason::kUnreadable, "send a complete HTTP/1.1 request within the limits",
          false, 0};
}

}  // namespace

Awaitable<void> RefusalResponder::Refuse(HttpServerExchange& exchange,
                                         const GatewayRequest& request, const Refusal& refusal,
                                         const RequestEnd& last_attempt) {
  const RequestEnd end = EndWith(refusal, last_attempt);
  if (!PromisesNotRun(refusal.status)) {
    reporter_.ReportEnd(request, end);
  } else if (!co_await LogRefusal(request, end)) {
    const Refusal unlogged = UnloggedRefusal();
    reporter_.ReportEnd(request, EndWith(unlogged, last_attempt));
    co_await Respond(exchange, request, unlogged);
    co_return;
  }
  co_await Respond(exchange, request, refusal);
}

HttpResponse RefusalResponder::Reject(const RejectedRequest& rejected) {
  GatewayRequest request;
  request.arrival = BootClock::now();
  request.id = std::string(FindHeader(rejected.headers, protocol_.headers().request_id));
  RequestEnd problem;
  problem.problem = rejected.reason;
  Refusal refusal = RejectionRefusal(rejected.status, request.id);
  const bool logged = PromisesNotRun(refusal.status) &&
                      reporter_.TryReportRefusal(request, EndWith(refusal, problem));
  if (PromisesNotRun(refusal.status) && !logged) {
    ++metrics_.refusals_not_logged;
    refusal = UnloggedRefusal();
  }
  if (!logged) reporter_.ReportEnd(request, EndWith(refusal, problem));
  return ToResponse(refusal, protocol_.headers().request_id, request.id);
}

HttpResponse RefusalResponder::RejectDetour(const RejectedRequest& rejected) {
  HttpResponse response = Reject(rejected);
  if (response.status >= http_status::kFirstServerError &&
      response.status != http_status::kUnavailable)
    return response;
  // What was not read whole has not run, and may be sent to another daemon.
  response.headers.push_back({protocol_.headers().not_run, "1"});
  response.headers.push_back(
      {std::string(detour::kResultHeader), detour::Format(detour::Result{true, 0})});
  return response;
}

Awaitable<void> RefusalResponder::Respond(HttpServerExchange& exchange,
                                          const GatewayRequest& request, const Refusal& refusal) {
  HttpResponse response = ToResponse(refusal, protocol_.headers().request_id, request.id);
  if (request.detour_origin) {
    if (!refusal.may_have_run) response.headers.push_back({protocol_.headers().not_run, "1"});
    const bool declined = refusal.reason == EndReason::kDeclined;
    response.headers.push_back(
        {std::string(detour::kResultHeader),
         detour::Format(detour::Result{declined, request.MayHaveRunHere()})});
  }
  co_await exchange.Respond(std::move(response));
}

Awaitable<bool> RefusalResponder::LogRefusal(const GatewayRequest& request, const RequestEnd& end) {
  const SteadyTime give_up = BootClock::now() + kMaxLogWait;
  while (!reporter_.TryReportRefusal(request, end)) {
    if (BootClock::now() >= give_up) {
      ++metrics_.refusals_not_logged;
      co_return false;
    }
    co_await Sleep(kLogPollInterval);
  }
  co_return true;
}

}  // namespace moorfold
