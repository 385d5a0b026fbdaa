#include "gateway/request_pipeline.h"

#include <algorithm>

#include "common/boot_clock.h"
#include "gateway/refusals.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMaxSends = 4;
/// How long a request is not sent again to a server that refused it despite free capacity: the
/// server may be executing an order on the request's model.
constexpr milliseconds kRefusalExclusionTime{400};
/// Number of servers that must refuse a request despite free capacity before it is given up: one
/// may be executing an order, two at the same time are unlikely to be.
constexpr std::size_t kRefusalsBeforeGivingUp = 2;
constexpr milliseconds kRetryPollInterval{40};
/// Share of a route's target that a request may wait for its tenant's credit. A longer wait would
/// leave little of the target for the server.
constexpr double kCreditWaitTargetShare = 0.5;
/// Share of the tighter staleness bound that a request waits for a store read when the known state
/// is too old. Longer than a read and its retry take (0.125 of the bound, plus network time).
constexpr double kReadWaitBoundShare = 0.15;
/// Time within which a retry is sent after it was counted; covers a new connection.
constexpr milliseconds kRetryLifetime{500};
/// How long a request that resumes a stream waits for the store to tell where the stream began.
constexpr milliseconds kOriginTimeout{1'800};
/// Parts of one prompt that are compared with other prompts.
constexpr std::size_t kMaxSharedParts = 8;

/// The last part is the request's own.
std::vector<Fingerprint> SharedPartFingerprints(const std::string& service,
                                                const std::vector<PromptPart>& parts) {
  std::vector<Fingerprint> fingerprints;
  for (std::size_t index = 0; index + 1 < parts.size() && index < kMaxSharedParts; ++index)
    fingerprints.push_back(PartFingerprintOf(service, parts[index].id));
  return fingerprints;
}

}  // namespace

/// Registers a request as open for the lifetime of this object.
class RequestPipeline::ActiveRequestScope {
 public:
  ActiveRequestScope(std::set<GatewayRequest*>& active, GatewayRequest& request)
      : active_(active), request_(&request) {
    active_.insert(request_);
  }
  ~ActiveRequestScope() { active_.erase(request_); }
  ActiveRequestScope(const ActiveRequestScope&) = delete;
  ActiveRequestScope& operator=(const ActiveRequestScope&) = delete;

 private:
  std::set<GatewayRequest*>& active_;
  GatewayRequest* request_;
};

RequestPipeline::RequestPipeline(boost::asio::io_context& context, const FleetProtocol& protocol,
                                 FleetView& view, QuarantineService& quarantine,
                                 QuotaService& quota, ServerStatements& statements,
                                 PermitService& permits, RetryBudgetService& retries,
                                 ContactMonitor& contact, OverloadMonitor& overload,
                                 DetourService& detours, streams::StreamOrigins& origins,
                                 GatewayMetrics& metrics, EventLog& log, PipelineSettings settings)
    : protocol_(protocol),
      view_(view),
      quarantine_(quarantine),
      quota_(quota),
      permits_(permits),
      retries_(retries),
      contact_(contact),
      detours_(detours),
      origins_(origins),
      metrics_(metrics),
      admission_(protocol, view),
      wait_estimator_(view),
      quarantine_filter_(view, quarantine),
      settings_(std::move(settings)),
      forwarder_(context, protocol, statements, contact, overload, origins, metrics,
                 settings_.socket_buffer_bytes),
      reporter_(view, metrics, log),
      responder_(protocol, reporter_, metrics) {}

void RequestPipeline::RefuseWaiting(SteadyTime last_answers_at) {
  rejects_waiting_ = true;
  last_answers_at_ = last_answers_at;
  view_.changed.NotifyAll();
}

void RequestPipeline::ReportInterrupted() {
  for (const GatewayRequest* request : active_) {
    RequestEnd end;
    end.outcome = request->head_sent ? RequestOutcome::kBrokenOff : RequestOutcome::kFailed;
    end.reason = EndReason::kDaemonStopped;
    reporter_.ReportEnd(*request, end);
  }
}

void RequestPipeline::LogOpenRequests() { reporter_.LogOpenRequests(active_, BootClock::now()); }

void RequestPipeline::UpdateLoadMetrics() {
  metrics_.requests_open = static_cast<std::int64_t>(active_.size());
  metrics_.requests_waiting = view_.demand.Waiting();
  metrics_.requests_at_servers = view_.demand.InFlight();
  metrics_.repeats_left.clear();
  for (const auto& [service, retries] : retries_.AvailableByService())
    metrics_.repeats_left.push_back({service, retries});
}

void RequestPipeline::TimeOutUnanswered() {
  const auto now = BootClock::now();
  for (GatewayRequest* request : active_) {
    request->expires_at = std::min(request->expires_at, now);
    if (request->upstream && !request->head_sent)
      request->upstream->Cancel(CancelReason::kTimeLimit);
  }
  view_.changed.NotifyAll();
}

void RequestPipeline::RecordInRetryBudget(GatewayRequest& request) {
  // A request that leaves through another daemon is recorded by that daemon.
  if (request.first_attempt_counted || (contact_.isolated() && !request.detour_origin)) return;
  retries_.RecordRequest(request.service, request.arrival);
  request.first_attempt_counted = true;
}

/// Waits until a retry may be had. A request that has not run waits at most as long as one that has
/// no server; others do not wait.
/// @return whether a retry may be had.
Awaitable<bool> RequestPipeline::AwaitRetryBudget(const GatewayRequest& request) {
  while (!retries_.MayObtain(request.service)) {
    const bool can_wait =
        request.may_have_run == 0 && !rejects_waiting_ && !request.client_left &&
        BootClock::now() < wait_estimator_.WaitUntil(request, NoServerReason::kAllUnusable);
    if (!can_wait) {
      ++metrics_.repeats_denied;
      co_return false;
    }
    co_await view_.changed.Wait(BootClock::now() + kRetryPollInterval);
  }
  co_return true;
}

bool RequestPipeline::IsRetry(const GatewayRequest& request) {
  return request.arrived && !request.detour_target;
}

bool RequestPipeline::TryTakeRetry(GatewayRequest& request, const Server& server) {
  if (!retries_.TryTake(request.service)) return false;
  request.retry_valid_until = BootClock::now() + kRetryLifetime;
  reporter_.ReportRetry(request, server, retries_.Available(request.service));
  return true;
}

void RequestPipeline::RecordRefusalWithCapacity(GatewayRequest& request,
                                                const std::string& server_id) {
  std::erase_if(request.refusals,
                [&](const ServerRefusal& refusal) { return refusal.server_id == server_id; });
  request.refusals.push_back({server_id, BootClock::now() + kRefusalExclusionTime});
  if (request.refusals.size() < kRefusalsBeforeGivingUp) return;
  request.refusal = Refusal{http_status::kUnavailable, EndReason::kRefusedByServers,
                            "servers with free places refuse this request; change it", false, 0};
}

balancing::RequestWork RequestPipeline::Classify(const GatewayRequest& request) const {
  if (!settings_.prompt_separation) return balancing::RequestWork::kNeutral;
  return request.table->SeparationOf(request.service)
      .Classify(*request.route, TotalTokens(request.parts));
}

ServerChoiceRequest RequestPipeline::MakeChoiceRequest(const GatewayRequest& request) const {
  ServerChoiceRequest choice_request{request.service, request.model, request.parts, settings_.zone,
                                     request.failed_servers};
  choice_request.daemon_name = settings_.name;
  choice_request.work = request.work;
  choice_request.required_version = RequiredVersion(request);
  return choice_request;
}

std::optional<std::string> RequestPipeline::RequiredVersion(const GatewayRequest& request) const {
  if (request.stream_version) return request.stream_version;
  if (!request.BeginsResumableStream() || view_.store_reachable) return std::nullopt;
  // Without the store, a stream can only begin where it needs no entry there.
  std::optional<std::string> version = origins_.VersionWithoutEntry(request.service);
  const ServerDirectory::Servers& servers = view_.servers.Of(request.service);
  const bool served = std::any_of(servers.begin(), servers.end(), [&](const ServerPtr& server) {
    return server->record().software_version == version && server->Usable(BootClock::now());
  });
  if (!served) version.reset();
  return version;
}

std::optional<std::string> RequestPipeline::ResumedStream(const GatewayRequest& request) {
  if (!request.resumes.empty()) return request.resumes;
  // The client resumes nothing, so the events that it has came from an earlier attempt of this
  // request, through another daemon.
  if (request.client_last_event.empty()) return request.id;
  return std::nullopt;
}

Awaitable<bool> RequestPipeline::FindStreamVersion(GatewayRequest& request) {
  const bool resumes = request.route->type == RouteType::kStream && request.StreamHasBegun();
  if (!resumes || request.stream_version) co_return true;
  if (!request.route->resumable) {
    request.refusal = StreamNotResumableRefusal();
    co_return false;
  }
  const SteadyTime until = std::min(request.expires_at, BootClock::now() + kOriginTimeout);
  streams::StreamService service{request.service, request.route->services.size() == 1};
  std::optional<std::string> stream = ResumedStream(request);
  streams::OriginAnswer answer;
  if (stream)
    answer = co_await origins_.Find(std::move(*stream), std::move(service), until);
  else
    answer = co_await origins_.FindUnnamed(std::move(service), until);
  if (answer.state == streams::OriginState::kKnown &&
      request.route->HasService(answer.origin.service)) {
    RequestAdmission::AssignService(request, answer.origin.service);
    request.stream_version = answer.origin.software_version;
    co_return true;
  }
  request.refusal = answer.state == streams::OriginState::kStoreUnavailable
                        ? StreamVersionUnavailableRefusal(JitterOf(request.id))
                        : StreamVersionUnknownRefusal();
  co_return false;
}

ServerPtr RequestPipeline::TryChooseServer(GatewayRequest& request, NoServerReason& reason) const {
  request.work = Classify(request);
  ServerChoiceRequest choice_request = MakeChoiceRequest(request);
  for (const ServerRefusal& refusal : request.refusals)
    if (BootClock::now() < refusal.until) choice_request.excluded.push_back(refusal.server_id);
  if (quarantine_filter_.HasCase(request) &&
      !quarantine_filter_.ExcludeServers(request, choice_request)) {
    reason = NoServerReason::kAllUnusable;
    return nullptr;
  }
  const auto now = BootClock::now();
  ServerChoice choice = ChooseServer(view_.servers, choice_request, now);
  reason = choice.reason;
  request.expected_ms = choice.cost_ms;
  request.capacity_at = choice.capacity_at;
  // A later choice without a result leaves the pool of the server that the request was sent to.
  if (choice.server) request.other_pool = choice.other_pool;
  request.has_alternative = choice.has_alternative;
  return choice.server;
}

Awaitable<void> RequestPipeline::AwaitStoreRead(const GatewayRequest& request) {
  const SteadyTime began = BootClock::now();
  if (!view_.ShouldAwaitRead(began)) co_return;
  ++metrics_.waits_for_store_read;
  const auto longest = std::chrono::duration_cast<milliseconds>(
      std::min(view_.configuration_bound, view_.staleness_bound) * kReadWaitBoundShare);
  const SteadyTime until = began + longest;
  while (view_.ShouldAwaitRead(BootClock::now()) && BootClock::now() < until &&
         !request.client_left)
    co_await view_.refreshed.Wait(until);
  // The store does not respond: other requests do not wait for it until it responds again.
  if (view_.ShouldAwaitRead(BootClock::now()) && !request.client_left)
    view_.store_reachable = false;
}

std::vector<std::string> RequestPipeline::UnreachableServers(const GatewayRequest& request) const {
  return UnreachableCandidates(view_.servers, MakeChoiceRequest(request), BootClock::now());
}

Awaitable<ServerPtr> RequestPipeline::FindDetour(GatewayRequest& request,
                                                 std::vector<std::string> server_ids) {
  // One hop at most: daemons that cannot reach the servers must not pass requests in circles.
  if (request.detour_origin) co_return nullptr;
  // An entry for this version may yet be written, so the stream can begin at no other.
  if (request.BeginsResumableStream() && request.stream_version) co_return nullptr;
  detour::Need need{std::move(server_ids), request.failed_servers};
  request.detour_target = co_await detours_.Find(std::move(need));
  if (!request.detour_target) co_return nullptr;
  request.sent_through_daemon = true;
  constexpr std::size_t kMaxDaemons = 64;
  if (detour_daemons_.size() > kMaxDaemons) detour_daemons_.clear();
  ServerPtr& daemon = detour_daemons_[request.detour_target->peer];
  const bool moved = daemon && daemon->record().endpoint != request.detour_target->endpoint;
  if (!daemon || moved) {
    ServerRecord record;
    record.id = request.detour_target->peer;
    record.endpoint = request.detour_target->endpoint;
    daemon = std::make_shared<Server>(std::move(record));
  }
  co_return daemon;
}

bool RequestPipeline::MayTakeDetour(const GatewayRequest& request) const {
  const bool older_configuration =
      request.table->configuration().version < request.detour_origin->configuration_version;
  return !older_configuration && !contact_.isolated() && !rejects_waiting_;
}

Awaitable<ServerPtr> RequestPipeline::AwaitTarget(GatewayRequest& request) {
  request.detour_target.reset();
  if (contact_.isolated() && !request.detour_origin && detours_.HasPeers()) {
    ServerPtr daemon = co_await FindDetour(request, std::vector<std::string>());
    if (daemon) co_return daemon;
    if (contact_.isolated()) {
      request.refusal = IsolatedRefusal(JitterOf(request.id));
      co_return nullptr;
    }
  }
  co_return co_await AwaitServer(request);
}

Awaitable<ServerPtr> RequestPipeline::AwaitServer(GatewayRequest& request) {
  if (!co_await FindStreamVersion(request)) co_return nullptr;
  NoServerReason reason = NoServerReason::kNone;
  if (ServerPtr server = TryChooseServer(request, reason)) co_return server;
  if (reason == NoServerReason::kAllUnusable) {
    std::vector<std::string> unreachable = UnreachableServers(request);
    ServerPtr daemon;
    if (!unreachable.empty()) daemon = co_await FindDetour(request, std::move(unreachable));
    if (daemon) co_return daemon;
  }
  const ScopedDemandCount waiting(view_.demand, request.service, request.model,
                                  &ModelDemandCounters::Count::waiting);
  std::optional<ScopedVersionNeed> version_need;
  const auto began = BootClock::now();
  ++metrics_.waits_for_server;
  view_.demand_raised.NotifyAll();
  request.no_server_reason = reason;
  // The expected load time of the model may change during the wait, so recompute the deadline.
  while (!request.client_left && !rejects_waiting_ &&
         BootClock::now() < WaitForServerUntil(request, reason)) {
    if (request.stream_version && reason == NoServerReason::kModelNotHeld && !version_need)
      version_need.emplace(view_.demand, request.service, request.model, *request.stream_version);
    const SteadyTime next_poll = BootClock::now() + kRetryPollInterval;
    co_await view_.changed.Wait(std::min(WaitForServerUntil(request, reason), next_poll));
    request.failed_servers.clear();
    ServerPtr server = TryChooseServer(request, reason);
    request.no_server_reason = reason;
    request.waited = std::chrono::duration_cast<milliseconds>(BootClock::now() - began);
    if (!server && contact_.isolated())
      server = co_await FindDetour(request, std::vector<std::string>());
    if (!server) continue;
    metrics_.wait_for_server.Observe(static_cast<double>(request.waited.count()));
    co_return server;
  }
  if (!request.client_left) RecordTurnedAway(request, reason);
  co_return nullptr;
}

SteadyTime RequestPipeline::WaitForServerUntil(const GatewayRequest& request,
                                               NoServerReason reason) const {
  // Servers of the version may have joined that this daemon has not heard of.
  const bool outdated =
      reason == NoServerReason::kVersionNotServed && view_.servers_current_at < request.arrival;
  return wait_estimator_.WaitUntil(request, outdated ? NoServerReason::kAllUnusable : reason);
}

void RequestPipeline::RecordTurnedAway(const GatewayRequest& request, NoServerReason reason) {
  if (request.model.model.empty() || reason != NoServerReason::kModelNotHeld) return;
  ++view_.demand.CountsOf(request.service, request.model).turned_away;
  if (request.stream_version)
    view_.demand.NeedOnVersion(request.service, request.model, *request.stream_version);
  view_.demand_raised.NotifyAll();
  if (RefusedByOutlook(wait_estimator_.MakeWaitingRequest(request, reason)))
    ++metrics_.requests_refused_by_outlook;
}

bool RequestPipeline::MayRetryElsewhere(const GatewayRequest& request) const {
  return request.Repeatable() && request.may_have_run + 1 < request.route->attempts;
}

SteadyTime RequestPipeline::AttemptDeadline(const GatewayRequest& request) const {
  constexpr int kTargetsPerAttempt = 2;
  constexpr double kRemainingTimeShare = 0.5;
  const bool limited = request.route->type == RouteType::kRepeatable && MayRetryElsewhere(request);
  if (!limited) return request.expires_at;
  const auto now = BootClock::now();
  const auto remaining_share = std::chrono::duration_cast<BootClock::duration>(
      (request.expires_at - now) * kRemainingTimeShare);
  return now +
         std::min<BootClock::duration>(remaining_share, request.route->target * kTargetsPerAttempt);
}

RequestPipeline::NextStep RequestPipeline::DecideNextStep(const GatewayRequest& request,
                                                          const AttemptResult& result) {
  const bool time_left = BootClock::now() < request.expires_at;
  switch (result.attempt_outcome) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kClientLeft:
      return NextStep::kDone;
    case AttemptOutcome::kNotRun:
      if (request.head_sent) return NextStep::kBreakOff;
      if (request.refusal) return NextStep::kGiveUp;
      return time_left && request.sends < kMaxSends ? NextStep::kTryAgain : NextStep::kGiveUp;
    case AttemptOutcome::kMayHaveRun:
    case AttemptOutcome::kBrokenOff:
      // Only a stream can go on at another server after a part of it has been relayed.
      if (time_left && request.Repeatable() && request.may_have_run < request.route->attempts &&
          (!request.head_sent || request.route->type == RouteType::kStream))
        return NextStep::kTryAgain;
      return request.head_sent ? NextStep::kBreakOff : NextStep::kGiveUp;
  }
  return NextStep::kGiveUp;
}

Refusal RequestPipeline::MakeFailureRefusal(const GatewayRequest& request,
                                            const AttemptResult& result) const {
  if (request.may_have_run > 0) {
    const bool late = BootClock::now() >= request.expires_at;
    return {late ? http_status::kGatewayTimeout : http_status::kBadGateway,
            late ? EndReason::kOutOfTime : EndReason::kServerFailed,
            "it may have run; repeat it only if that does no harm", true, 0};
  }
  if (request.refusal) return *request.refusal;
  if (request.no_server_reason == NoServerReason::kQuarantined) return QuarantineRefusal();
  if (request.no_server_reason == NoServerReason::kVersionNotServed)
    return StreamVersionNotServedRefusal(JitterOf(request.id));
  const bool at_limit = request.no_server_reason == NoServerReason::kAtLimit;
  const bool full = result.status != 0 && !at_limit;
  const WaitingRequest waiting_request = wait_estimator_.MakeWaitingRequest(
      request, full ? NoServerReason::kAllUnusable : request.no_server_reason);
  const EndReason reason = at_limit ? EndReason::kServersAtLimit
                           : full   ? EndReason::kServersFull
                                    : EndReason::kNoServer;
  const milliseconds retry_after =
      RetryAfter(waiting_request, BootClock::now(), JitterOf(request.id));
  return {http_status::kUnavailable, reason, "come back after the stated time", false,
          std::chrono::duration<double>(retry_after).count()};
}

Awaitable<bool> RequestPipeline::AwaitCredit(GatewayRequest& request) {
  // The daemon that took the request from its client holds the credit for it.
  if (request.detour_origin) co_return true;
  if (request.tenant == nullptr || !request.tenant->limit.Limited()) co_return true;
  if (request.credit && quota_.Alive(request.tenant->name, *request.credit)) co_return true;
  request.credit.reset();
  const auto credit_wait = std::chrono::duration_cast<BootClock::duration>(request.route->target *
                                                                           kCreditWaitTargetShare);
  const SteadyTime wait_until = std::min(request.expires_at, request.arrival + credit_wait);
  // Requests of one tenant are ordered by route priority: the tenant's priority is the same for
  // all of them.
  const quota::CreditDemand credit_demand{
      request.tenant->name, request.units, request.route->priority,
      std::max(BootClock::duration{}, wait_until - BootClock::now())};
  const QuotaDecision decision = co_await quota_.Acquire(credit_demand);
  if (decision.quota_status == QuotaStatus::kGranted) {
    request.credit = decision.credit;
    co_return true;
  }
  request.refusal = QuotaRefusal(decision, JitterOf(request.id));
  co_return false;
}

void RequestPipeline::ReturnCredit(const GatewayRequest& request) {
  if (request.credit) quota_.Refund(request.tenant->name, *request.credit);
}

Awaitable<bool> RequestPipeline::AwaitPermit(const GatewayRequest& request,
                                             const ServerPtr& server) {
  // Do not wait for this server's permit if another server can take the request.
  const SteadyTime until = wait_estimator_.WaitUntil(request, NoServerReason::kAllUnusable);
  const milliseconds longest_wait = request.has_alternative
                                        ? milliseconds(0)
                                        : std::chrono::duration_cast<milliseconds>(std::max(
                                              BootClock::duration{}, until - BootClock::now()));
  const bool granted = co_await permits_.Acquire(server, longest_wait);
  // The server may have announced during the wait that it is leaving or needs a pause.
  co_return granted && !server->RejectsRequests(BootClock::now());
}

Awaitable<AttemptResult> RequestPipeline::Attempt(HttpServerExchange& exchange,
                                                  GatewayRequest& request,
                                                  const ServerPtr& server) {
  if (request.detour_target)
    co_return co_await forwarder_.Forward(exchange, request, server, request.expires_at, true);
  const ScopedDemandCount in_flight_mark(view_.demand, request.service, request.model,
                                         &ModelDemandCounters::Count::in_flight);
  std::vector<Fingerprint> trial_parts =
      quarantine_filter_.QuarantinedParts(request, server->record().software_version);
  std::optional<QuarantineService::SuspectAttempt> suspect_attempt;
  if (quarantine_.tracker().HasCase(request.fingerprint) || !trial_parts.empty())
    suspect_attempt.emplace(quarantine_, request.fingerprint, server->record().id,
                            std::move(trial_parts));
  const bool last = !MayRetryElsewhere(request);
  const SteadyTime sent_at = BootClock::now();
  AttemptResult result =
      co_await forwarder_.Forward(exchange, request, server, AttemptDeadline(request), last);
  wait_estimator_.RecordResponseTime(request, sent_at);
  quarantine_filter_.RecordAttempt(request, *server, result, sent_at);
  const bool no_crash = result.attempt_outcome == AttemptOutcome::kAnswered ||
                        result.attempt_outcome == AttemptOutcome::kNotRun;
  if (suspect_attempt && no_crash) suspect_attempt->RecordNoCrash();
  co_return result;
}

void RequestPipeline::RecordAttempt(GatewayRequest& request, const AttemptResult& result,
                                    const std::string& server_id) {
  request.attempts.push_back({server_id, result.status, result.trace});
  const bool may_have_run = result.attempt_outcome == AttemptOutcome::kMayHaveRun ||
                            result.attempt_outcome == AttemptOutcome::kBrokenOff;
  // An attempt that may have run consumes its credit; a retry must acquire new credit.
  if (result.attempt_outcome != AttemptOutcome::kNotRun) request.credit.reset();
  if (may_have_run) request.may_have_run += result.runs;
  const bool declined = request.detour_target && !request.refusal && !may_have_run;
  const bool arrived = may_have_run || (result.status != 0 && !declined);
  request.arrived = request.arrived || arrived;
  request.first_attempt_counted = request.first_attempt_counted || arrived;
}

Awaitable<void> RequestPipeline::Serve(HttpServerExchange& exchange, GatewayRequest& request) {
  AttemptResult result;
  std::string server_id;
  // Check the quota first: a request over its limit neither waits for a server nor counts as
  // demand.
  while (co_await AwaitCredit(request)) {
    if (!request.counted_as_demand)
      ++view_.demand.CountsOf(request.service, request.model).arrivals;
    request.counted_as_demand = true;
    RecordInRetryBudget(request);
    if (request.arrived && !co_await AwaitRetryBudget(request)) break;
    co_await AwaitStoreRead(request);
    const ServerPtr server = co_await AwaitTarget(request);
    if (request.client_left) result.attempt_outcome = AttemptOutcome::kClientLeft;
    if (!server || request.client_left) break;
    // The machine may have been suspended during the wait.
    if (BootClock::now() >= request.expires_at) break;
    // The credit acquired before the wait may have expired.
    if (!co_await AwaitCredit(request)) break;
    if (!co_await AwaitPermit(request, server)) continue;
    if (IsRetry(request) && !co_await retries_.Obtain(request.service)) continue;
    request.refusal = admission_.RecheckKey(request);
    if (request.refusal) break;
    // The client has disconnected, or the deadline has passed.
    if (request.client_left || BootClock::now() >= request.expires_at) break;
    if (!request.detour_target && !quarantine_filter_.MaySend(request, *server)) continue;
    if (IsRetry(request) && !TryTakeRetry(request, *server)) continue;
    ++request.sends;
    server_id = server->record().id;
    result = co_await Attempt(exchange, request, server);
    RecordAttempt(request, result, server_id);
    if (result.refused_with_capacity) RecordRefusalWithCapacity(request, server_id);
    const NextStep next = DecideNextStep(request, result);
    if (result.attempt_outcome != AttemptOutcome::kAnswered &&
        result.attempt_outcome != AttemptOutcome::kClientLeft)
      reporter_.ReportFailedAttempt(request, *server, result);
    if (next != NextStep::kTryAgain) break;
    request.failed_servers.push_back(server_id);
    if (result.connection_lost) co_await quarantine_.AwaitEvidence(server_id, request.fingerprint);
  }
  // What is late through another daemon is counted there.
  const bool late = request.head_sent && request.MissedTargetAtServer() && !request.detour_target;
  // Servers at their limits call for more replicas just as late responses do.
  const bool at_limit = !request.head_sent && request.no_server_reason == NoServerReason::kAtLimit;
  if (!request.model.model.empty() && (late || at_limit))
    ++view_.demand.CountsOf(request.service, request.model).late;
  ReturnCredit(request);
  co_await Finish(exchange, request, result, server_id);
}

/// Counts and logs the request's end, and responds if the client has no response yet.
Awaitable<void> RequestPipeline::Finish(HttpServerExchange& exchange, const GatewayRequest& request,
                                        const AttemptResult& result, const std::string& server_id) {
  const bool settled = result.attempt_outcome == AttemptOutcome::kAnswered ||
                       result.attempt_outcome == AttemptOutcome::kClientLeft || request.head_sent;
  if (settled) {
    reporter_.ReportEnd(request, MakeRequestEnd(request, result, server_id));
    if (result.attempt_outcome != AttemptOutcome::kAnswered) exchange.Abort();
    co_return;
  }
  RequestEnd end;
  end.problem = result.problem;
  end.server_id = server_id;
  end.trace = result.trace;
  const Refusal refusal = MakeFailureRefusal(request, result);
  co_await responder_.Refuse(exchange, request, refusal, end);
}

Awaitable<void> RequestPipeline::Refuse(HttpServerExchange& exchange, const GatewayRequest& request,
                                        const Refusal& refusal) {
  const RequestEnd no_attempt;
  co_await responder_.Refuse(exchange, request, refusal, no_attempt);
}

Awaitable<void> RequestPipeline::Handle(HttpServerExchange& exchange) {
  return Process(exchange, std::make_shared<GatewayRequest>());
}

Awaitable<void> RequestPipeline::HandleDetoured(HttpServerExchange& exchange,
                                                detour::Origin origin) {
  const auto request = std::make_shared<GatewayRequest>();
  request->detour_origin = origin;
  request->origin_address = exchange.remote().address;
  request->may_have_run = origin.may_have_run;
  request->arrived = origin.arrived;
  request->first_attempt_counted = origin.first_attempt_counted;
  request->counted_as_demand = true;  // By the daemon that took it from the client.
  ++metrics_.detours.carried;
  co_await Process(exchange, request);
}

std::uint32_t RequestPipeline::ActiveDetours() const {
  return static_cast<std::uint32_t>(std::count_if(
      active_.begin(), active_.end(),
      [](const GatewayRequest* request) { return request->detour_origin.has_value(); }));
}

Awaitable<void> RequestPipeline::DeclineDetour(HttpServerExchange& exchange) {
  ++metrics_.detours.declined;
  GatewayRequest request;
  request.arrival = BootClock::now();
  request.id = std::string(FindHeader(exchange.request().headers, protocol_.headers().request_id));
  request.detour_origin = detour::Origin{};
  request.origin_address = exchange.remote().address;
  const Refusal declined = DeclinedRefusal();
  co_await Refuse(exchange, request, declined);
}

std::optional<Refusal> RequestPipeline::Admit(const HttpRequest& http, GatewayRequest& request) {
  if (std::optional<Refusal> refusal = admission_.Admit(http, request)) return refusal;
  const bool too_late = request.expires_at > last_answers_at_;
  if (request.detour_origin && (too_late || !MayTakeDetour(request))) {
    ++metrics_.detours.declined;
    return DeclinedRefusal();
  }
  if (too_late) return StoppingRefusal();
  return std::nullopt;
}

/// @param request Shared because the exchange's disconnect callback may outlive this coroutine.
Awaitable<void> RequestPipeline::Process(HttpServerExchange& exchange,
                                         std::shared_ptr<GatewayRequest> request) {
  request->arrival = BootClock::now();
  ++metrics_.requests;
  co_await AwaitStoreRead(*request);
  const std::optional<Refusal> refusal = Admit(exchange.request(), *request);
  if (refusal) {
    co_await Refuse(exchange, *request, *refusal);
    co_return;
  }
  request->body = std::make_shared<const std::string>(exchange.TakeBody());
  request->fingerprint = FingerprintOf(
      {FindHeader(exchange.request().headers, "Host"), exchange.request().target,
       FindHeader(exchange.request().headers, protocol_.headers().model), *request->body,
       request->tenant == nullptr ? std::string_view() : std::string_view(request->tenant->name)});
  request->part_fingerprints = SharedPartFingerprints(request->service, request->parts);
  if (quarantine_filter_.IsQuarantined(*request)) {
    ++metrics_.quarantine.refused;
    const Refusal quarantined = QuarantineRefusal();
    co_await Refuse(exchange, *request, quarantined);
    co_return;
  }
  exchange.OnDisconnect([request, this] {
    request->client_left = true;
    if (request->upstream) request->upstream->Cancel(CancelReason::kCallerLeft);
    view_.changed.NotifyAll();
  });
  const ActiveRequestScope active(active_, *request);
  co_await Serve(exchange, *request);
}

}  // namespace moorfold
