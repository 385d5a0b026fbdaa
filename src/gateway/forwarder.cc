#include "gateway/forwarder.h"

#include <algorithm>
#include <array>
#include <boost/asio/this_coro.hpp>
#include <charconv>
#include <cmath>

#include "common/boot_clock.h"
#include "gateway/event_splitter.h"
#include "http/header_rules.h"
#include "http/http_status.h"
#include "tenants/presented_key.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{300};
/// A server may close an idle connection at any time, which leaves open whether a request sent on
/// it has run. A request that must not run twice therefore uses only recently used connections.
constexpr milliseconds kMaxIdleAtMostOnce{700};
constexpr milliseconds kMaxIdleStream{4'000};
constexpr milliseconds kMaxIdle{9'000};
constexpr milliseconds kMinIdleLimit{100};
constexpr milliseconds kModelMissingTime{1'500};
constexpr int kMaxForeignResponses = 3;
/// Bytes of a body that are held before it is passed on: a shorter one is passed on whole or not at
/// all, and one without a seal must not be longer.
constexpr std::size_t kMaxHeldBodyBytes = 32 * 1024;
constexpr std::size_t kMaxEventBytes = 64 * 1024;
/// How long a stream's first event waits for the store to take the stream's software version.
constexpr milliseconds kRecordTimeout{1'500};
/// Bounds on the rest of a response that is not passed on: a new connection costs less.
constexpr std::size_t kMaxDiscardedBytes = 16 * 1024;
constexpr milliseconds kMaxDiscardTime{100};

milliseconds Remaining(SteadyTime end) {
  return std::chrono::duration_cast<milliseconds>(end - BootClock::now());
}

double ElapsedMs(SteadyTime since) {
  return std::chrono::duration<double, std::milli>(BootClock::now() - since).count();
}

/// @return how long the server keeps an idle connection open, less a margin for network latency.
milliseconds KeepAliveTime(const HttpHeaders& headers) {
  const std::string_view keep_alive = FindHeader(headers, "Keep-Alive");
  const std::size_t at = keep_alive.find("timeout=");
  if (at == std::string_view::npos) return kMaxIdle;
  constexpr std::size_t kNameLength = 8;
  constexpr milliseconds kMargin{300};
  const std::string_view digits = keep_alive.substr(at + kNameLength);
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::min(kMaxIdle,
                  std::max(milliseconds(0), milliseconds(std::chrono::seconds(seconds)) - kMargin));
}

/// Parses "running,waiting,slots"; missing numbers are 0.
std::array<std::uint32_t, 3> ParseLoad(std::string_view text) {
  std::array<std::uint32_t, 3> load{};
  for (std::uint32_t& number : load) {
    std::from_chars(text.data(), text.data() + text.size(), number);
    const std::size_t comma = text.find(',');
    if (comma == std::string_view::npos) break;
    text.remove_prefix(comma + 1);
  }
  return load;
}

/// @return the number of servers on which a request may have run that was lost at another daemon.
std::uint32_t MostRunsAtDaemon(const GatewayRequest& request) {
  return std::max(1U, request.route->attempts);
}

bool IsSystemOnly(std::string_view name, const HeaderNames& names) {
  return std::any_of(
      names.system_only.begin(), names.system_only.end(),
      [&](const std::string& system_header) { return EqualHeaderNames(name, system_header); });
}

}  // namespace

/// Publishes the attempt's connection in the request, so that it can be cancelled, and cancels it
/// when the attempt's time is over. A response whose head the client has may take as long as the
/// request.
class Forwarder::AttemptGuard {
 public:
  AttemptGuard(GatewayRequest& request, Server& server, UpstreamConnectionPtr upstream,
               const boost::asio::any_io_executor& executor, SteadyTime end)
      : state_(std::make_shared<State>(executor, request, upstream)), server_(server) {
    request.upstream = std::move(upstream);
    server_.BeginRequest();
    Arm(state_, end);
  }
  ~AttemptGuard() {
    state_->request->upstream.reset();
    state_->request = nullptr;
    state_->timer.cancel();
    server_.EndRequest();
  }
  AttemptGuard(const AttemptGuard&) = delete;
  AttemptGuard& operator=(const AttemptGuard&) = delete;

 private:
  /// Outlives the guard while the timer's handler is queued.
  struct State {
    State(const boost::asio::any_io_executor& executor, GatewayRequest& attempted,
          UpstreamConnectionPtr used)
        : timer(executor), request(&attempted), upstream(std::move(used)) {}
    BootTimer timer;
    GatewayRequest* request;  ///< Null: the attempt has ended.
    UpstreamConnectionPtr upstream;
  };

  static void Arm(const std::shared_ptr<State>& state, SteadyTime end) {
    state->timer.expires_at(end);
    state->timer.async_wait([state](const boost::system::error_code& error) {
      if (error || state->request == nullptr) return;
      if (state->request->head_sent && BootClock::now() < state->request->expires_at)
        Arm(state, state->request->expires_at);
      else
        state->upstream->Cancel(CancelReason::kTimeLimit);
    });
  }

  std::shared_ptr<State> state_;
  Server& server_;
};

Forwarder::Forwarder(boost::asio::io_context& context, const FleetProtocol& protocol,
                     ServerStatements& statements, ContactMonitor& contact,
                     OverloadMonitor& overload, streams::StreamOrigins& origins,
                     GatewayMetrics& metrics, std::size_t socket_buffer_bytes)
    : context_(context),
      protocol_(protocol),
      statements_(statements),
      contact_(contact),
      overload_(overload),
      origins_(origins),
      metrics_(metrics),
      socket_buffer_bytes_(socket_buffer_bytes) {}

void Forwarder::RecordHeadSent(GatewayRequest& request) {
  request.head_sent = true;
  request.head_at = BootClock::now();
  metrics_.time_to_response_head.Observe(ElapsedMs(request.arrival));
}

Awaitable<bool> Forwarder::RecordStreamOrigin(GatewayRequest& request) {
  // What comes through another daemon was recorded by that daemon.
  if (!request.BeginsResumableStream() || request.detour_target) co_return true;
  // Later attempts stay at this version even if it cannot be recorded now: a write without an
  // answer may take effect later.
  request.stream_version = request.attempt_version;
  streams::StreamOrigin origin{request.service, request.attempt_version};
  const bool may_omit = request.route->services.size() == 1 && !request.MayHaveBegunElsewhere();
  const SteadyTime until = std::min(request.expires_at, BootClock::now() + kRecordTimeout);
  co_return co_await origins_.Record(request.id, std::move(origin), may_omit, until);
}

void Forwarder::RecordEventGap(GatewayRequest& request, SteadyTime last_events) {
  const double gap_ms = ElapsedMs(last_events);
  metrics_.event_gap.Observe(gap_ms);
  request.longest_gap = std::max(request.longest_gap, milliseconds(std::llround(gap_ms)));
}

milliseconds Forwarder::MaxIdleTime(const GatewayRequest& request) {
  if (request.Repeatable()) return kMaxIdle;
  return request.route->type == RouteType::kStream ? kMaxIdleStream : kMaxIdleAtMostOnce;
}

/// Halves the idle limit after a reused connection ends without a response: the server most likely
/// dropped it while it was idle.
void Forwarder::ShortenIdleLimit(const UpstreamConnection& upstream) {
  if (upstream.cancelled() != CancelReason::kNone || upstream.rested() == milliseconds(0)) return;
  idle_limit_ = std::max(kMinIdleLimit, std::min(idle_limit_, upstream.rested() / 2));
}

Awaitable<UpstreamConnectionPtr> Forwarder::Connect(const GatewayRequest& request, Server& server) {
  const milliseconds max_idle = std::min(idle_limit_, MaxIdleTime(request));
  if (UpstreamConnectionPtr idle = pool_.Take(server.connection_key(), request.id, max_idle))
    co_return idle;
  auto fresh = std::make_shared<UpstreamConnection>(context_, server.record().endpoint,
                                                    socket_buffer_bytes_);
  ++connections_opened_;
  const SteadyTime began = BootClock::now();
  const SteadyTime deadline = std::min(request.expires_at, began + kConnectTimeout);
  try {
    co_await fresh->Connect(deadline);
  } catch (const HttpError& error) {
    // Connections that do not come up say nothing about this daemon's link where no server
    // responds.
    if (!error.peer_ended() && contact_.RespondedSince(began))
      overload_.ConnectTimed(BootClock::now() - began);
    throw;
  }
  overload_.ConnectTimed(server.ConnectTimeBeyondLeast(BootClock::now() - began));
  co_return fresh;
}

HttpRequest Forwarder::CopyHead(const HttpRequest& original, const GatewayRequest& request) const {
  const HeaderNames& names = protocol_.headers();
  HttpRequest head{original.method, original.target, {}, ""};
  const HopByHopHeaders hop_by_hop(original.headers);
  for (const HttpHeader& header : original.headers) {
    const bool replaced = EqualHeaderNames(header.name, names.deadline) ||
                          IsSystemOnly(header.name, names) ||
                          EqualHeaderNames(header.name, detour::kOriginHeader);
    const bool resumed =
        !request.last_event_id.empty() && EqualHeaderNames(header.name, names.last_event);
    if (!replaced && !resumed && !hop_by_hop.Contains(header.name)) head.headers.push_back(header);
  }
  if (!request.last_event_id.empty())
    head.headers.push_back({names.last_event, request.last_event_id});
  return head;
}

HttpRequest Forwarder::MakeDetourHead(const HttpRequest& original, const GatewayRequest& request,
                                      SteadyTime attempt_deadline) const {
  HttpRequest head = CopyHead(original, request);
  const milliseconds remaining = std::max(milliseconds(1), Remaining(attempt_deadline));
  head.headers.push_back({protocol_.headers().deadline, std::to_string(remaining.count())});
  const detour::Origin origin{request.detour_target->token, request.table->configuration().version,
                              request.first_attempt_counted, request.arrived, request.may_have_run};
  head.headers.push_back({std::string(detour::kOriginHeader), detour::Format(origin)});
  const bool resumes_own_stream = !request.last_event_id.empty() &&
                                  request.client_last_event.empty() && request.resumes.empty();
  if (resumes_own_stream) head.headers.push_back({protocol_.headers().resumes, request.id});
  return head;
}

HttpRequest Forwarder::MakeRequestHead(const HttpRequest& original, const GatewayRequest& request,
                                       const Server& server, SteadyTime attempt_deadline) const {
  const HeaderNames& names = protocol_.headers();
  HttpRequest head = CopyHead(original, request);
  if (request.strip_credentials)
    std::erase_if(head.headers, [](const HttpHeader& header) {
      return EqualHeaderNames(header.name, kAuthorizationHeader);
    });
  const milliseconds remaining = std::max(milliseconds(1), Remaining(attempt_deadline));
  head.headers.push_back({names.deadline, std::to_string(remaining.count())});
  head.headers.push_back({names.expected_server, server.record().id});
  if (!request.model.model.empty())
    head.headers.push_back({names.priority, std::to_string(request.priority)});
  if (request.tenant != nullptr) head.headers.push_back({names.tenant, request.tenant->name});
  return head;
}

void Forwarder::NoteLoad(const HttpHeaders& headers, Server& server) const {
  const std::string_view text = FindHeader(headers, protocol_.headers().server_load);
  if (text.empty()) return;
  const std::array<std::uint32_t, 3> load = ParseLoad(text);
  server.NoteLoad(load[0], load[1], BootClock::now());
}

bool Forwarder::IsFromOtherServer(const HttpHeaders& headers, unsigned status,
                                  const Server& server) const {
  if (status != kMisdirectedStatus) return false;
  const std::string_view instance = FindHeader(headers, protocol_.headers().server_instance);
  return !instance.empty() && instance != server.record().id;
}

void Forwarder::RecordStatement(const ServerResponse& answer, Server& server) const {
  if (!IsFromOtherServer(answer.headers, answer.status, server)) statements_.Record(server, answer);
}

/// Changes the server's state only if the server states the cause itself: that it is full, or no
/// longer holds the model. A request that a server with free capacity refuses may be at fault
/// itself; if the model were marked as missing there, the requests of one client could take models
/// out of service for everyone. This rule, together with the removal of system headers from client
/// requests, raised the share of owed service that callers received by 0.067 (error 0.009, 12
/// paired days of one deployment, with tenant limits enforced).
AttemptResult Forwarder::HandleRefusal(const HttpHeaders& headers, unsigned status,
                                       const GatewayRequest& request, Server& server) const {
  const auto now = BootClock::now();
  AttemptResult result{AttemptOutcome::kNotRun, status, "the server did not run the request"};
  if (status != kMisdirectedStatus) {
    const std::array<std::uint32_t, 3> load =
        ParseLoad(FindHeader(headers, protocol_.headers().server_load));
    // A server that sends Retry-After describes its own state, not the request.
    const bool full = request.model.model.empty() || server.RejectsRequests(now) ||
                      load[0] + load[1] >= server.record().slots;
    result.problem =
        full ? "the server is full" : "the server has free capacity but refuses this request";
    result.refused_with_capacity = !full;
    if (full) server.MarkFull(now);
    return result;
  }
  if (IsFromOtherServer(headers, status, server)) {
    server.MarkGone();
    result.problem = "another server now has the address";
  } else {
    server.RecordModelMissing(request.model, now, kModelMissingTime);
    result.problem = "the server does not hold the model";
  }
  return result;
}

ResponseIdentity Forwarder::IdentityOf(const HttpHeaders& headers,
                                       const GatewayRequest& request) const {
  const std::string_view id = FindHeader(headers, protocol_.headers().request_id);
  if (id == request.id) return ResponseIdentity::kOwn;
  return id.empty() ? ResponseIdentity::kAbsent : ResponseIdentity::kOther;
}

Awaitable<void> Forwarder::ReadMatchingHead(UpstreamConnection& upstream, GatewayRequest& request) {
  for (int foreign_responses = 0; foreign_responses < kMaxForeignResponses; ++foreign_responses) {
    co_await upstream.ReadHead();
    const HttpHeaders headers = upstream.headers();
    const ResponseIdentity identity = IdentityOf(headers, request);
    request.last_response = identity;
    const bool informational = upstream.status() < http_status::kOk;
    // Reading on would not show whether it is a surplus response or the only one.
    const bool failure_without_id =
        identity == ResponseIdentity::kAbsent && upstream.status() >= http_status::kBadRequest;
    if (!informational && (identity == ResponseIdentity::kOwn || failure_without_id)) co_return;
    if (!co_await DiscardBody(upstream)) break;  // A surplus response to an earlier request.
  }
  throw HttpError(HttpStage::kAwaitingAnswer, false, "received only responses to other requests");
}

Awaitable<bool> Forwarder::DiscardBody(UpstreamConnection& upstream) {
  return upstream.Discard(kMaxDiscardedBytes, kMaxDiscardTime);
}

void Forwarder::ReturnConnection(const GatewayRequest& request, const Server& server) {
  if (!request.upstream->Reusable()) return;
  const milliseconds keep = KeepAliveTime(request.upstream->headers());
  pool_.Give(server.connection_key(), request.upstream, keep);
}

Awaitable<AttemptResult> Forwarder::RelayResponse(HttpServerExchange& exchange,
                                                  GatewayRequest& request, HttpHeaders headers) {
  HttpResponse response;
  response.status = request.upstream->status();
  response.body = co_await request.upstream->ReadUpTo(kMaxHeldBodyBytes);
  const unsigned status = response.status;
  if (!request.upstream->Complete()) {
    if (FindHeader(headers, protocol_.headers().seal).empty())
      co_return AttemptResult{AttemptOutcome::kMayHaveRun, 0,
                              "a response without a seal does not end"};
    co_return co_await RelayLongBody(exchange, request, std::move(headers),
                                     std::move(response.body));
  }
  response.headers = EndToEndHeaders(headers);
  if (request.client_left) co_return AttemptResult{AttemptOutcome::kClientLeft, status, ""};
  RecordHeadSent(request);
  co_await exchange.Respond(std::move(response));
  co_return AttemptResult{AttemptOutcome::kAnswered, status, ""};
}

Awaitable<AttemptResult> Forwarder::RelayLongBody(HttpServerExchange& exchange,
                                                  GatewayRequest& request, HttpHeaders headers,
                                                  std::string first) {
  const unsigned status = request.upstream->status();
  if (request.client_left) co_return AttemptResult{AttemptOutcome::kClientLeft, status, ""};
  RecordHeadSent(request);
  co_await exchange.BeginStream(status, EndToEndHeaders(headers));
  for (std::string bytes = std::move(first); !bytes.empty();
       bytes = co_await request.upstream->ReadSome()) {
    co_await exchange.Write(std::move(bytes));
    if (request.upstream->cancelled() != CancelReason::kTimeLimit) continue;
    AttemptResult result{AttemptOutcome::kBrokenOff, status, "the client reads too slowly"};
    result.server_fault = false;
    co_return result;
  }
  co_await exchange.EndStream();
  co_return AttemptResult{AttemptOutcome::kAnswered, status, ""};
}

Awaitable<AttemptResult> Forwarder::RelayStream(HttpServerExchange& exchange,
                                                GatewayRequest& request, const Server& server,
                                                HttpHeaders headers) {
  const unsigned status = request.upstream->status();
  EventSplitter splitter;
  SteadyTime last_events = BootClock::now();
  bool ended = false;
  try {
    while (!ended) {
      const std::string bytes = co_await request.upstream->ReadSome();
      ended = bytes.empty();
      std::string events = splitter.Take(bytes);
      if (ended && !splitter.pending().empty())
        throw HttpError(HttpStage::kReadingAnswer, false, "the stream ended inside an event");
      if (splitter.pending().size() > kMaxEventBytes)
        throw HttpError(HttpStage::kReadingAnswer, false, "an event of the stream does not end");
      if (events.empty()) continue;
      if (request.head_sent) RecordEventGap(request, last_events);
      last_events = BootClock::now();
      if (!request.head_sent) {
        if (!co_await RecordStreamOrigin(request)) {
          AttemptResult result{AttemptOutcome::kMayHaveRun, 0,
                               "the store does not take the stream's software version"};
          result.server_fault = false;
          co_return result;
        }
        if (request.client_left) co_return AttemptResult{AttemptOutcome::kClientLeft, status, ""};
        RecordHeadSent(request);
        co_await exchange.BeginStream(status, EndToEndHeaders(headers));
      }
      co_await exchange.Write(std::move(events));
      if (!splitter.last_id().empty()) request.last_event_id = splitter.last_id();
    }
  } catch (const HttpError& error) {
    if (request.client_left) co_return AttemptResult{AttemptOutcome::kClientLeft, status, ""};
    RecordUnreachable(request, server);
    const AttemptOutcome end =
        request.head_sent ? AttemptOutcome::kBrokenOff : AttemptOutcome::kMayHaveRun;
    co_return AttemptResult{end, status, error.what(), error.peer_ended()};
  }
  if (!request.head_sent) {
    RecordHeadSent(request);
    co_await exchange.BeginStream(status, EndToEndHeaders(headers));
  }
  co_await exchange.EndStream();
  co_return AttemptResult{AttemptOutcome::kAnswered, status, ""};
}

void Forwarder::RecordUnreachable(const GatewayRequest& request, const Server& server) {
  if (!request.detour_target) contact_.RecordFailure(server.record().id);
}

/// The other daemon has validated the server's response, so it is relayed as it is.
Awaitable<AttemptResult> Forwarder::ExchangeThroughDaemon(HttpServerExchange& exchange,
                                                          GatewayRequest& request,
                                                          const Server& daemon) {
  co_await ReadMatchingHead(*request.upstream, request);
  HttpHeaders headers = request.upstream->headers();
  const unsigned status = request.upstream->status();
  const bool sealed = !FindHeader(headers, protocol_.headers().seal).empty();
  if (IdentityOf(headers, request) != ResponseIdentity::kOwn ||
      (sealed && PromisesNotRun(status))) {
    AttemptResult unproven{AttemptOutcome::kMayHaveRun, status,
                           "the response does not prove that the request did not run"};
    unproven.runs = MostRunsAtDaemon(request);
    co_return unproven;
  }
  if (!sealed) co_return co_await ReadDaemonRefusal(request, daemon);
  const std::uint32_t runs = detour::ParseResult(FindHeader(headers, detour::kResultHeader))
                                 .value_or(detour::Result{})
                                 .may_have_run;
  std::erase_if(headers, [](const HttpHeader& header) {
    return EqualHeaderNames(header.name, detour::kResultHeader);
  });
  const bool success = status >= http_status::kOk && status < http_status::kFirstRedirection;
  AttemptResult result;
  if (success && request.route->type == RouteType::kStream)
    result = co_await RelayStream(exchange, request, daemon, std::move(headers));
  else
    result = co_await RelayResponse(exchange, request, std::move(headers));
  result.runs = std::max(1U, runs);
  if (result.attempt_outcome == AttemptOutcome::kAnswered) ReturnConnection(request, daemon);
  co_return result;
}

Awaitable<AttemptResult> Forwarder::ReadDaemonRefusal(GatewayRequest& request,
                                                      const Server& daemon) {
  const unsigned status = request.upstream->status();
  const HttpHeaders headers = request.upstream->headers();
  request.upstream->RecordRefused(request.id);
  if (co_await DiscardBody(*request.upstream)) ReturnConnection(request, daemon);
  const auto stated = detour::ParseResult(FindHeader(headers, detour::kResultHeader));
  if (FindHeader(headers, protocol_.headers().not_run).empty() || !stated) {
    AttemptResult result{AttemptOutcome::kMayHaveRun, status, "the request failed at the daemon"};
    result.runs = stated ? stated->may_have_run : MostRunsAtDaemon(request);
    co_return result;
  }
  if (!stated->declined) {
    double retry_after_s = 0;
    const std::string_view text = FindHeader(headers, "Retry-After");
    std::from_chars(text.data(), text.data() + text.size(), retry_after_s);
    request.refusal = Refusal{status, EndReason::kRefusedByDaemon,
                              "come back after the stated time", false, retry_after_s};
  }
  co_return AttemptResult{
      AttemptOutcome::kNotRun, status,
      stated->declined ? "the daemon declined the request" : "the daemon refused the request"};
}

Awaitable<AttemptResult> Forwarder::Exchange(HttpServerExchange& exchange, GatewayRequest& request,
                                             Server& server, SteadyTime sent_at,
                                             bool last_attempt) {
  if (request.detour_target) co_return co_await ExchangeThroughDaemon(exchange, request, server);
  co_await ReadMatchingHead(*request.upstream, request);
  contact_.RecordResponse();
  server.RecordResponse(BootClock::now());
  const unsigned status = request.upstream->status();
  HttpHeaders headers = request.upstream->headers();
  if (IdentityOf(headers, request) != ResponseIdentity::kOwn) {
    server.RecordErrorResponse();
    if (IsFromOtherServer(headers, status, server)) server.MarkGone();
    co_return AttemptResult{AttemptOutcome::kMayHaveRun, status,
                            "the response does not name the request"};
  }
  const HeaderNames& names = protocol_.headers();
  const bool sealed = !FindHeader(headers, names.seal).empty();
  NoteLoad(headers, server);
  RecordStatement({status, headers, sent_at, sealed}, server);
  const bool refused = PromisesNotRun(status);
  const bool not_run = !FindHeader(headers, names.not_run).empty();
  if (status == kMisdirectedStatus || (refused && not_run)) {
    request.upstream->RecordRefused(request.id);
    if (co_await DiscardBody(*request.upstream)) ReturnConnection(request, server);
    co_return HandleRefusal(headers, status, request, server);
  }
  const bool success = status >= http_status::kOk && status < http_status::kFirstRedirection;
  if (success && (!sealed || !FindHeader(headers, "Content-Encoding").empty()))
    co_return AttemptResult{AttemptOutcome::kMayHaveRun, status,
                            "the response lacks its seal or has a content encoding"};
  const bool failed = status >= http_status::kFirstServerError;
  if (failed || refused) server.RecordErrorResponse();
  // A refusal without the "not run" header must not be relayed as a refusal, because the client
  // would take it as a guarantee that the request did not run.
  const bool unusable = refused || (failed && !last_attempt) || (!success && request.head_sent);
  if (unusable)
    co_return AttemptResult{AttemptOutcome::kMayHaveRun, status, "the server returned an error"};
  if (success) server.RecordPrompt(request.model, request.parts);
  if (request.detour_origin)
    headers.push_back({std::string(detour::kResultHeader),
                       detour::Format(detour::Result{false, request.MayHaveRunHere() + 1})});
  AttemptResult result;
  if (success && request.route->type == RouteType::kStream)
    result = co_await RelayStream(exchange, request, server, std::move(headers));
  else
    result = co_await RelayResponse(exchange, request, std::move(headers));
  if (result.attempt_outcome == AttemptOutcome::kAnswered) ReturnConnection(request, server);
  co_return result;
}

Awaitable<AttemptResult> Forwarder::Forward(HttpServerExchange& exchange, GatewayRequest& request,
                                            ServerPtr server, SteadyTime attempt_deadline,
                                            bool last_attempt) {
  AttemptResult result;
  AttemptTrace trace;
  UpstreamConnectionPtr upstream;
  const SteadyTime began = BootClock::now();
  try {
    upstream = co_await Connect(request, *server);
  } catch (const HttpError& error) {
    if (!error.peer_ended() && contact_.IsOwnDelay(began))
      co_return AttemptResult{AttemptOutcome::kNotRun, 0,
                              "no connection in time while this daemon is overloaded"};
    server->MarkUnreachable(BootClock::now());
    RecordUnreachable(request, *server);
    co_return AttemptResult{AttemptOutcome::kNotRun, 0, error.what(), error.peer_ended()};
  }
  if (request.client_left) {
    if (upstream->Reusable()) pool_.Give(server->connection_key(), upstream, kMaxIdle);
    co_return AttemptResult{AttemptOutcome::kClientLeft, 0, ""};
  }
  if (server->RejectsRequests(BootClock::now())) {
    if (upstream->Reusable()) pool_.Give(server->connection_key(), upstream, kMaxIdle);
    co_return AttemptResult{AttemptOutcome::kNotRun, 0,
                            "the server is leaving or has asked for a pause"};
  }
  // The machine may have been suspended since the retry was counted.
  const auto retry_valid_until = std::exchange(request.retry_valid_until, std::nullopt);
  if (retry_valid_until && BootClock::now() > *retry_valid_until) {
    if (upstream->Reusable()) pool_.Give(server->connection_key(), upstream, kMaxIdle);
    co_return AttemptResult{AttemptOutcome::kNotRun, 0, "the retry was not sent in time"};
  }
  request.attempt_version = server->record().software_version;
  // The entry may have changed since the server was chosen.
  if (request.stream_version && !request.detour_target &&
      request.attempt_version != *request.stream_version) {
    if (upstream->Reusable()) pool_.Give(server->connection_key(), upstream, kMaxIdle);
    co_return AttemptResult{AttemptOutcome::kNotRun, 0,
                            "the server's software version is not the stream's any more"};
  }
  const AttemptGuard guard(request, *server, upstream, co_await boost::asio::this_coro::executor,
                           attempt_deadline);
  bool own_delay = false;
  request.last_response = ResponseIdentity::kNoResponse;
  try {
    const SteadyTime sent_at = BootClock::now();
    upstream->BeginSend(
        request.detour_target
            ? MakeDetourHead(exchange.request(), request, attempt_deadline)
            : MakeRequestHead(exchange.request(), request, *server, attempt_deadline),
        request.body);
    trace = {upstream->number(), upstream->carried()};
    result = co_await Exchange(exchange, request, *server, sent_at, last_attempt);
  } catch (const HttpError& error) {
    result = {AttemptOutcome::kMayHaveRun, 0, error.what(), error.peer_ended()};
    if (request.detour_target) result.runs = MostRunsAtDaemon(request);
    own_delay = upstream->cancelled() == CancelReason::kTimeLimit && contact_.IsOwnDelay(began);
    if (upstream->cancelled() != CancelReason::kCallerLeft && !own_delay)
      RecordUnreachable(request, *server);
    ShortenIdleLimit(*upstream);
  }
  trace.response = request.last_response;
  result.trace = trace;
  if (upstream->cancelled() == CancelReason::kCallerLeft || request.client_left)
    result.attempt_outcome = result.attempt_outcome == AttemptOutcome::kAnswered
                                 ? result.attempt_outcome
                                 : AttemptOutcome::kClientLeft;
  const bool unanswered = result.attempt_outcome == AttemptOutcome::kMayHaveRun ||
                          result.attempt_outcome == AttemptOutcome::kBrokenOff;
  if (unanswered && result.status < http_status::kBadRequest && !own_delay && result.server_fault)
    server->RecordFailure(BootClock::now());
  else if (result.attempt_outcome == AttemptOutcome::kAnswered &&
           result.status < http_status::kFirstServerError)
    server->RecordSuccess();
  co_return result;
}

}  // namespace moorfold
