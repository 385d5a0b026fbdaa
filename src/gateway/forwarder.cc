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
/// A server may close a connection that rests; a request that must not run twice is not risked on
/// one that has rested long.
constexpr milliseconds kLongestRestAtMostOnce{700};
constexpr milliseconds kLongestRestStream{4'000};
constexpr milliseconds kLongestRest{9'000};
constexpr milliseconds kShortestRestLimit{100};
constexpr milliseconds kModelMissing{1'500};
constexpr int kMostForeignAnswers = 3;

milliseconds Left(SteadyTime end) {
  return std::chrono::duration_cast<milliseconds>(end - BootClock::now());
}

double ElapsedMs(SteadyTime since) {
  return std::chrono::duration<double, std::milli>(BootClock::now() - since).count();
}

/// How long the server keeps a resting connection, less a second for the way there.
milliseconds KeepTime(const HttpHeaders& headers) {
  const std::string_view keep_alive = FindHeader(headers, "Keep-Alive");
  const std::size_t at = keep_alive.find("timeout=");
  if (at == std::string_view::npos) return kLongestRest;
  constexpr std::size_t kNameLength = 8;
  constexpr milliseconds kMargin{300};
  const std::string_view digits = keep_alive.substr(at + kNameLength);
  int seconds = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::min(kLongestRest,
                  std::max(milliseconds(0), milliseconds(std::chrono::seconds(seconds)) - kMargin));
}

/// "running,waiting,slots" as numbers; missing ones are 0.
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

bool IsSystemOnly(std::string_view name, const HeaderNames& names) {
  return std::any_of(names.system_only.begin(), names.system_only.end(),
                     [&](const std::string& own) { return EqualHeaderNames(name, own); });
}

}  // namespace

/// Makes the attempt's connection reachable for those who may end it, and ends it in time.
class Forwarder::AttemptGuard {
 public:
  AttemptGuard(GatewayRequest& request, Server& server, UpstreamConnectionPtr upstream,
               const boost::asio::any_io_executor& executor, SteadyTime end)
      : request_(request), server_(server), timer_(executor, end) {
    request_.upstream = upstream;
    server_.BeginRequest();
    timer_.async_wait([upstream](const boost::system::error_code& error) {
      if (!error) upstream->Cancel(CancelReason::kTimeLimit);
    });
  }
  ~AttemptGuard() {
    timer_.cancel();
    server_.EndRequest();
    request_.upstream.reset();
  }
  AttemptGuard(const AttemptGuard&) = delete;
  AttemptGuard& operator=(const AttemptGuard&) = delete;

 private:
  GatewayRequest& request_;
  Server& server_;
  BootTimer timer_;
};

Forwarder::Forwarder(boost::asio::io_context& context, const FleetProtocol& protocol,
                     ServerStatements& statements, GatewayMetrics& metrics)
    : context_(context), protocol_(protocol), statements_(statements), metrics_(metrics) {}

void Forwarder::NoteHead(GatewayRequest& request) {
  request.head_sent = true;
  request.head_at = BootClock::now();
  metrics_.time_to_head.Observe(ElapsedMs(request.arrival));
}

void Forwarder::NoteGap(GatewayRequest& request, SteadyTime last_events) {
  const double gap_ms = ElapsedMs(last_events);
  metrics_.event_gap.Observe(gap_ms);
  request.longest_gap = std::max(request.longest_gap, milliseconds(std::llround(gap_ms)));
}

milliseconds Forwarder::LongestRest(const GatewayRequest& request) {
  if (request.Repeatable()) return kLongestRest;
  return request.route->type == RouteType::kStream ? kLongestRestStream : kLongestRestAtMostOnce;
}

/// A kept connection that ends without any answer was forgotten by its server: shorter rests then.
void Forwarder::NoteUnanswered(const UpstreamConnection& upstream) {
  if (upstream.cancelled() != CancelReason::kNone || upstream.rested() == milliseconds(0)) return;
  rest_limit_ = std::max(kShortestRestLimit, std::min(rest_limit_, upstream.rested() / 2));
}

Awaitable<UpstreamConnectionPtr> Forwarder::Connect(const GatewayRequest& request,
                                                    const Server& server) {
  const milliseconds rest = std::min(rest_limit_, LongestRest(request));
  if (UpstreamConnectionPtr resting = pool_.Take(server.connection_key(), rest)) co_return resting;
  auto fresh = std::make_shared<UpstreamConnection>(context_, server.record().endpoint);
  ++connections_opened_;
  co_await fresh->Connect(std::min(request.end, BootClock::now() + kConnectTimeout));
  co_return fresh;
}

HttpRequest Forwarder::MakeHead(const HttpRequest& original, const GatewayRequest& request,
                                const Server& server, SteadyTime attempt_end) const {
  const HeaderNames& names = protocol_.headers();
  HttpRequest head{original.method, original.target, {}, ""};
  const HopByHopHeaders hop_by_hop(original.headers);
  for (const HttpHeader& header : original.headers) {
    const bool replaced =
        EqualHeaderNames(header.name, names.deadline) || IsSystemOnly(header.name, names) ||
        (request.keys_in_use && EqualHeaderNames(header.name, kAuthorizationHeader));
    const bool resumed =
        !request.last_event.empty() && EqualHeaderNames(header.name, names.last_event);
    if (!replaced && !resumed && !hop_by_hop.Contains(header.name)) head.headers.push_back(header);
  }
  if (!request.last_event.empty()) head.headers.push_back({names.last_event, request.last_event});
  const milliseconds left = std::max(milliseconds(1), Left(attempt_end));
  head.headers.push_back({names.deadline, std::to_string(left.count())});
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

bool Forwarder::AnswersForOther(const HttpHeaders& headers, unsigned status,
                                const Server& server) const {
  if (status != kMisdirectedStatus) return false;
  const std::string_view instance = FindHeader(headers, protocol_.headers().server_instance);
  return !instance.empty() && instance != server.record().id;
}

void Forwarder::NoteStatement(const ServerAnswer& answer, Server& server) const {
  if (!AnswersForOther(answer.headers, answer.status, server)) statements_.Hear(server, answer);
}

/// What one request is refused for is not believed of the server, unless the server says it of
/// itself: that it is full, or holds the model no more. A request that a server with places refuses
/// may be at fault itself. Were the model taken for missing there, the requests of one client could
/// take models out of service for all. With it, and such headers taken off, callers got 0.067 more
/// of what they are owed (error 0.009, 12 paired days of one deployment, tenants' limits held too).
ForwardResult Forwarder::ReadRefusal(const HttpHeaders& headers, unsigned status,
                                     const GatewayRequest& request, Server& server) const {
  const auto now = BootClock::now();
  ForwardResult result{ForwardEnd::kNotRun, status, "the server did not run it"};
  if (status != kMisdirectedStatus) {
    const std::array<std::uint32_t, 3> load =
        ParseLoad(FindHeader(headers, protocol_.headers().server_load));
    // A server that names a time to come back speaks of itself, not of the request.
    const bool full = request.model.model.empty() || server.TurnsAway(now) ||
                      load[0] + load[1] >= server.record().slots;
    result.problem =
        full ? "the server is full" : "the server has places, but refuses this request";
    result.refused_alone = !full;
    if (full) server.NoteFull(now);
    return result;
  }
  if (AnswersForOther(headers, status, server)) {
    server.NoteGone();
    result.problem = "another server has its address";
  } else {
    server.NoteMissing(request.model, now, kModelMissing);
    result.problem = "the server does not hold the model";
  }
  return result;
}

Awaitable<void> Forwarder::ReadOwnHead(UpstreamConnection& upstream,
                                       const GatewayRequest& request) {
  for (int foreign = 0; foreign < kMostForeignAnswers; ++foreign) {
    co_await upstream.ReadHead();
    const HttpHeaders headers = upstream.headers();
    const std::string_view id = FindHeader(headers, protocol_.headers().request_id);
    const bool informational = upstream.status() < http_status::kOk;
    // A server that could not read the request may not know its id.
    const bool unnamed_failure = id.empty() && upstream.status() >= http_status::kBadRequest;
    if (!informational && (id == request.id || unnamed_failure)) co_return;
    co_await upstream.ReadAll();  // A surplus answer to an earlier request.
  }
  throw HttpError(HttpStage::kAwaitingAnswer, false, "only answers to other requests came");
}

void Forwarder::GiveBack(const GatewayRequest& request, const Server& server) {
  if (!request.upstream->Reusable()) return;
  const milliseconds keep = KeepTime(request.upstream->headers());
  pool_.Give(server.connection_key(), request.upstream, keep);
}

Awaitable<ForwardResult> Forwarder::PassWhole(HttpServerExchange& exchange, GatewayRequest& request,
                                              HttpHeaders headers) {
  HttpResponse response;
  response.status = request.upstream->status();
  response.body = co_await request.upstream->ReadAll();
  response.headers = EndToEndHeaders(headers);
  const unsigned status = response.status;
  if (request.client_left) co_return ForwardResult{ForwardEnd::kClientLeft, status, ""};
  NoteHead(request);
  co_await exchange.Respond(std::move(response));
  co_return ForwardResult{ForwardEnd::kAnswered, status, ""};
}

Awaitable<ForwardResult> Forwarder::PassStream(HttpServerExchange& exchange,
                                               GatewayRequest& request, HttpHeaders headers) {
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
      if (events.empty()) continue;
      if (request.head_sent) NoteGap(request, last_events);
      last_events = BootClock::now();
      if (!request.head_sent) {
        NoteHead(request);
        co_await exchange.BeginStream(status, EndToEndHeaders(headers));
      }
      co_await exchange.Write(std::move(events));
      if (!splitter.last_id().empty()) request.last_event = splitter.last_id();
    }
  } catch (const HttpError& error) {
    if (request.client_left) co_return ForwardResult{ForwardEnd::kClientLeft, status, ""};
    const ForwardEnd end = request.head_sent ? ForwardEnd::kBrokenOff : ForwardEnd::kMayHaveRun;
    co_return ForwardResult{end, status, error.what(), error.peer_ended()};
  }
  if (!request.head_sent) {
    NoteHead(request);
    co_await exchange.BeginStream(status, EndToEndHeaders(headers));
  }
  co_await exchange.EndStream();
  co_return ForwardResult{ForwardEnd::kAnswered, status, ""};
}

Awaitable<ForwardResult> Forwarder::Exchange(HttpServerExchange& exchange, GatewayRequest& request,
                                             Server& server, SteadyTime sent_at,
                                             bool last_attempt) {
  co_await ReadOwnHead(*request.upstream, request);
  const unsigned status = request.upstream->status();
  HttpHeaders headers = request.upstream->headers();
  const HeaderNames& names = protocol_.headers();
  const bool sealed = !FindHeader(headers, names.seal).empty();
  NoteLoad(headers, server);
  NoteStatement({status, headers, sent_at, sealed}, server);
  const bool refused = status == http_status::kUnavailable ||
                       status == http_status::kTooManyRequests || status == kMisdirectedStatus;
  const bool not_run = !FindHeader(headers, names.not_run).empty();
  if (status == kMisdirectedStatus || (refused && not_run)) {
    co_await request.upstream->ReadAll();
    GiveBack(request, server);
    co_return ReadRefusal(headers, status, request, server);
  }
  const bool success = status >= http_status::kOk && status < http_status::kFirstRedirection;
  if (success && (!sealed || !FindHeader(headers, "Content-Encoding").empty()))
    co_return ForwardResult{ForwardEnd::kMayHaveRun, status, "the answer is not a server's whole"};
  const bool failed = status >= http_status::kFirstServerError;
  if (failed) server.NoteErrorAnswer();
  // A refusal that does not say "not run" must not reach the client as one: it would be a promise.
  const bool unusable = refused || (failed && !last_attempt) || (!success && request.head_sent);
  if (unusable) co_return ForwardResult{ForwardEnd::kMayHaveRun, status, "it failed"};
  if (success) server.RememberPrompt(request.model, request.parts);
  ForwardResult result;
  if (success && request.route->type == RouteType::kStream)
    result = co_await PassStream(exchange, request, std::move(headers));
  else
    result = co_await PassWhole(exchange, request, std::move(headers));
  if (result.end == ForwardEnd::kAnswered) GiveBack(request, server);
  co_return result;
}

Awaitable<ForwardResult> Forwarder::Forward(HttpServerExchange& exchange, GatewayRequest& request,
                                            ServerPtr server, SteadyTime attempt_end,
                                            bool last_attempt) {
  ForwardResult result;
  UpstreamConnectionPtr upstream;
  try {
    upstream = co_await Connect(request, *server);
  } catch (const HttpError& error) {
    server->NoteUnreachable(BootClock::now());
    co_return ForwardResult{ForwardEnd::kNotRun, 0, error.what(), error.peer_ended()};
  }
  if (request.client_left) {
    if (upstream->Reusable()) pool_.Give(server->connection_key(), upstream, kLongestRest);
    co_return ForwardResult{ForwardEnd::kClientLeft, 0, ""};
  }
  if (server->TurnsAway(BootClock::now())) {
    if (upstream->Reusable()) pool_.Give(server->connection_key(), upstream, kLongestRest);
    co_return ForwardResult{ForwardEnd::kNotRun, 0, "the server leaves, or wants a pause"};
  }
  const AttemptGuard guard(request, *server, upstream, co_await boost::asio::this_coro::executor,
                           attempt_end);
  try {
    const SteadyTime sent_at = BootClock::now();
    upstream->BeginSend(MakeHead(exchange.request(), request, *server, attempt_end), request.body);
    result = co_await Exchange(exchange, request, *server, sent_at, last_attempt);
  } catch (const HttpError& error) {
    result = {ForwardEnd::kMayHaveRun, 0, error.what(), error.peer_ended()};
    NoteUnanswered(*upstream);
  }
  if (upstream->cancelled() == CancelReason::kCallerLeft || request.client_left)
    result.end = result.end == ForwardEnd::kAnswered ? result.end : ForwardEnd::kClientLeft;
  const bool unanswered =
      result.end == ForwardEnd::kMayHaveRun || result.end == ForwardEnd::kBrokenOff;
  if (unanswered && result.status < http_status::kBadRequest)
    server->NoteFailure(BootClock::now());
  else if (result.end == ForwardEnd::kAnswered && result.status < http_status::kFirstServerError)
    server->NoteSuccess();
  co_return result;
}

}  // namespace moorfold
