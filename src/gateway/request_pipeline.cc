#include "gateway/request_pipeline.h"

#include <algorithm>

#include "common/boot_clock.h"
#include "gateway/refusals.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kMostSends = 4;
/// How long a request that a server refused, though it had places, is not sent there again: an
/// order on its model may be under way.
constexpr milliseconds kRefusalLife{400};
/// Servers that refuse one request while they serve others: one may be in the middle of an order,
/// two at once hardly.
constexpr std::size_t kRefusalsBelieved = 2;
constexpr milliseconds kRetryPause{40};
/// Of a route's target: how long a request may wait for its tenant's credit. Afterwards little of
/// the target would be left for a server.
constexpr double kTargetShareForCredit = 0.5;
/// Of the tighter bound: how long a request waits for a read of the store when what is known is too
/// old. Longer than a read and its repeat take (0.125 of the bound, and the way).
constexpr double kBoundShareForRead = 0.15;
/// Below the fleet's ratio, so that the edges of sliding windows stay inside it.
constexpr double kRatioUsed = 0.8;

}  // namespace

/// Lists a request among those that are being answered.
class RequestPipeline::ActiveMark {
 public:
  ActiveMark(std::set<GatewayRequest*>& active, GatewayRequest& request)
      : active_(active), request_(&request) {
    active_.insert(request_);
  }
  ~ActiveMark() { active_.erase(request_); }
  ActiveMark(const ActiveMark&) = delete;
  ActiveMark& operator=(const ActiveMark&) = delete;

 private:
  std::set<GatewayRequest*>& active_;
  GatewayRequest* request_;
};

RequestPipeline::RequestPipeline(boost::asio::io_context& context, const FleetProtocol& protocol,
                                 FleetView& view, QuarantineService& quarantine,
                                 QuotaService& quota, ServerStatements& statements,
                                 PermitService& permits, GatewayMetrics& metrics, EventLog& log,
                                 PipelineSettings settings)
    : protocol_(protocol),
      view_(view),
      quarantine_(quarantine),
      quota_(quota),
      permits_(permits),
      metrics_(metrics),
      admission_(protocol, view),
      holds_(view),
      suspects_(view, quarantine),
      settings_(std::move(settings)),
      forwarder_(context, protocol, statements, metrics),
      reporter_(view, metrics, log) {}

void RequestPipeline::RefuseWaiting() {
  refuse_waiting_ = true;
  view_.changed.NotifyAll();
}

void RequestPipeline::NoteCut() {
  for (const GatewayRequest* request : active_) {
    RequestEnd end;
    end.outcome = request->head_sent ? RequestOutcome::kBrokenOff : RequestOutcome::kFailed;
    end.reason = EndReason::kDaemonStopped;
    reporter_.NoteEnd(*request, end);
  }
}

void RequestPipeline::ListOpen() { reporter_.ListOpen(active_, BootClock::now()); }

void RequestPipeline::DescribeLoad() {
  const auto now = BootClock::now();
  metrics_.requests_open = static_cast<std::int64_t>(active_.size());
  metrics_.requests_waiting = view_.demand.Waiting();
  metrics_.requests_at_servers = view_.demand.InFlight();
  metrics_.repeats_left.clear();
  for (auto& [service, allowance] : allowances_)
    metrics_.repeats_left.push_back({service, allowance.Left(now)});
}

void RequestPipeline::AnswerAll() {
  const auto now = BootClock::now();
  for (GatewayRequest* request : active_) {
    request->end = std::min(request->end, now);
    if (request->upstream && !request->head_sent)
      request->upstream->Cancel(CancelReason::kTimeLimit);
  }
  view_.changed.NotifyAll();
}

RetryAllowance& RequestPipeline::AllowanceOf(const std::string& service) {
  return allowances_
      .try_emplace(service, settings_.retry_window, settings_.retry_ratio * kRatioUsed,
                   free_repeats_)
      .first->second;
}

void RequestPipeline::SetFreeRepeats(double free_repeats) {
  free_repeats_ = free_repeats;
  for (auto& [service, allowance] : allowances_) allowance.set_free_repeats(free_repeats);
}

/// Waits until one more repeat may be sent; one that has not run may be held as long as one that
/// has no server. @return whether it may.
Awaitable<bool> RequestPipeline::AwaitAllowance(GatewayRequest& request,
                                                RetryAllowance& allowance) {
  while (!allowance.TryRepeat(BootClock::now())) {
    const bool held = request.may_have_run == 0 && !refuse_waiting_ && !request.client_left &&
                      BootClock::now() < holds_.End(request, NoServerReason::kAllUnusable);
    if (!held) {
      ++metrics_.repeats_denied;
      co_return false;
    }
    co_await view_.changed.Wait(BootClock::now() + kRetryPause);
  }
  ++metrics_.repeats;
  co_return true;
}

void RequestPipeline::NoteRefusedAlone(GatewayRequest& request, const std::string& server_id) {
  std::erase_if(request.refusals,
                [&](const ServerRefusal& refusal) { return refusal.server_id == server_id; });
  request.refusals.push_back({server_id, BootClock::now() + kRefusalLife});
  if (request.refusals.size() < kRefusalsBelieved) return;
  request.refusal = Refusal{http_status::kUnavailable, EndReason::kRefusedByServers,
                            "servers with free places refuse this request; change it", false, 0};
}

ServerPtr RequestPipeline::ChooseOnce(GatewayRequest& request, NoServerReason& reason) const {
  ChoiceRequest wanted{request.service, request.model, request.parts, settings_.zone,
                       request.failed_servers};
  wanted.chooser = settings_.name;
  for (const ServerRefusal& refusal : request.refusals)
    if (BootClock::now() < refusal.until) wanted.excluded.push_back(refusal.server_id);
  if (quarantine_.book().Known(request.fingerprint) && !suspects_.Limit(request, wanted)) {
    reason = NoServerReason::kAllUnusable;
    return nullptr;
  }
  const auto now = BootClock::now();
  Choice choice = ChooseServer(view_.servers, wanted, now);
  reason = choice.reason;
  request.expected_ms = choice.cost_ms;
  request.free_at = choice.free_at;
  request.alternative = choice.alternative;
  return choice.server;
}

Awaitable<void> RequestPipeline::AwaitRead(const GatewayRequest& request) {
  const SteadyTime began = BootClock::now();
  if (!view_.AwaitsRead(began)) co_return;
  ++metrics_.waits_for_read;
  const auto longest = std::chrono::duration_cast<milliseconds>(
      std::min(view_.configuration_bound, view_.staleness_bound) * kBoundShareForRead);
  const SteadyTime until = began + longest;
  while (view_.AwaitsRead(BootClock::now()) && BootClock::now() < until && !request.client_left)
    co_await view_.refreshed.Wait(until);
  // The store is silent. Others do not wait for it as well, until it has answered once more.
  if (view_.AwaitsRead(BootClock::now()) && !request.client_left) view_.store_answers = false;
}

Awaitable<ServerPtr> RequestPipeline::AwaitServer(GatewayRequest& request) {
  NoServerReason reason = NoServerReason::kNone;
  if (ServerPtr server = ChooseOnce(request, reason)) co_return server;
  const DemandMark waiting(view_.demand, request.service, request.model,
                           &DemandBook::Count::waiting);
  const auto began = BootClock::now();
  ++metrics_.waits_for_server;
  view_.demand_raised.NotifyAll();
  request.no_server = reason;
  // What is expected may change meanwhile.
  while (!request.client_left && !refuse_waiting_ &&
         BootClock::now() < holds_.End(request, reason)) {
    const SteadyTime look_again = BootClock::now() + kRetryPause;
    co_await view_.changed.Wait(std::min(holds_.End(request, reason), look_again));
    request.failed_servers.clear();
    ServerPtr server = ChooseOnce(request, reason);
    request.no_server = reason;
    request.waited = std::chrono::duration_cast<milliseconds>(BootClock::now() - began);
    if (!server) continue;
    metrics_.wait_for_server.Observe(static_cast<double>(request.waited.count()));
    co_return server;
  }
  co_return nullptr;
}

bool RequestPipeline::MayRunElsewhere(const GatewayRequest& request) const {
  return request.Repeatable() && request.may_have_run + 1 < request.route->attempts;
}

SteadyTime RequestPipeline::AttemptEnd(const GatewayRequest& request) const {
  constexpr int kTargetsPerAttempt = 2;
  constexpr double kShareOfRest = 0.5;
  const bool impatient = request.route->type == RouteType::kRepeatable && MayRunElsewhere(request);
  if (!impatient) return request.end;
  const auto now = BootClock::now();
  const auto half =
      std::chrono::duration_cast<BootClock::duration>((request.end - now) * kShareOfRest);
  return now + std::min<BootClock::duration>(half, request.route->target * kTargetsPerAttempt);
}

RequestPipeline::Next RequestPipeline::Decide(const GatewayRequest& request,
                                              const ForwardResult& result) {
  const bool time_left = BootClock::now() < request.end;
  switch (result.end) {
    case ForwardEnd::kAnswered:
    case ForwardEnd::kClientLeft:
      return Next::kDone;
    case ForwardEnd::kNotRun:
      if (request.head_sent) return Next::kBreakOff;
      if (request.refusal) return Next::kGiveUp;
      return time_left && request.sends < kMostSends ? Next::kTryAgain : Next::kGiveUp;
    case ForwardEnd::kMayHaveRun:
    case ForwardEnd::kBrokenOff:
      if (time_left && request.Repeatable() && request.may_have_run < request.route->attempts)
        return Next::kTryAgain;
      return request.head_sent ? Next::kBreakOff : Next::kGiveUp;
  }
  return Next::kGiveUp;
}

Refusal RequestPipeline::ExplainFailure(const GatewayRequest& request,
                                        const ForwardResult& result) const {
  if (request.may_have_run > 0) {
    const bool late = BootClock::now() >= request.end;
    return {late ? http_status::kGatewayTimeout : http_status::kBadGateway,
            late ? EndReason::kOutOfTime : EndReason::kServerFailed,
            "it may have run; repeat it only if that does no harm", true, 0};
  }
  if (request.refusal) return *request.refusal;
  if (request.no_server == NoServerReason::kQuarantined) return QuarantineRefusal();
  const bool at_limit = request.no_server == NoServerReason::kAtLimit;
  const bool full = result.status != 0 && !at_limit;
  const HeldRequest held =
      holds_.Describe(request, full ? NoServerReason::kAllUnusable : request.no_server);
  const EndReason reason = at_limit ? EndReason::kServersAtLimit
                           : full   ? EndReason::kServersFull
                                    : EndReason::kNoServer;
  const milliseconds come_back = ComeBackAfter(held, BootClock::now(), SpreadOf(request.id));
  return {http_status::kUnavailable, reason, "come back after the stated time", false,
          std::chrono::duration<double>(come_back).count()};
}

Awaitable<void> RequestPipeline::Answer(HttpServerExchange& exchange, const GatewayRequest& request,
                                        const Refusal& refusal) {
  co_await exchange.Respond(ToResponse(refusal, protocol_.headers().request_id, request.id));
}

Awaitable<bool> RequestPipeline::AwaitCredit(GatewayRequest& request) {
  if (request.tenant == nullptr || !request.tenant->limit.Limited()) co_return true;
  if (request.credit && quota_.Alive(request.tenant->name, *request.credit)) co_return true;
  request.credit.reset();
  const auto wanted = std::chrono::duration_cast<BootClock::duration>(request.route->target *
                                                                      kTargetShareForCredit);
  const SteadyTime wait_until = std::min(request.end, request.arrival + wanted);
  // Within one tenant the routes' urgency counts: the tenant's own is the same for all.
  const quota::CreditDemand wish{request.tenant->name, request.units, request.route->priority,
                                 std::max(BootClock::duration{}, wait_until - BootClock::now())};
  const QuotaDecision decision = co_await quota_.Acquire(wish);
  if (decision.quota_status == QuotaStatus::kGranted) {
    request.credit = decision.credit;
    co_return true;
  }
  request.refusal = QuotaRefusal(decision, SpreadOf(request.id));
  co_return false;
}

void RequestPipeline::ReturnCredit(const GatewayRequest& request) {
  if (request.credit) quota_.Refund(request.tenant->name, *request.credit);
}

Awaitable<bool> RequestPipeline::AwaitPermit(const GatewayRequest& request,
                                             const ServerPtr& server) {
  // Where another server can take it, nobody waits for this one's turn.
  const SteadyTime until = holds_.End(request, NoServerReason::kAllUnusable);
  const milliseconds patience = request.alternative
                                    ? milliseconds(0)
                                    : std::chrono::duration_cast<milliseconds>(std::max(
                                          BootClock::duration{}, until - BootClock::now()));
  const bool granted = co_await permits_.Acquire(server, patience);
  // It may have been heard meanwhile that the server leaves, or wants a pause.
  co_return granted && !server->TurnsAway(BootClock::now());
}

Awaitable<ForwardResult> RequestPipeline::Attempt(HttpServerExchange& exchange,
                                                  GatewayRequest& request,
                                                  const ServerPtr& server) {
  const DemandMark flight(view_.demand, request.service, request.model,
                          &DemandBook::Count::in_flight);
  std::optional<QuarantineService::Trial> trial;
  if (quarantine_.book().Known(request.fingerprint))
    trial.emplace(quarantine_, request.fingerprint, server->record().id);
  const bool last = !MayRunElsewhere(request);
  const SteadyTime sent_at = BootClock::now();
  ForwardResult result =
      co_await forwarder_.Forward(exchange, request, server, AttemptEnd(request), last);
  holds_.NoteAnswerTime(request, sent_at);
  suspects_.NoteEvidence(request, *server, result, sent_at);
  co_return result;
}

Awaitable<void> RequestPipeline::Serve(HttpServerExchange& exchange, GatewayRequest& request) {
  ForwardResult result;
  std::string server_id;
  RetryAllowance& allowance = AllowanceOf(request.service);
  std::uint32_t sends_allowed = 1;
  // Whoever is over its limit is told before it waits for a server or counts as demand.
  while (co_await AwaitCredit(request)) {
    if (!request.counted) ++view_.demand.At(request.service, request.model).arrivals;
    request.counted = true;
    if (request.sends >= sends_allowed && !co_await AwaitAllowance(request, allowance)) break;
    sends_allowed = request.sends + 1;
    co_await AwaitRead(request);
    const ServerPtr server = co_await AwaitServer(request);
    if (request.client_left) result.end = ForwardEnd::kClientLeft;
    if (!server || request.client_left) break;
    // The machine may have been suspended while it waited.
    if (BootClock::now() >= request.end) break;
    // The credit that it was let in with may have died while it waited.
    if (!co_await AwaitCredit(request)) break;
    if (!co_await AwaitPermit(request, server)) continue;
    request.refusal = admission_.Recheck(request);
    if (request.refusal) break;
    // Its answer is no longer wanted, or is late already.
    if (request.client_left || BootClock::now() >= request.end) break;
    if (request.sends == 0) allowance.CountFirst(BootClock::now());
    ++request.sends;
    server_id = server->record().id;
    result = co_await Attempt(exchange, request, server);
    // What may have run has used its credit; a repeat needs its own.
    if (result.end != ForwardEnd::kNotRun) request.credit.reset();
    if (result.end == ForwardEnd::kMayHaveRun || result.end == ForwardEnd::kBrokenOff)
      ++request.may_have_run;
    if (result.refused_alone) NoteRefusedAlone(request, server_id);
    const Next next = Decide(request, result);
    if (result.end != ForwardEnd::kAnswered && result.end != ForwardEnd::kClientLeft)
      reporter_.NoteFailedAttempt(request, *server, result);
    if (next != Next::kTryAgain) break;
    request.failed_servers.push_back(server_id);
    if (result.link_ended) co_await quarantine_.AwaitEvidence(server_id, request.fingerprint);
  }
  const bool late = request.head_sent && request.LateAtServer();
  // Copies elsewhere are wanted as much as where answers come late.
  const bool at_limit = !request.head_sent && request.no_server == NoServerReason::kAtLimit;
  if (!request.model.model.empty() && (late || at_limit))
    ++view_.demand.At(request.service, request.model).late;
  ReturnCredit(request);
  co_await Finish(exchange, request, result, server_id);
}

/// Counts, logs and, where the client has no answer yet, answers.
Awaitable<void> RequestPipeline::Finish(HttpServerExchange& exchange, const GatewayRequest& request,
                                        const ForwardResult& result, const std::string& server_id) {
  const bool settled = result.end == ForwardEnd::kAnswered ||
                       result.end == ForwardEnd::kClientLeft || request.head_sent;
  if (settled) {
    reporter_.NoteEnd(request, DescribeEnd(request, result, server_id));
    if (result.end != ForwardEnd::kAnswered) exchange.Abort();
    co_return;
  }
  const Refusal refusal = ExplainFailure(request, result);
  RequestEnd end;
  end.outcome = refusal.may_have_run ? RequestOutcome::kFailed : RequestOutcome::kRefused;
  end.reason = refusal.reason;
  end.status = refusal.status;
  end.problem = result.problem;
  end.server_id = server_id;
  reporter_.NoteEnd(request, end);
  co_await Answer(exchange, request, refusal);
}

Awaitable<void> RequestPipeline::Refuse(HttpServerExchange& exchange, const GatewayRequest& request,
                                        const Refusal& refusal) {
  RequestEnd end;
  end.outcome = RequestOutcome::kRefused;
  end.reason = refusal.reason;
  end.status = refusal.status;
  reporter_.NoteEnd(request, end);
  co_await Answer(exchange, request, refusal);
}

Awaitable<void> RequestPipeline::Handle(HttpServerExchange& exchange) {
  // The exchange's disconnect callback may outlive this coroutine's other locals: shared.
  const auto request = std::make_shared<GatewayRequest>();
  request->arrival = BootClock::now();
  ++metrics_.requests;
  co_await AwaitRead(*request);
  const std::optional<Refusal> refusal = admission_.Resolve(exchange.request(), *request);
  if (refusal) {
    co_await Refuse(exchange, *request, *refusal);
    co_return;
  }
  request->body = std::make_shared<const std::string>(exchange.TakeBody());
  request->fingerprint = FingerprintOf(
      {FindHeader(exchange.request().headers, "Host"), exchange.request().target,
       FindHeader(exchange.request().headers, protocol_.headers().model), *request->body,
       request->tenant == nullptr ? std::string_view() : std::string_view(request->tenant->name)});
  if (suspects_.Quarantined(*request)) {
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
  const ActiveMark active(active_, *request);
  co_await Serve(exchange, *request);
}

}  // namespace moorfold
