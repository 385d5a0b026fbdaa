#include "request/service_router.h"

#include <algorithm>

#include "common/async_signal.h"
#include "common/boot_clock.h"

namespace moorfold {
namespace {

constexpr std::string_view kPrefix = "/services/";
constexpr std::size_t kMaxKeyLength = 256;
constexpr std::size_t kKeptAnswerBytes = 64 * 1024;
constexpr std::chrono::milliseconds kClaimPoll{50};
constexpr std::chrono::seconds kMajorityPatience{2};

std::int64_t NowMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(BootClock::now().time_since_epoch())
      .count();
}

bool IsSafeMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

bool IsRepeatable(const ServiceIntent& service, const HttpRequest& request,
                  const std::string& path) {
  if (IsSafeMethod(request.method)) return true;
  if (!FindHeader(request.headers, "Idempotency-Key").empty()) return false;
  return std::none_of(service.non_repeatable_paths.begin(), service.non_repeatable_paths.end(),
                      [&](const std::string& prefix) { return path.starts_with(prefix); });
}

/// Remembers the answer that passes through to the caller, for later requests with its key.
class RecordingExchange : public HttpServerExchange {
 public:
  explicit RecordingExchange(HttpServerExchange& inner) : inner_(inner) {}
  const HttpRequest& request() const override { return inner_.request(); }
  std::string TakeBody() override { return inner_.TakeBody(); }
  boost::asio::any_io_executor executor() override { return inner_.executor(); }
  Endpoint remote() const override { return inner_.remote(); }
  Awaitable<void> Respond(HttpResponse response) override {
    answer_ = {response.status, std::string(FindHeader(response.headers, "Content-Type")),
               response.body.substr(0, kKeptAnswerBytes)};
    answered_ = true;
    return inner_.Respond(std::move(response));
  }
  Awaitable<void> BeginStream(unsigned status, HttpHeaders headers) override {
    answer_ = {status, std::string(FindHeader(headers, "Content-Type")), ""};
    return inner_.BeginStream(status, std::move(headers));
  }
  Awaitable<void> Write(std::string data) override {
    if (answer_.body.size() < kKeptAnswerBytes) answer_.body += data;
    return inner_.Write(std::move(data));
  }
  Awaitable<void> EndStream() override {
    answered_ = true;
    return inner_.EndStream();
  }
  void Abort() override { inner_.Abort(); }
  bool started() const override { return inner_.started(); }
  void OnDisconnect(std::function<void()> callback) override {
    inner_.OnDisconnect(std::move(callback));
  }
  bool answered() const { return answered_; }
  const KeptAnswer& answer() const { return answer_; }

 private:
  HttpServerExchange& inner_;
  KeptAnswer answer_;
  bool answered_ = false;
};

HttpResponse Replay(const KeptAnswer& answer, const std::string& id) {
  return {answer.status,
          {{"Content-Type", answer.content_type},
           {"x-request-id", id},
           {"x-idempotent-replay", "true"}},
          answer.body};
}

}  // namespace

ServiceRouter::ServiceRouter(boost::asio::io_context& context, WorkerShared& shared,
                             ClaimService& claims)
    : shared_(shared), claims_(claims), tables_(shared.tables), client_(context) {}

std::optional<ApiError> ServiceRouter::Resolve(const HttpRequest& request, Call& call,
                                               Destination& destination) {
  const std::string rest = request.target.substr(kPrefix.size());
  const std::size_t slash = rest.find('/');
  call.name = rest.substr(0, slash);
  destination.path = slash == std::string::npos ? "/" : rest.substr(slash);
  const RoutingTableConstPtr& table = tables_.Get();
  if (table->configuration_revision == 0) return errors::NotReady();
  const auto found = table->services.find(call.name);
  if (found == table->services.end()) return errors::UnknownService(call.name);
  destination.route = found->second;
  call.repeatable = IsRepeatable(found->second->service, request, destination.path);
  if (FindHeader(request.headers, "Idempotency-Key").size() > kMaxKeyLength)
    return errors::BadRequest("the Idempotency-Key is too long", "use at most 256 characters");
  return ReadCallHeaders(request.headers, found->second->service.deadline, Priority::kInteractive,
                         call);
}

HttpRequest ServiceRouter::MakeRequest(const HttpRequest& original, const Destination& destination,
                                       const Call& call) const {
  HttpRequest request{original.method, destination.path, {}, original.body};
  for (const char* name : {"Content-Type", "Accept", "Idempotency-Key", "Authorization"}) {
    const std::string_view value = FindHeader(original.headers, name);
    if (!value.empty()) request.headers.push_back({name, std::string(value)});
  }
  request.headers.push_back({"x-request-id", call.id});
  return request;
}

Awaitable<Attempt> ServiceRouter::TryTarget(HttpServerExchange& exchange, Call& call,
                                            const Destination& destination, const Target& target) {
  target.load->in_flight.fetch_add(1, std::memory_order_relaxed);
  Attempt attempt = co_await ForwardOnce(client_, exchange, call, target.endpoint,
                                         MakeRequest(exchange.request(), destination, call), [] {});
  target.load->Release();
  if (attempt.end == AttemptEnd::kAnswered)
    target.load->RecordSuccess();
  else if (attempt.leaving)
    target.load->RecordLeaving(NowMicroseconds());
  else
    target.load->RecordFailure(NowMicroseconds());
  co_return attempt;
}

Awaitable<std::optional<ApiError>> ServiceRouter::Serve(HttpServerExchange& exchange, Call& call,
                                                        const Destination& destination) {
  RetryPolicy retry(call.repeatable, retries_);
  std::string excluded;
  while (true) {
    std::optional<Target> target = PickBackend(*destination.route, excluded, NowMicroseconds());
    if (!target) target = PickBackend(*destination.route, "", NowMicroseconds());
    if (!target) {
      if (!retry.may_have_run()) co_return errors::NoBackend(call.name);
      co_return errors::BackendFailed("no other server is known", Executed::kUnknown);
    }
    const Attempt attempt = co_await TryTarget(exchange, call, destination, *target);
    if (call.disconnected) co_return errors::BackendFailed("the caller left", Executed::kUnknown);
    const bool late = BootClock::now() >= RefusalTime(call);
    switch (retry.Decide(attempt.end, late)) {
      case AfterAttempt::kDone:
        co_return std::nullopt;
      case AfterAttempt::kRefuseNotRun:
        co_return errors::BackendFailed(attempt.problem, Executed::kNo);
      case AfterAttempt::kReportUnknown:
        co_return errors::BackendFailed(attempt.problem, Executed::kUnknown);
      case AfterAttempt::kTryAgain:
        break;
    }
    shared_.metrics->retries.Increment();
    excluded = target->name;
  }
}

Awaitable<std::optional<ApiError>> ServiceRouter::ServeClaimed(HttpServerExchange& exchange,
                                                               Call& call,
                                                               const Destination& destination,
                                                               std::string key) {
  const std::string scoped_key = call.name + " " + key;
  ClaimResult claim = co_await claims_.Claim(scoped_key, call.id);
  // Another request with the key is running: its answer is this one's, too, once it is there.
  // Without a majority it is tried for a moment more: the owners may be changing their view.
  const Deadline patience = std::min(RefusalTime(call), call.arrival + kMajorityPatience);
  const auto undecided = [&] {
    const auto now = BootClock::now();
    if (claim.end == ClaimEnd::kInUse) return now < RefusalTime(call);
    return claim.end == ClaimEnd::kNoMajority && now < patience;
  };
  while (undecided()) {
    co_await Sleep(kClaimPoll);
    claim = co_await claims_.Claim(scoped_key, call.id);
  }
  switch (claim.end) {
    case ClaimEnd::kInUse:
      co_return errors::KeyInUse();
    case ClaimEnd::kNoMajority:
      co_return errors::NoClaimMajority();
    case ClaimEnd::kFinished:
      co_await exchange.Respond(Replay(claim.answer, call.id));
      co_return std::nullopt;
    case ClaimEnd::kGranted:
      break;
  }
  RecordingExchange recording(exchange);
  const std::optional<ApiError> error = co_await Serve(recording, call, destination);
  if (recording.answered())
    claims_.Finish(scoped_key, call.id, recording.answer());
  else if (error && error->executed == Executed::kNo)
    claims_.GiveBack(scoped_key, call.id);
  co_return error;
}

Awaitable<void> ServiceRouter::Handle(HttpServerExchange& exchange) {
  Call call;
  call.id = shared_.daemon_name + "-" + std::to_string(shared_.incarnation) + "-" +
            std::to_string(shared_.next_request.fetch_add(1, std::memory_order_relaxed));
  Destination destination;
  std::optional<ApiError> error = Resolve(exchange.request(), call, destination);
  if (!error) {
    retries_.Earn();
    const std::string key(FindHeader(exchange.request().headers, "Idempotency-Key"));
    if (key.empty())
      error = co_await Serve(exchange, call, destination);
    else
      error = co_await ServeClaimed(exchange, call, destination, key);
  }
  prometheus::Counter& end = !error                             ? shared_.metrics->served
                             : error->executed == Executed::kNo ? shared_.metrics->refused
                                                                : shared_.metrics->unknown;
  end.Increment();
  if (error && !exchange.started()) co_await exchange.Respond(ToResponse(*error));
}

}  // namespace moorfold
