#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <set>
#include <string>

#include "common/event_log.h"
#include "detour/detour_service.h"
#include "gateway/contact_monitor.h"
#include "gateway/fleet_view.h"
#include "gateway/forwarder.h"
#include "gateway/gateway_metrics.h"
#include "gateway/quarantine_filter.h"
#include "gateway/refusal_responder.h"
#include "gateway/request_admission.h"
#include "gateway/request_reporter.h"
#include "gateway/server_choice.h"
#include "gateway/server_statements.h"
#include "gateway/wait_estimator.h"
#include "http/http_server.h"
#include "ports/fleet_protocol.h"
#include "quarantine/quarantine_service.h"
#include "retry_budget/retry_budget_service.h"
#include "server_limits/permit_service.h"
#include "streams/stream_origins.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// Settings of one daemon that request processing needs.
struct PipelineSettings {
  std::string zone;
  std::string name = {};  ///< Of this daemon.
  bool prompt_separation = true;
  std::size_t socket_buffer_bytes = 0;  ///< Of connections to servers; 0: as the kernel likes.
};

/// Processes requests: finds the route, chooses a server, forwards, retries if allowed and
/// responds. A request that is given up gets its final response at once. Not thread-safe.
class RequestPipeline {
 public:
  RequestPipeline(boost::asio::io_context& context, const FleetProtocol& protocol, FleetView& view,
                  QuarantineService& quarantine, QuotaService& quota, ServerStatements& statements,
                  PermitService& permits, RetryBudgetService& retries, ContactMonitor& contact,
                  OverloadMonitor& overload, DetourService& detours,
                  streams::StreamOrigins& origins, GatewayMetrics& metrics, EventLog& log,
                  PipelineSettings settings);

  Awaitable<void> Handle(HttpServerExchange& exchange);
  /// Processes a request that another daemon, which cannot reach the servers, took from a client.
  Awaitable<void> HandleDetoured(HttpServerExchange& exchange, detour::Origin origin);
  /// Responds that this daemon has not taken such a request.
  Awaitable<void> DeclineDetour(HttpServerExchange& exchange);
  /// Reports a request that the HTTP server does not pass on. @return its response.
  HttpResponse Reject(const RejectedRequest& rejected) { return responder_.Reject(rejected); }
  /// As Reject, for a request that another daemon has sent. @return its response.
  HttpResponse RejectDetour(const RejectedRequest& rejected) {
    return responder_.RejectDetour(rejected);
  }
  /// @return number of such requests in progress.
  std::uint32_t ActiveDetours() const;
  /// Closes connections to servers that have been idle for too long.
  void Sweep() { forwarder_.Sweep(); }
  /// From now on rejects requests that have no server, because this daemon is about to stop, and
  /// new ones whose time is not over at `last_answers_at`.
  void RefuseWaiting(SteadyTime last_answers_at);
  /// Times out all requests whose response head has not been sent, even if a server has them.
  void TimeOutUnanswered();
  /// Counts and logs the requests that are still open when the process is about to exit.
  void ReportInterrupted();
  /// Logs the IDs of requests that have been open for a while.
  void LogOpenRequests();
  /// Updates the metrics of open requests and remaining retries.
  void UpdateLoadMetrics();

 private:
  /// What to do after an attempt.
  enum class NextStep : std::uint8_t { kDone, kTryAgain, kGiveUp, kBreakOff };
  class ActiveRequestScope;

  Awaitable<AttemptResult> Attempt(HttpServerExchange& exchange, GatewayRequest& request,
                                   const ServerPtr& server);
  Awaitable<void> Refuse(HttpServerExchange& exchange, const GatewayRequest& request,
                         const Refusal& refusal);
  Awaitable<void> Serve(HttpServerExchange& exchange, GatewayRequest& request);
  Awaitable<void> Finish(HttpServerExchange& exchange, const GatewayRequest& request,
                         const AttemptResult& result, const std::string& server_id);
  /// While the known state is older than its bound and the store is responsive, waits for the
  /// store's next response.
  Awaitable<void> AwaitStoreRead(const GatewayRequest& request);
  Awaitable<void> Process(HttpServerExchange& exchange, std::shared_ptr<GatewayRequest> request);
  /// @return a server, or the daemon through which the request is to be sent; null: it cannot be
  /// sent.
  Awaitable<ServerPtr> AwaitTarget(GatewayRequest& request);
  Awaitable<ServerPtr> AwaitServer(GatewayRequest& request);
  /// Finds a daemon that reaches one of the servers, or any if none is named.
  /// @return the daemon, in the form of a server; null if there is none.
  Awaitable<ServerPtr> FindDetour(GatewayRequest& request, std::vector<std::string> server_ids);
  /// @return why a request that was read whole is not served; nothing if it is.
  std::optional<Refusal> Admit(const HttpRequest& http, GatewayRequest& request);
  /// @return whether this daemon may serve a request in the place of the one that took it.
  bool MayTakeDetour(const GatewayRequest& request) const;
  /// @return servers that hold the request's model and cannot be reached from here.
  std::vector<std::string> UnreachableServers(const GatewayRequest& request) const;
  ServerChoiceRequest MakeChoiceRequest(const GatewayRequest& request) const;
  /// @return whether the next attempt counts as a retry: an attempt that no server has received is
  /// none, and what is sent through another daemon is counted there.
  static bool IsRetry(const GatewayRequest& request);
  /// Updates the request after an attempt.
  void RecordAttempt(GatewayRequest& request, const AttemptResult& result,
                     const std::string& server_id);
  /// Finds out at which software version a stream began that the request resumes; no other server
  /// may go on with it.
  /// @return whether it may be sent; if not, `request.refusal` says why.
  Awaitable<bool> FindStreamVersion(GatewayRequest& request);
  /// @return the ID of the stream that the request resumes; nothing if it is not stated.
  static std::optional<std::string> ResumedStream(const GatewayRequest& request);
  /// @return the software version that the request's next server must have; nothing: any.
  std::optional<std::string> RequiredVersion(const GatewayRequest& request) const;
  ServerPtr TryChooseServer(GatewayRequest& request, NoServerReason& reason) const;
  balancing::RequestWork Classify(const GatewayRequest& request) const;
  SteadyTime AttemptDeadline(const GatewayRequest& request) const;
  /// @return until when the request waits for a server.
  SteadyTime WaitForServerUntil(const GatewayRequest& request, NoServerReason reason) const;
  /// Counts a request that is refused because no server holds its model, so that the leader still
  /// learns of the demand.
  void RecordTurnedAway(const GatewayRequest& request, NoServerReason reason);
  bool MayRetryElsewhere(const GatewayRequest& request) const;
  NextStep DecideNextStep(const GatewayRequest& request, const AttemptResult& result);
  Refusal MakeFailureRefusal(const GatewayRequest& request, const AttemptResult& result) const;
  /// Records that a server with free capacity refused the request, and gives the request up if
  /// another server did so before: the fault is then likely in the request, since these servers
  /// serve other requests.
  static void RecordRefusalWithCapacity(GatewayRequest& request, const std::string& server_id);
  /// Acquires the quota units that the request needs from its tenant's limit, unless it already
  /// holds valid credit.
  /// @return whether it may be sent; if not, `request.refusal` says why.
  Awaitable<bool> AwaitCredit(GatewayRequest& request);
  /// @return whether the request may be sent to the server now; if not, choose a server again.
  Awaitable<bool> AwaitPermit(const GatewayRequest& request, const ServerPtr& server);
  /// Refunds the credit of a request that did not run.
  void ReturnCredit(const GatewayRequest& request);
  /// Records the request in the retry budget, unless another daemon has or will.
  void RecordInRetryBudget(GatewayRequest& request);
  Awaitable<bool> AwaitRetryBudget(const GatewayRequest& request);
  /// Counts a retry that is sent to the server now.
  /// @return whether the retry budget allows it.
  bool TryTakeRetry(GatewayRequest& request, const Server& server);
  const FleetProtocol& protocol_;
  FleetView& view_;
  QuarantineService& quarantine_;
  QuotaService& quota_;
  PermitService& permits_;
  RetryBudgetService& retries_;
  ContactMonitor& contact_;
  DetourService& detours_;
  streams::StreamOrigins& origins_;
  GatewayMetrics& metrics_;
  RequestAdmission admission_;
  WaitEstimator wait_estimator_;
  QuarantineFilter quarantine_filter_;
  PipelineSettings settings_;
  Forwarder forwarder_;
  RequestReporter reporter_;
  RefusalResponder responder_;
  std::set<GatewayRequest*> active_;
  /// Daemons through which requests are sent, by address, in the form of servers.
  std::map<std::string, ServerPtr> detour_daemons_;
  bool rejects_waiting_ = false;
  SteadyTime last_answers_at_ = SteadyTime::max();  ///< Of this daemon, once it stops.
};

}  // namespace moorfold
