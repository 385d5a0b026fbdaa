#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <string>

#include "common/event_log.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_metrics.h"
#include "gateway/quarantine_filter.h"
#include "gateway/request_admission.h"
#include "gateway/request_reporter.h"
#include "gateway/server_choice.h"
#include "gateway/server_statements.h"
#include "gateway/wait_estimator.h"
#include "gateway/windowed_retry_budget.h"
#include "http/http_server.h"
#include "ports/fleet_protocol.h"
#include "quarantine/quarantine_service.h"
#include "server_limits/permit_service.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// Settings of one daemon that the path of a request needs.
struct PipelineSettings {
  std::string zone;
  std::chrono::milliseconds retry_window{10'000};
  double retry_ratio = 0.2;  ///< Of the whole fleet.
  std::string name = {};     ///< Of this daemon.
};

/// The path of a request: route, choose a server, attempt, decide what follows, answer. Whatever is
/// given up gets its final answer at once. One thread.
class RequestPipeline {
 public:
  RequestPipeline(boost::asio::io_context& context, const FleetProtocol& protocol, FleetView& view,
                  QuarantineService& quarantine, QuotaService& quota, ServerStatements& statements,
                  PermitService& permits, GatewayMetrics& metrics, EventLog& log,
                  PipelineSettings settings);

  Awaitable<void> Handle(HttpServerExchange& exchange);
  void Sweep() { forwarder_.Sweep(); }
  /// Repeats to each service in a window that need no first sends.
  void SetMinRetries(double free_repeats);
  /// Requests that have no server are refused from now on: this daemon is about to stop.
  void RefuseWaiting();
  /// Requests without the head of an answer are answered now, whatever their servers do.
  void TimeOutUnanswered();
  /// This process is about to end: what is still under way is cut, and the log says so.
  void ReportInterrupted();
  /// Lets the log name the requests that have been under way for a while.
  void LogOpenRequests();
  /// Brings the figures of requests under way and of repeats left up to date.
  void UpdateLoadMetrics();

 private:
  /// What follows an attempt.
  enum class Next : std::uint8_t { kDone, kTryAgain, kGiveUp, kBreakOff };
  class ActiveMark;

  Awaitable<AttemptResult> Attempt(HttpServerExchange& exchange, GatewayRequest& request,
                                   const ServerPtr& server);
  Awaitable<void> Refuse(HttpServerExchange& exchange, const GatewayRequest& request,
                         const Refusal& refusal);
  Awaitable<void> Serve(HttpServerExchange& exchange, GatewayRequest& request);
  Awaitable<void> Finish(HttpServerExchange& exchange, const GatewayRequest& request,
                         const AttemptResult& result, const std::string& server_id);
  /// While what is known is older than its bound and the store answers, waits for its next answer.
  Awaitable<void> AwaitRead(const GatewayRequest& request);
  Awaitable<ServerPtr> AwaitServer(GatewayRequest& request);
  ServerPtr ChooseOnce(GatewayRequest& request, NoServerReason& reason) const;
  SteadyTime AttemptEnd(const GatewayRequest& request) const;
  bool MayRunElsewhere(const GatewayRequest& request) const;
  Next Decide(const GatewayRequest& request, const AttemptResult& result);
  Refusal ExplainFailure(const GatewayRequest& request, const AttemptResult& result) const;
  Awaitable<void> Answer(HttpServerExchange& exchange, const GatewayRequest& request,
                         const Refusal& refusal);
  /// Keeps in mind that a server with places refused the request, and gives it up once another did
  /// so before: they serve others meanwhile.
  static void NoteRefusedAlone(GatewayRequest& request, const std::string& server_id);
  /// Takes what the request counts against its tenant's limit, if it holds no such credit.
  /// @return whether it may be sent; if not, `refusal` of the request says why.
  Awaitable<bool> AwaitCredit(GatewayRequest& request);
  /// @return whether the request may be sent to the server now; if not, another is to be chosen.
  Awaitable<bool> AwaitPermit(const GatewayRequest& request, const ServerPtr& server);
  /// Gives back the credit of a request that ran nowhere.
  void ReturnCredit(const GatewayRequest& request);
  WindowedRetryBudget& AllowanceOf(const std::string& service);
  Awaitable<bool> AwaitAllowance(GatewayRequest& request, WindowedRetryBudget& allowance);
  const FleetProtocol& protocol_;
  FleetView& view_;
  QuarantineService& quarantine_;
  QuotaService& quota_;
  PermitService& permits_;
  GatewayMetrics& metrics_;
  RequestAdmission admission_;
  WaitEstimator holds_;
  QuarantineFilter suspects_;
  PipelineSettings settings_;
  Forwarder forwarder_;
  RequestReporter reporter_;
  std::map<std::string, WindowedRetryBudget> allowances_;
  std::set<GatewayRequest*> active_;
  bool refuse_waiting_ = false;
  double free_repeats_ = 2;
};

}  // namespace moorfold
