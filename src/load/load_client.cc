#include "load/load_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "http/http_client.h"
#include "http/http_status.h"
#include "modelled/expected_answer.h"

namespace moorfold {

namespace json = boost::json;

namespace {

using Clock = BootClock;
constexpr std::chrono::seconds kPatience{5};
constexpr std::chrono::seconds kFetchTimeout{30};

double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

/// Reads the text out of server-sent events as they come.
class EventStreamText {
 public:
  void Feed(const std::string& chunk) {
    pending_ += chunk;
    std::size_t end = 0;
    while ((end = pending_.find("\n\n")) != std::string::npos) {
      TakeEvent(pending_.substr(0, end));
      pending_.erase(0, end + 2);
    }
  }
  const std::string& text() const { return text_; }
  bool complete() const { return complete_; }

 private:
  void TakeEvent(const std::string& event) {
    constexpr std::string_view kData = "data: ";
    if (!event.starts_with(kData)) return;
    const std::string payload = event.substr(kData.size());
    if (payload == "[DONE]") {
      complete_ = true;
      return;
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(payload, error);
    if (error) return;
    const json::value& choice = parsed.at("choices").at(0);
    if (const json::value* piece = choice.as_object().if_contains("text"))
      text_ += std::string(piece->as_string());
  }

  std::string pending_;
  std::string text_;
  bool complete_ = false;
};

HttpRequest MakeRequest(const LoadRequest& load) {
  HttpRequest request;
  request.method = "POST";
  request.headers = {{"Content-Type", "application/json"},
                     {"x-deadline-ms", std::to_string(load.deadline.count())},
                     {"x-priority", load.priority}};
  if (!load.key.empty()) request.headers.push_back({"Idempotency-Key", load.key});
  if (load.is_service) {
    request.target = load.target;
    request.body = load.prompt;
    return request;
  }
  request.target = "/v1/completions";
  const json::value body = {{"model", load.called_as},
                            {"prompt", load.prompt},
                            {"max_tokens", load.tokens},
                            {"stream", load.stream}};
  request.body = json::serialize(body);
  return request;
}

void ReadRefusal(const std::string& body, LoadOutcome& outcome) {
  outcome.end = LoadEnd::kUnknown;
  boost::system::error_code error;
  const json::value parsed = json::parse(body, error);
  if (error || !parsed.is_object()) return;
  const json::object& object = parsed.get_object();
  const json::value* executed = object.if_contains("executed");
  if (executed != nullptr && executed->as_string() == "no") outcome.end = LoadEnd::kRefusedNotRun;
  if (const json::value* problem = object.if_contains("error"))
    outcome.code = std::string(problem->at("code").as_string());
}

bool AnswerMatches(const LoadRequest& load, const std::string& body,
                   const EventStreamText& events) {
  if (load.is_service) {
    const json::value parsed = json::parse(body);
    return parsed.at("echo").as_string() == load.prompt;
  }
  const std::string expected = ExpectedAnswer(load.model, load.prompt, load.tokens);
  if (load.stream) return events.complete() && events.text() == expected;
  const json::value parsed = json::parse(body);
  return parsed.at("choices").at(0).at("text").as_string() == expected;
}

Awaitable<void> SendOne(HttpClient& client, const LoadRequest& load, Clock::time_point due,
                        LoadOutcome& outcome) {
  std::string body;
  EventStreamText events;
  try {
    HttpSendOptions options;
    options.deadline = due + load.deadline + kPatience;
    const std::unique_ptr<HttpExchange> exchange =
        co_await client.Open(load.server, MakeRequest(load), options);
    outcome.status = exchange->status();
    while (true) {
      const std::string chunk = co_await exchange->ReadSome();
      if (body.empty() && !chunk.empty()) outcome.first_byte_seconds = SecondsSince(due);
      if (chunk.empty()) break;
      body += chunk;
      if (load.stream) events.Feed(chunk);
    }
    if (outcome.status != http_status::kOk)
      ReadRefusal(body, outcome);
    else
      outcome.end = AnswerMatches(load, body, events) ? LoadEnd::kServed : LoadEnd::kMismatched;
  } catch (const HttpError& error) {
    if (error.timed_out())
      outcome.end = LoadEnd::kLost;
    else
      outcome.end =
          error.stage() == HttpStage::kConnecting ? LoadEnd::kRefusedNotRun : LoadEnd::kUnknown;
  } catch (const std::exception&) {
    outcome.end = LoadEnd::kMismatched;  // An answer that cannot be read is not the caller's.
  }
  outcome.total_seconds = SecondsSince(due);
}

Awaitable<void> SendAll(boost::asio::io_context& context, HttpClient& client,
                        const std::vector<LoadRequest>& requests,
                        std::vector<LoadOutcome>& outcomes, std::size_t& sent, std::size_t& ended) {
  const Clock::time_point start = Clock::now();
  for (std::size_t index = 0; index < requests.size(); ++index) {
    const Clock::time_point due = start + requests[index].at;
    if (due > Clock::now()) co_await Sleep(due - Clock::now());
    ++sent;
    boost::asio::co_spawn(context, SendOne(client, requests[index], due, outcomes[index]),
                          [&ended](const std::exception_ptr&) { ++ended; });
  }
}

Awaitable<void> ReportProgress(const std::function<void(std::size_t, std::size_t)>& progress,
                               const std::size_t& sent, const std::size_t& ended,
                               std::size_t total) {
  while (ended < total) {
    co_await Sleep(std::chrono::seconds(1));
    progress(sent, ended);
  }
}

}  // namespace

const char* ToString(LoadEnd end) {
  switch (end) {
    case LoadEnd::kServed:
      return "served";
    case LoadEnd::kRefusedNotRun:
      return "refused_not_run";
    case LoadEnd::kUnknown:
      return "unknown";
    case LoadEnd::kLost:
      return "lost";
    case LoadEnd::kMismatched:
      return "mismatched";
  }
  return "unknown";
}

std::vector<LoadOutcome> RunLoad(const std::vector<LoadRequest>& requests,
                                 const std::function<void(std::size_t, std::size_t)>& progress) {
  std::vector<LoadOutcome> outcomes(requests.size());
  std::size_t sent = 0;
  std::size_t ended = 0;
  boost::asio::io_context context(1);
  HttpClient client(context);
  boost::asio::co_spawn(context, SendAll(context, client, requests, outcomes, sent, ended),
                        boost::asio::detached);
  boost::asio::co_spawn(context, ReportProgress(progress, sent, ended, requests.size()),
                        boost::asio::detached);
  context.run();
  return outcomes;
}

HttpResponse Call(const Endpoint& server, const HttpRequest& request) {
  boost::asio::io_context context(1);
  HttpClient client(context);
  HttpResponse response;
  std::exception_ptr failure;
  HttpSendOptions options;
  options.deadline = Clock::now() + kFetchTimeout;
  boost::asio::co_spawn(context, client.Send(server, request, options),
                        [&](const std::exception_ptr& thrown, HttpResponse answer) {
                          failure = thrown;
                          response = std::move(answer);
                        });
  context.run();
  if (failure) std::rethrow_exception(failure);
  return response;
}

std::string Fetch(const Endpoint& server, const std::string& target) {
  return Call(server, {"GET", target, {}, ""}).body;
}

std::string Post(const Endpoint& server, const std::string& target, const std::string& body) {
  return Call(server, {"POST", target, {}, body}).body;
}

}  // namespace moorfold
