#include "standin/engine_server.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "http/http_status.h"
#include "modelled/expected_answer.h"
#include "ports/json_codec.h"
#include "standin/json_response.h"

namespace moorfold {

namespace json = boost::json;

namespace {

constexpr std::uint32_t kDefaultTokens = 16;
constexpr std::uint32_t kMaxTokens = 100'000;
constexpr std::size_t kCachedPrefixes = 32;
constexpr std::size_t kKeptCacheEvents = 1'000;
constexpr std::uint64_t kLostCacheEventPeriod = 10;
constexpr std::string_view kCacheEventsTarget = "/admin/cache-events?after=";
constexpr std::size_t kPrefixBytes = 256;
/// A cached prefix leaves this share of the prefill to do.
constexpr double kCachedPrefillShare = 0.2;
constexpr double kMebiPerGibi = 1024;

/// A refusal that says that nothing was run.
HttpResponse NotRun(const std::string& code, const std::string& message) {
  return JsonResponse(http_status::kUnavailable,
                      {{"error", {{"message", message}, {"type", "unavailable"}, {"code", code}}},
                       {"executed", "no"}});
}

HttpResponse OrderAnswer(OrderOutcome outcome, const ServerReport& report) {
  return JsonResponse(http_status::kOk, {{"outcome", json::value_from(outcome)},
                                         {"report", json::value_from(report)}});
}

int PriorityOf(const HttpHeaders& headers) {
  const std::string_view priority = FindHeader(headers, "x-priority");
  if (priority == "critical") return 0;
  return priority == "batch" ? 2 : 1;
}

std::string PromptOf(const json::object& body) {
  if (const json::value* prompt = body.if_contains("prompt"))
    return std::string(prompt->as_string());
  std::string prompt;
  for (const json::value& message : body.at("messages").as_array())
    prompt += std::string(message.at("content").as_string()) + "\n";
  return prompt;
}

}  // namespace

struct EngineServer::Completion {
  std::string id;
  ModelName model;
  AdapterName adapter;
  std::string called_as;  ///< The model field of the request, echoed in the answer.
  std::string prompt;
  std::uint32_t tokens = kDefaultTokens;
  bool stream = false;
  bool chat = false;
  int priority = 1;
  ModelVersion servable;
  std::uint64_t life = 0;
  bool disconnected = false;

  static Completion Parse(const HttpRequest& request);
  json::value Chunk(const std::string& text, bool last) const;
  json::value Whole(const std::string& text) const;
  /// With the request's id, by which a router tells its answer from another's.
  HttpHeaders Headers(const std::string& content_type) const {
    return {{"Content-Type", content_type}, {"x-request-id", id}};
  }
  HttpResponse WholeResponse(const std::string& text) const {
    return {http_status::kOk, Headers("application/json"), json::serialize(Whole(text))};
  }
};

EngineServer::Completion EngineServer::Completion::Parse(const HttpRequest& request) {
  const json::value parsed = ParseJson(request.body);
  const json::object& body = parsed.as_object();
  Completion completion;
  completion.chat = request.target == "/v1/chat/completions";
  completion.id = std::string(FindHeader(request.headers, "x-request-id"));
  completion.called_as = std::string(body.at("model").as_string());
  const std::size_t colon = completion.called_as.find(':');
  completion.model = completion.called_as.substr(0, colon);
  if (colon != std::string::npos) completion.adapter = completion.called_as.substr(colon + 1);
  completion.prompt = PromptOf(body);
  if (const json::value* tokens = body.if_contains("max_tokens"))
    completion.tokens =
        std::clamp<std::uint32_t>(tokens->to_number<std::uint32_t>(), 1, kMaxTokens);
  if (const json::value* stream = body.if_contains("stream")) completion.stream = stream->as_bool();
  completion.priority = PriorityOf(request.headers);
  return completion;
}

json::value EngineServer::Completion::Chunk(const std::string& text, bool last) const {
  json::object choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (last) choice["finish_reason"] = "stop";
  if (chat)
    choice["delta"] = last ? json::object{} : json::object{{"content", text}};
  else
    choice["text"] = text;
  return {{"id", "cmpl-" + id},
          {"object", chat ? "chat.completion.chunk" : "text_completion"},
          {"model", called_as},
          {"choices", json::array{std::move(choice)}}};
}

json::value EngineServer::Completion::Whole(const std::string& text) const {
  json::object choice = {{"index", 0}, {"finish_reason", "stop"}};
  if (chat)
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  else
    choice["text"] = text;
  return {{"id", "cmpl-" + id},
          {"object", chat ? "chat.completion" : "text_completion"},
          {"model", called_as},
          {"choices", json::array{std::move(choice)}},
          {"usage", {{"completion_tokens", tokens}}}};
}

EngineServer::EngineServer(boost::asio::io_context& context, const Machine& machine,
                           EngineTraits traits, WeightStore& store, ExecutionLog& executions,
                           Incarnation incarnation)
    : context_(context),
      traits_(traits),
      store_(store),
      executions_(executions),
      model_(machine.name, machine.memory, incarnation),
      changed_(context.get_executor()),
      server_(
          {&context}, {machine.address, machine.http_port}, HttpServerLimits{},
          [this](HttpServerExchange& exchange) { return Handle(exchange); }, PlainRejection) {}

void EngineServer::Start() { server_.Start(); }

void EngineServer::Kill() {
  dead_ = true;
  ++life_;
  for (auto& [servable, load] : loads_) load->abandoned = true;
  loads_.clear();
  batches_.clear();
  reports_.clear();
  changed_.NotifyAll();
}

void EngineServer::Restart(Incarnation incarnation) {
  model_.Restart(incarnation);
  dead_ = false;
}

void EngineServer::Leave() { model_.SetLeaving(); }

ServerReport EngineServer::LaggingReport() {
  const Timestamp now = clock_.Now();
  reports_.emplace_back(now, model_.Report());
  while (reports_.size() > 1 && reports_[1].first <= now - traits_.report_lag) reports_.pop_front();
  ServerReport report = reports_.back().second;
  // States are told at once; only the load figures lag.
  for (ReplicaReport& replica : report.replicas) {
    for (const ReplicaReport& old : reports_.front().second.replicas) {
      if (old.servable != replica.servable) continue;
      replica.running = old.running;
      replica.queued = old.queued;
    }
  }
  return report;
}

Awaitable<void> EngineServer::Handle(HttpServerExchange& exchange) {
  if (dead_) {
    exchange.Abort();
    co_return;
  }
  const std::string& target = exchange.request().target;
  if (target == "/admin/report") {
    co_await exchange.Respond(JsonResponse(http_status::kOk, json::value_from(LaggingReport())));
  } else if (target.starts_with(kCacheEventsTarget)) {
    co_await exchange.Respond(CacheEventsAfter(target));
  } else if (target == "/admin/orders") {
    co_await HandleOrder(exchange);
  } else if (target == "/v1/chat/completions" || target == "/v1/completions") {
    co_await HandleCompletion(exchange);
  } else {
    co_await exchange.Respond(ErrorResponse(http_status::kNotFound, "no such path"));
  }
}

Awaitable<void> EngineServer::HandleOrder(HttpServerExchange& exchange) {
  std::optional<Order> order;
  std::string problem;
  try {
    order = FromJson<Order>(exchange.request().body);
  } catch (const DecodeError& error) {
    problem = error.what();
  }
  if (!order) {
    co_await exchange.Respond(ErrorResponse(http_status::kBadRequest, problem));
    co_return;
  }
  const std::uint64_t life = life_;
  const OrderOutcome outcome = co_await Execute(*order);
  if (life != life_ || faults_.lost_answers > 0) {
    if (faults_.lost_answers > 0) --faults_.lost_answers;
    exchange.Abort();
    co_return;
  }
  co_await exchange.Respond(OrderAnswer(outcome, model_.Report()));
}

Awaitable<OrderOutcome> EngineServer::Execute(Order order) {
  const bool was_held = model_.Holds(order.servable);
  const OrderDecision decision = model_.Begin(order);
  if (order.kind == OrderKind::kRelease) {
    const auto load = loads_.find(order.servable);
    if (load != loads_.end()) {
      load->second->abandoned = true;
      loads_.erase(load);
    }
  }
  changed_.NotifyAll();
  if (decision.finished) co_return decision.outcome;
  if (order.kind == OrderKind::kRelease) co_return co_await AwaitRelease(order);
  if (!was_held) {
    auto load = std::make_shared<Load>();
    loads_[order.servable] = load;
    boost::asio::co_spawn(context_, RunLoad(order, load), boost::asio::detached);
  }
  co_return co_await AwaitLoad(order);
}

Awaitable<OrderOutcome> EngineServer::AwaitLoad(Order order) {
  const auto found = loads_.find(order.servable);
  if (found == loads_.end()) co_return OrderOutcome::kFailed;
  const std::shared_ptr<Load> load = found->second;
  while (!load->abandoned && !model_.IsReady(order.servable)) co_await changed_.Wait();
  co_return load->abandoned ? OrderOutcome::kFailed : OrderOutcome::kDone;
}

Awaitable<OrderOutcome> EngineServer::AwaitRelease(Order order) {
  const std::uint64_t life = life_;
  while (life == life_ && model_.Holds(order.servable)) co_await changed_.Wait();
  co_return OrderOutcome::kDone;
}

Awaitable<void> EngineServer::RunLoad(Order order, std::shared_ptr<Load> load) {
  const CacheTier tier = model_.TierOf(order.servable.model);
  bool complete = true;
  if (tier == CacheTier::kRemote) {
    complete = co_await store_.Transfer(order.memory, load->abandoned);
  } else {
    const double speed =
        tier == CacheTier::kMemory ? traits_.memory_tier_speed : traits_.disk_tier_speed;
    co_await Sleep(FromSeconds(static_cast<double>(order.memory) / (kMebiPerGibi * speed)));
  }
  if (load->abandoned) co_return;
  const bool fails = faults_.abort_loads > 0;
  if (fails) --faults_.abort_loads;
  if (!complete || fails) {
    load->abandoned = true;
    model_.AbortLoad(order.servable);
  } else {
    model_.FinishLoad(order.servable);
  }
  loads_.erase(order.servable);
  changed_.NotifyAll();
}

Awaitable<void> EngineServer::HandleCompletion(HttpServerExchange& exchange) {
  Completion completion;
  std::string problem;
  try {
    completion = Completion::Parse(exchange.request());
  } catch (const std::exception& error) {
    problem = error.what();
  }
  if (!problem.empty()) {
    co_await exchange.Respond(ErrorResponse(http_status::kBadRequest, problem));
    co_return;
  }
  const StartRefusal refusal =
      model_.StartRequest(completion.model, completion.adapter, &completion.servable);
  if (refusal == StartRefusal::kLeaving) ++requests_while_leaving_;
  if (refusal != StartRefusal::kNone) {
    const char* code = refusal == StartRefusal::kLeaving ? "leaving" : "not_loaded";
    co_await exchange.Respond(NotRun(code, "the model is not served here"));
    co_return;
  }
  completion.life = life_;
  exchange.OnDisconnect([&completion, this] {
    completion.disconnected = true;
    changed_.NotifyAll();
  });
  std::string failure;
  try {
    if (co_await AwaitBatchSlot(completion)) {
      executions_.Record(completion.id);
      co_await Generate(exchange, completion);
    }
  } catch (const std::exception& error) {
    failure = error.what();  // The caller went away.
  }
  if (completion.life != life_) {
    exchange.Abort();
    co_return;
  }
  --batches_[completion.servable].running;
  model_.EndRequest(completion.servable);
  changed_.NotifyAll();
  if (!exchange.started()) exchange.Abort();
}

Awaitable<bool> EngineServer::AwaitBatchSlot(Completion& completion) {
  const auto place = std::pair(completion.priority, next_arrival_++);
  batches_[completion.servable].waiting.insert(place);
  const auto ready = [&] {
    const Batch& batch = batches_[completion.servable];
    return batch.running < traits_.batch && *batch.waiting.begin() == place;
  };
  while (completion.life == life_ && !completion.disconnected && !ready()) co_await changed_.Wait();
  if (completion.life != life_) co_return false;
  Batch& batch = batches_[completion.servable];
  batch.waiting.erase(place);
  ++batch.running;
  model_.SetQueued(completion.servable, static_cast<std::uint32_t>(batch.waiting.size()));
  if (!batch.waiting.empty()) changed_.NotifyAll();
  co_return !completion.disconnected;
}

void EngineServer::PublishCacheEvent(const ModelVersion& servable, std::uint64_t prefix,
                                     bool stored) {
  const std::uint64_t sequence = next_cache_event_++;
  // A gap: the sequence number is used up and the event is lost.
  if (sequence % kLostCacheEventPeriod == 0) return;
  cache_events_.push_back({sequence, clock_.Now(), servable, prefix, stored});
  if (cache_events_.size() > kKeptCacheEvents) cache_events_.pop_front();
}

/// Answers "/admin/cache-events?after=N" with the events above N that are old enough to show.
HttpResponse EngineServer::CacheEventsAfter(const std::string& target) const {
  const std::uint64_t after =
      std::strtoull(target.c_str() + kCacheEventsTarget.size(), nullptr, 10);
  const Timestamp visible = clock_.Now() - traits_.report_lag;
  json::array events;
  for (const CacheEvent& event : cache_events_) {
    if (event.sequence <= after || event.when > visible) continue;
    events.push_back({{"sequence", event.sequence},
                      {"servable", json::value_from(event.servable)},
                      {"prefix", std::to_string(event.prefix)},
                      {"kind", event.stored ? "stored" : "evicted"}});
  }
  return JsonResponse(http_status::kOk, events);
}

bool EngineServer::TouchPrefix(const ModelVersion& servable, const std::string& prompt) {
  Batch& batch = batches_[servable];
  const std::uint64_t prefix = XXH3_64bits(prompt.data(), std::min(prompt.size(), kPrefixBytes));
  const bool cached =
      std::find(batch.prefixes.begin(), batch.prefixes.end(), prefix) != batch.prefixes.end();
  batch.prefixes.remove(prefix);
  batch.prefixes.push_back(prefix);
  if (!cached) PublishCacheEvent(servable, prefix, true);
  if (batch.prefixes.size() > kCachedPrefixes) {
    PublishCacheEvent(servable, batch.prefixes.front(), false);
    batch.prefixes.pop_front();
  }
  return cached;
}

Awaitable<void> EngineServer::Generate(HttpServerExchange& exchange, Completion& completion) {
  const bool cached = TouchPrefix(completion.servable, completion.prompt);
  const double share = cached ? kCachedPrefillShare : 1.0;
  const auto prefill = FromSeconds(ToSeconds(traits_.first_token) * share) + faults_.delay;
  if (prefill > Duration{0}) co_await Sleep(prefill);
  const bool cut = faults_.cut_streams > 0;
  if (cut) --faults_.cut_streams;
  if (completion.stream)
    co_await exchange.BeginStream(http_status::kOk, completion.Headers("text/event-stream"));
  std::string text;
  for (std::uint32_t position = 0; position < completion.tokens; ++position) {
    if (completion.life != life_ || completion.disconnected) co_return;
    if (position > 0 && cut) {
      exchange.Abort();
      co_return;
    }
    if (position > 0 && traits_.between_tokens > Duration{0})
      co_await Sleep(traits_.between_tokens);
    const std::string token = ExpectedToken(completion.model, completion.prompt, position);
    text += token;
    if (completion.stream)
      co_await exchange.Write("data: " + json::serialize(completion.Chunk(token, false)) + "\n\n");
  }
  if (completion.life != life_) co_return;
  if (!completion.stream) {
    co_await exchange.Respond(completion.WholeResponse(text));
    co_return;
  }
  co_await exchange.Write("data: " + json::serialize(completion.Chunk("", true)) +
                          "\n\ndata: [DONE]\n\n");
  co_await exchange.EndStream();
}

}  // namespace moorfold
