#include "request/call.h"

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>

#include "common/boot_clock.h"
#include "http/http_status.h"

namespace moorfold {
namespace {

constexpr std::int64_t kMaxDeadlineMilliseconds = 24LL * 3600 * 1000;

/// What a back end's refusal says about the request and about the back end.
struct Refusal {
  bool not_run = false;
  bool leaving = false;
};

Refusal ReadRefusal(const HttpResponse& response) {
  Refusal refusal;
  boost::system::error_code error;
  const boost::json::value body = boost::json::parse(response.body, error);
  if (error || !body.is_object()) return refusal;
  const boost::json::value* executed = body.get_object().if_contains("executed");
  refusal.not_run = executed != nullptr && executed->is_string() && executed->get_string() == "no";
  const boost::json::value* problem = body.get_object().if_contains("error");
  if (problem == nullptr || !problem->is_object()) return refusal;
  const boost::json::value* code = problem->get_object().if_contains("code");
  refusal.leaving = code != nullptr && code->is_string() && code->get_string() == "leaving";
  return refusal;
}

bool IsForeignAnswer(const HttpHeaders& headers, const Call& call) {
  const std::string_view id = FindHeader(headers, "x-request-id");
  return !id.empty() && id != call.id;
}

HttpHeaders AnswerHeaders(const HttpHeaders& upstream, const Call& call) {
  HttpHeaders headers;
  for (const char* name : {"Content-Type", "Retry-After"}) {
    const std::string_view value = FindHeader(upstream, name);
    if (!value.empty()) headers.push_back({name, std::string(value)});
  }
  headers.push_back({"x-request-id", call.id});
  return headers;
}

Awaitable<std::string> ReadAll(HttpExchange& upstream) {
  std::string body;
  while (true) {
    const std::string chunk = co_await upstream.ReadSome();
    if (chunk.empty()) co_return body;
    body += chunk;
  }
}

Awaitable<Attempt> PassWhole(HttpServerExchange& exchange, Call& call, HttpExchange& upstream,
                             const std::function<void()>& first_byte) {
  HttpResponse response;
  response.status = upstream.status();
  const HttpHeaders headers = upstream.headers();
  response.headers = AnswerHeaders(headers, call);
  response.body = co_await ReadAll(upstream);
  if (response.status == http_status::kUnavailable) {
    const Refusal refusal = ReadRefusal(response);
    if (refusal.not_run)
      co_return Attempt{AttemptEnd::kNotRun, "the back end did not take it", refusal.leaving};
  }
  if (response.status >= http_status::kFirstServerError)
    co_return Attempt{AttemptEnd::kMayHaveRun,
                      "the back end answered status " + std::to_string(response.status), false};
  first_byte();
  co_await exchange.Respond(std::move(response));
  co_return Attempt{AttemptEnd::kAnswered, "", false};
}

Awaitable<Attempt> PassStream(HttpServerExchange& exchange, Call& call, HttpExchange& upstream,
                              const std::function<void()>& first_byte) {
  const HttpHeaders headers = upstream.headers();
  std::string chunk = co_await upstream.ReadSome();
  first_byte();
  co_await exchange.BeginStream(upstream.status(), AnswerHeaders(headers, call));
  while (!chunk.empty()) {
    co_await exchange.Write(std::move(chunk));
    chunk = co_await upstream.ReadSome();
  }
  co_await exchange.EndStream();
  co_return Attempt{AttemptEnd::kAnswered, "", false};
}

bool IsEventStream(const HttpHeaders& headers) {
  return FindHeader(headers, "Content-Type").starts_with("text/event-stream");
}

}  // namespace

Awaitable<Attempt> ForwardOnce(HttpClient& client, HttpServerExchange& exchange, Call& call,
                               Endpoint endpoint, HttpRequest request,
                               std::function<void()> first_byte) {
  HttpSendOptions options;
  options.deadline = call.deadline;
  options.fresh_connection = !call.repeatable;
  Attempt attempt;
  try {
    const std::unique_ptr<HttpExchange> upstream =
        co_await client.Open(std::move(endpoint), std::move(request), options);
    const HttpHeaders headers = upstream->headers();
    if (IsForeignAnswer(headers, call)) {
      upstream->Cancel();
      co_return Attempt{AttemptEnd::kMayHaveRun, "the back end answered another request", false};
    }
    call.upstream = upstream.get();
    if (IsEventStream(headers))
      attempt = co_await PassStream(exchange, call, *upstream, first_byte);
    else
      attempt = co_await PassWhole(exchange, call, *upstream, first_byte);
  } catch (const HttpError& error) {
    const bool never_sent = error.stage() == HttpStage::kConnecting;
    attempt = {never_sent ? AttemptEnd::kNotRun : AttemptEnd::kMayHaveRun, error.what(), false};
  } catch (const std::exception& error) {  // Writing to the caller failed: it is gone.
    call.disconnected = true;
    attempt = {AttemptEnd::kMayHaveRun, error.what(), false};
  }
  call.upstream = nullptr;
  if (exchange.started() && attempt.end != AttemptEnd::kAnswered) {
    exchange.Abort();
    attempt.end = AttemptEnd::kBroken;
  }
  co_return attempt;
}

std::optional<ApiError> ReadCallHeaders(const HttpHeaders& headers, Duration default_deadline,
                                        Priority default_priority, Call& call) {
  call.arrival = BootClock::now();
  call.deadline = call.arrival + default_deadline;
  call.priority = default_priority;
  const std::string_view deadline = FindHeader(headers, "x-deadline-ms");
  if (!deadline.empty()) {
    std::int64_t milliseconds = 0;
    const auto [end, error] =
        std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds);
    const bool whole = error == std::errc{} && end == deadline.data() + deadline.size();
    if (!whole || milliseconds < 1 || milliseconds > kMaxDeadlineMilliseconds)
      return errors::BadRequest("x-deadline-ms is no number of milliseconds",
                                "write a whole number from 1 to 86400000");
    call.deadline = call.arrival + std::chrono::milliseconds(milliseconds);
  }
  const std::string_view priority = FindHeader(headers, "x-priority");
  if (priority == "critical") call.priority = Priority::kCritical;
  if (priority == "interactive") call.priority = Priority::kInteractive;
  if (priority == "batch") call.priority = Priority::kBatch;
  const bool known = priority.empty() || priority == "critical" || priority == "interactive" ||
                     priority == "batch";
  if (!known)
    return errors::BadRequest("x-priority is none that is known",
                              "use critical, interactive or batch");
  call.forwarded = !FindHeader(headers, "x-moorfold-forwarded").empty();
  if (call.forwarded) call.id = std::string(FindHeader(headers, "x-request-id"));
  return std::nullopt;
}

Deadline RefusalTime(const Call& call) {
  constexpr std::chrono::milliseconds kMostMargin{50};
  const auto whole = call.deadline - call.arrival;
  const auto margin = std::min<BootClock::duration>(whole / 20, kMostMargin);
  return call.deadline - margin;
}

}  // namespace moorfold
