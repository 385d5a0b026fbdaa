#include "request/model_router.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>

#include "common/boot_clock.h"

namespace moorfold {

namespace json = boost::json;

namespace {

constexpr std::size_t kPrefixBytes = 256;
constexpr std::chrono::milliseconds kRecheck{250};
constexpr std::chrono::milliseconds kRefusedPause{5};

std::int64_t Microseconds(Deadline when) {
  return std::chrono::duration_cast<std::chrono::microseconds>(when.time_since_epoch()).count();
}

std::string FirstPrompt(const json::object& body) {
  if (const json::value* prompt = body.if_contains("prompt"))
    return prompt->is_string() ? std::string(prompt->get_string()) : std::string();
  const json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) return {};
  const json::value& first = messages->get_array().front();
  if (!first.is_object()) return {};
  const json::value* content = first.get_object().if_contains("content");
  return content != nullptr && content->is_string() ? std::string(content->get_string())
                                                    : std::string();
}

std::optional<ApiError> CheckShape(const json::object& body, bool chat) {
  const json::value* model = body.if_contains("model");
  if (model == nullptr || !model->is_string())
    return errors::BadRequest("'model' is no text", "name a model, as {\"model\": \"NAME\"}");
  const json::value* prompt = body.if_contains(chat ? "messages" : "prompt");
  if (chat && (prompt == nullptr || !prompt->is_array() || prompt->get_array().empty()))
    return errors::BadRequest("'messages' is no list", "send at least one message");
  if (!chat && (prompt == nullptr || !prompt->is_string()))
    return errors::BadRequest("'prompt' is no text", "send a text as 'prompt'");
  const json::value* stream = body.if_contains("stream");
  if (stream != nullptr && !stream->is_bool())
    return errors::BadRequest("'stream' is neither true nor false", "send true or false");
  const json::value* tokens = body.if_contains("max_tokens");
  if (tokens != nullptr && (!tokens->is_int64() || tokens->get_int64() < 1))
    return errors::BadRequest("'max_tokens' is no positive whole number", "send 1 or more");
  return std::nullopt;
}

}  // namespace

/// Counts a caller's requests in progress.
class ModelRouter::CallerSlot {
 public:
  CallerSlot(std::shared_ptr<CallerCounts> counts, const std::string& caller, std::uint32_t limit)
      : counts_(std::move(counts)), caller_(caller), granted_(++(*counts_)[caller_] <= limit) {}
  ~CallerSlot() {
    const auto found = counts_->find(caller_);
    if (--found->second == 0) counts_->erase(found);
  }
  CallerSlot(const CallerSlot&) = delete;
  CallerSlot& operator=(const CallerSlot&) = delete;
  bool granted() const { return granted_; }

 private:
  std::shared_ptr<CallerCounts> counts_;
  std::string caller_;
  bool granted_;
};

/// A request's place in the queue and its share of the queued bytes.
class ModelRouter::QueuedRequest {
 public:
  QueuedRequest(WorkerShared& shared, std::shared_ptr<Waiting> waiting, DemandCountersPtr counters,
                const Call& call, std::uint64_t bytes)
      : shared_(shared),
        waiting_(std::move(waiting)),
        counters_(std::move(counters)),
        bytes_(bytes) {
    const std::uint64_t queued = shared_.queued_bytes.fetch_add(bytes_) + bytes_;
    counters_->waiting.fetch_add(1, std::memory_order_relaxed);
    if (queued <= shared_.limits.queued_bytes)
      ticket_ = waiting_->queue.Enter(call.priority, Microseconds(call.deadline),
                                      shared_.limits.queued_per_model);
  }
  ~QueuedRequest() {
    shared_.queued_bytes.fetch_sub(bytes_);
    counters_->waiting.fetch_sub(1, std::memory_order_relaxed);
    if (ticket_) waiting_->queue.Leave(*ticket_);
    waiting_->signal.NotifyAll();  // The next one may be first now.
  }
  QueuedRequest(const QueuedRequest&) = delete;
  QueuedRequest& operator=(const QueuedRequest&) = delete;
  bool admitted() const { return ticket_.has_value(); }
  bool first() const { return waiting_->queue.IsFirst(*ticket_); }
  std::size_t position() const { return waiting_->queue.Position(*ticket_); }

 private:
  WorkerShared& shared_;
  std::shared_ptr<Waiting> waiting_;
  DemandCountersPtr counters_;
  std::uint64_t bytes_;
  std::optional<QueueTicket> ticket_;
};

ModelRouter::ModelRouter(boost::asio::io_context& context, WorkerShared& shared)
    : context_(context), shared_(shared), tables_(shared.tables), client_(context) {}

ModelRouteConstPtr ModelRouter::FindRoute(const std::string& name) {
  const RoutingTableConstPtr& table = tables_.Get();
  const auto found = table->models.find(name);
  return found == table->models.end() ? nullptr : found->second;
}

std::shared_ptr<ModelRouter::Waiting> ModelRouter::WaitingFor(const std::string& name) {
  std::shared_ptr<Waiting>& waiting = waiting_[name];
  if (!waiting) waiting = std::make_shared<Waiting>(context_.get_executor());
  return waiting;
}

void ModelRouter::WakeWaiting() {
  for (auto& [name, waiting] : waiting_)
    if (waiting->queue.size() > 0) waiting->signal.NotifyAll();
}

std::optional<ApiError> ModelRouter::Parse(const HttpRequest& request, Call& call) {
  boost::system::error_code error;
  const json::value parsed = json::parse(request.body, error);
  if (error || !parsed.is_object())
    return errors::BadRequest("the body is no JSON object", "send JSON, as OpenAI's API has it");
  const json::object& body = parsed.get_object();
  const bool chat = request.target == "/v1/chat/completions";
  if (std::optional<ApiError> mistake = CheckShape(body, chat)) return mistake;
  call.name = std::string(body.at("model").get_string());
  const json::value* stream = body.if_contains("stream");
  call.stream = stream != nullptr && stream->get_bool();
  const std::string prompt = FirstPrompt(body);
  call.prefix_hash = XXH3_64bits(prompt.data(), std::min(prompt.size(), kPrefixBytes));
  if (tables_.Get()->configuration_revision == 0) return errors::NotReady();
  const ModelRouteConstPtr route = FindRoute(call.name);
  if (!route) return errors::UnknownModel(call.name);
  std::optional<ApiError> mistake =
      ReadCallHeaders(request.headers, route->model.deadline, route->model.priority, call);
  if (!mistake && call.forwarded && !route->local) return errors::StillLoading(call.name);
  return mistake;
}

std::optional<ApiError> ModelRouter::RefuseEarly(const ModelRoute& route, const Call& call,
                                                 std::size_t position) const {
  const auto now = BootClock::now();
  const double left = std::chrono::duration<double>(call.deadline - now).count();
  const double waited = std::chrono::duration<double>(now - call.arrival).count();
  const double predicted = PredictAnswerSeconds(route, position * shared_.worker_count, waited);
  if (predicted <= left) return std::nullopt;
  return errors::TooLate(call.name, predicted);
}

Awaitable<std::optional<Target>> ModelRouter::AcquireTarget(Call& call, std::uint64_t body_bytes,
                                                            const std::set<std::string>& excluded) {
  ModelRouteConstPtr route = FindRoute(call.name);
  if (!route) {
    call.refusal = errors::UnknownModel(call.name);
    co_return std::nullopt;
  }
  const std::shared_ptr<Waiting> waiting = WaitingFor(route->called_as);
  if (waiting->queue.size() == 0) {
    std::optional<Target> target =
        AcquireReplica(*route, call.prefix_hash, excluded, Microseconds(BootClock::now()));
    if (target) co_return target;
  }
  QueuedRequest queued(shared_, waiting, route->counters, call, body_bytes);
  if (!queued.admitted()) {
    call.refusal = errors::QueueFull(call.name);
    co_return std::nullopt;
  }
  const Deadline refusal_time = RefusalTime(call);
  bool judged = false;
  while (!call.disconnected) {
    route = FindRoute(call.name);
    if (!route) {
      call.refusal = errors::UnknownModel(call.name);
      co_return std::nullopt;
    }
    if (queued.first()) {
      std::optional<Target> target =
          AcquireReplica(*route, call.prefix_hash, excluded, Microseconds(BootClock::now()));
      if (target) co_return target;
    }
    if (route->targets.empty()) call.was_cold = true;
    if (!judged) call.refusal = RefuseEarly(*route, call, queued.position());
    judged = true;
    if (call.refusal) co_return std::nullopt;
    if (BootClock::now() >= refusal_time) {
      call.refusal = errors::StillLoading(call.name);
      co_return std::nullopt;
    }
    if (!route->counters->nudged.exchange(true)) shared_.nudge_core();
    co_await waiting->signal.Wait(std::min(refusal_time, BootClock::now() + kRecheck));
  }
  co_return std::nullopt;
}

HttpRequest ModelRouter::MakeRequest(const HttpRequest& original, const ModelRoute& route,
                                     const Call& call) const {
  HttpRequest request{original.method, original.target, {}, original.body};
  const char* priority = call.priority == Priority::kCritical ? "critical"
                         : call.priority == Priority::kBatch  ? "batch"
                                                              : "interactive";
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - BootClock::now());
  request.headers = {{"Content-Type", "application/json"},
                     {"x-request-id", call.id},
                     {"x-priority", priority},
                     {"x-deadline-ms", std::to_string(std::max<std::int64_t>(1, left.count()))}};
  if (!route.local) request.headers.push_back({"x-moorfold-forwarded", shared_.daemon_name});
  if (call.name == route.called_as || !route.local) return request;
  // The adapter was called by its own name; engines know it beside its base.
  boost::system::error_code error;
  json::value body = json::parse(original.body, error);
  body.as_object()["model"] = route.called_as;
  request.body = json::serialize(body);
  return request;
}

void ModelRouter::ObserveFirstByte(const Call& call) {
  const std::chrono::duration<double> passed = BootClock::now() - call.arrival;
  (call.was_cold ? shared_.metrics->first_byte_cold : shared_.metrics->first_byte_warm)
      .Observe(passed.count());
}

Awaitable<Attempt> ModelRouter::TryTarget(HttpServerExchange& exchange, Call& call,
                                          const ModelRoute& route, const Target& target) {
  const DemandCountersPtr counters = route.counters;
  counters->in_flight.fetch_add(1, std::memory_order_relaxed);
  const auto started = BootClock::now();
  Attempt attempt = co_await ForwardOnce(client_, exchange, call, target.endpoint,
                                         MakeRequest(exchange.request(), route, call),
                                         [this, &call] { ObserveFirstByte(call); });
  const auto ended = BootClock::now();
  counters->in_flight.fetch_sub(1, std::memory_order_relaxed);
  target.load->Release();
  if (counters->waiting.load(std::memory_order_relaxed) > 0) shared_.wake_waiting();
  if (attempt.end == AttemptEnd::kAnswered) {
    target.load->RecordSuccess();
    counters->RecordService(
        static_cast<std::uint64_t>(Microseconds(ended) - Microseconds(started)));
    if (call.was_cold)
      counters->RecordColdWait(
          static_cast<std::uint64_t>(Microseconds(started) - Microseconds(call.arrival)));
  } else if (attempt.leaving) {
    target.load->RecordLeaving(Microseconds(ended));
  } else if (attempt.end != AttemptEnd::kNotRun) {
    target.load->RecordFailure(Microseconds(ended));
  }
  co_return attempt;
}

Awaitable<std::optional<ApiError>> ModelRouter::Serve(HttpServerExchange& exchange, Call& call) {
  RetryPolicy retry(call.repeatable, retries_);
  std::set<std::string> excluded;
  while (true) {
    const std::optional<Target> target =
        co_await AcquireTarget(call, exchange.request().body.size(), excluded);
    if (!target) {
      if (call.refusal && retry.may_have_run()) call.refusal->executed = Executed::kUnknown;
      co_return call.refusal;
    }
    const ModelRouteConstPtr route = FindRoute(call.name);
    if (!route) {
      target->load->Release();
      co_return errors::UnknownModel(call.name);
    }
    const Attempt attempt = co_await TryTarget(exchange, call, *route, *target);
    if (call.disconnected) co_return std::nullopt;
    const bool late = BootClock::now() >= RefusalTime(call);
    switch (retry.Decide(attempt.end, late)) {
      case AfterAttempt::kDone:
        co_return std::nullopt;
      case AfterAttempt::kRefuseNotRun:
        if (late) co_return errors::StillLoading(call.name);
        co_return errors::BackendFailed(attempt.problem, Executed::kNo);
      case AfterAttempt::kReportUnknown:
        co_return errors::BackendFailed(attempt.problem, Executed::kUnknown);
      case AfterAttempt::kTryAgain:
        break;
    }
    shared_.metrics->retries.Increment();
    excluded.insert(target->name);
    if (excluded.size() >= route->targets.size()) excluded.clear();
    if (attempt.end == AttemptEnd::kNotRun) co_await Sleep(kRefusedPause * retry.refused());
  }
}

void ModelRouter::RecordEnd(const Call& call, const std::optional<ApiError>& error) {
  if (call.disconnected)
    shared_.metrics->disconnected.Increment();
  else if (!error)
    shared_.metrics->served.Increment();
  else if (error->executed == Executed::kNo)
    shared_.metrics->refused.Increment();
  else
    shared_.metrics->unknown.Increment();
}

Awaitable<void> ModelRouter::Handle(HttpServerExchange& exchange) {
  Call call;
  call.id = shared_.daemon_name + "-" + std::to_string(shared_.incarnation) + "-" +
            std::to_string(shared_.next_request.fetch_add(1, std::memory_order_relaxed));
  std::optional<ApiError> error = Parse(exchange.request(), call);
  if (!error) {
    const CallerSlot slot(callers_, exchange.remote().address, shared_.limits.requests_per_caller);
    retries_.Earn();
    FindRoute(call.name)->counters->arrivals.fetch_add(1, std::memory_order_relaxed);
    exchange.OnDisconnect([this, &call] {
      call.disconnected = true;
      if (call.upstream != nullptr) call.upstream->Cancel();
      WakeWaiting();
    });
    if (slot.granted())
      error = co_await Serve(exchange, call);
    else
      error = errors::CallerLimit(shared_.limits.requests_per_caller);
  }
  RecordEnd(call, error);
  if (error && !exchange.started()) co_await exchange.Respond(ToResponse(*error));
  if (!exchange.started()) exchange.Abort();
}

}  // namespace moorfold
