#include "server_emulator.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/boot_clock.h"
#include "resumable_stream.h"

namespace moorfold {

namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kHeartbeat{400};

HttpResponse Reject(const RejectedRequest& rejected) {
  return {rejected.status, {}, rejected.reason};
}

// Answers are made by a function: no braced temporaries stand in awaited calls (GCC 12).
HttpResponse Bare(unsigned status, HttpHeaders headers, std::string body = "") {
  return {status, std::move(headers), std::move(body)};
}

RequestKind KindOf(const std::string& target) {
  if (target.find("/once/") != std::string::npos) return RequestKind::kAtMostOnce;
  if (ResumablePath::Parse(target)) return RequestKind::kRepeatable;
  if (target.find("/stream/") != std::string::npos) return RequestKind::kStream;
  return RequestKind::kRepeatable;
}

}  // namespace

ServerEmulator::ServerEmulator(boost::asio::io_context& context, StoreEmulator& store,
                               PromiseChecker& checker, ServerOptions options, std::uint64_t seed)
    : context_(context),
      store_(store),
      checker_(checker),
      options_(std::move(options)),
      random_(seed),
      server_(
          {&context}, {"127.0.0.1", 0}, {},
          [this](HttpServerExchange& exchange) { return Handle(exchange); }, Reject) {
  for (const LoadedModel& held : options_.models) had_.insert(held.name);
}

void ServerEmulator::Start() {
  server_.Start();
  if (options_.announced.port == 0) options_.announced = server_.endpoint();
  boost::asio::co_spawn(context_, Beat(), boost::asio::detached);
}

json::array ServerEmulator::ModelsJson() const {
  json::array models;
  for (const LoadedModel& held : options_.models)
    models.push_back({{"name", held.name},
                      {"version", 1},
                      {"adapters", json::array(held.adapters.begin(), held.adapters.end())}});
  return models;
}

void ServerEmulator::WriteEntry() {
  const json::value entry = {{"service", options_.service},
                             {"address", ToString(options_.announced)},
                             {"zone", options_.zone},
                             {"version", options_.version},
                             {"slots", options_.slots},
                             {"state", draining_ ? "draining" : "ready"},
                             {"coldLeftMs", 0},
                             {"models", ModelsJson()},
                             {"available", {{"onDisk", json::array(had_.begin(), had_.end())}}},
                             {"seq", ++beats_},
                             {"born", options_.born}};
  store_.Put("servers/" + options_.id, json::serialize(entry));
}

Awaitable<void> ServerEmulator::Beat() {
  while (!vanished_ && !ended_) {
    WriteEntry();
    co_await Sleep(kHeartbeat);
  }
}

void ServerEmulator::End() {
  if (ended_) return;
  ended_ = true;
  if (on_end_) on_end_();
  boost::asio::co_spawn(context_, LetEntryLapse(), boost::asio::detached);
}

Awaitable<void> ServerEmulator::LetEntryLapse() {
  constexpr int kSilentBeats = 3;
  co_await Sleep(kHeartbeat * kSilentBeats);
  if (!succeeded_) store_.Remove("servers/" + options_.id);
}

std::string ServerEmulator::EndingOf(const HttpRequest& request) {
  if (request.body.starts_with(EndingBody(""))) return request.body;
  for (const PromptPart& part : ParsePromptParts(FindHeader(request.headers, "X-Prompt-Prefix")))
    if (part.id.starts_with(EndingPart(""))) return part.id;
  return {};
}

void ServerEmulator::TellTenant(const HttpRequest& request, const std::string& id) {
  if (options_.tenants == nullptr) return;
  std::uint64_t reserved = 0;
  for (const char* name : {"Authorization", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From"})
    if (!FindHeader(request.headers, name).empty()) ++reserved;
  options_.tenants->Ran(id, std::string(FindHeader(request.headers, "X-Tenant")), reserved,
                        BootClock::now());
}

void ServerEmulator::Drain() {
  draining_ = true;
  WriteEntry();
  checker_.Draining(options_.id, BootClock::now());
}

void ServerEmulator::Vanish() {
  vanished_ = true;
  store_.Remove("servers/" + options_.id);
  checker_.Draining(options_.id, BootClock::now());
}

bool ServerEmulator::Holds(const std::string& name) const {
  const std::string model = name.substr(0, name.find('/'));
  const std::string adapter = model.size() == name.size() ? "" : name.substr(model.size() + 1);
  for (const LoadedModel& held : options_.models)
    if (held.name == model) return adapter.empty() || held.HasAdapter(adapter);
  return false;
}

void ServerEmulator::NameLimit(std::optional<double> per_second) {
  limit_per_second_ = per_second;
  if (options_.statements != nullptr)
    options_.statements->Named(options_.id, per_second, BootClock::now());
}

HttpHeaders ServerEmulator::Statement() const {
  HttpHeaders headers;
  if (limit_per_second_) headers.push_back({"Server-Limit", std::to_string(*limit_per_second_)});
  if (draining_ || faults_.says_leaving) headers.push_back({"Server-Leaving", "1"});
  return headers;
}

HttpHeaders ServerEmulator::Headers(const std::string& id) const {
  HttpHeaders headers = Statement();
  headers.push_back({"X-Request-Id", id});
  headers.push_back(
      {"X-Server-Load", std::to_string(running_) + ",0," + std::to_string(options_.slots)});
  headers.push_back({"Keep-Alive", "timeout=10"});
  return headers;
}

Awaitable<void> ServerEmulator::Handle(HttpServerExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string_view expected = FindHeader(request.headers, "X-Expect-Instance");
  const std::string id(FindHeader(request.headers, "X-Request-Id"));
  HttpHeaders headers;
  if (!expected.empty() && expected != options_.id) {
    headers = {{"X-Request-Id", id}, {"X-Instance-Id", options_.id}};
    co_await exchange.Respond(Bare(421, std::move(headers)));
    co_return;
  }
  if (request.target == "/report") {
    co_await exchange.Respond(Report());
    co_return;
  }
  if (request.target == "/order") {
    co_await TakeOrder(exchange);
    co_return;
  }
  if (ended_) {
    exchange.Abort();
    co_return;
  }
  if (!id.empty()) checker_.Arrived(id, options_.id, BootClock::now());
  if (options_.statements != nullptr) options_.statements->Arrived(options_.id, BootClock::now());
  const std::string ending = EndingOf(request);
  if (!ending.empty()) checker_.EndingArrived(ending, id, BootClock::now());
  headers = Headers(id);
  const std::string model(FindHeader(request.headers, "X-Model"));
  if (options_.engine && !Holds(model)) {
    co_await exchange.Respond(Bare(421, std::move(headers)));
    co_return;
  }
  const bool changing = options_.engine && model.substr(0, model.find('/')) == changing_;
  co_await SendSurplus(exchange);
  if (running_ >= options_.slots || changing || RareChance(faults_.refusal_share)) {
    co_await SendRefusal(exchange, std::move(headers));
    co_return;
  }
  co_await Run(exchange, id, KindOf(request.target));
}

Awaitable<void> ServerEmulator::SendRefusal(HttpServerExchange& exchange, HttpHeaders headers) {
  headers.push_back({"X-Not-Executed", "1"});
  if (RareChance(faults_.repeated_refusal_share)) repeated_refusals_[exchange.remote()] = headers;
  co_await exchange.Respond(Bare(503, std::move(headers)));
}

Awaitable<void> ServerEmulator::SendSurplus(HttpServerExchange& exchange) {
  if (const auto repeated = repeated_refusals_.extract(exchange.remote())) {
    ++refusals_repeated_;
    co_await exchange.Respond(Bare(503, repeated.mapped()));
  }
  if (!RareChance(faults_.unnamed_refusal_share)) co_return;
  HttpHeaders unnamed = {{"X-Not-Executed", "1"}};
  co_await exchange.Respond(Bare(503, std::move(unnamed)));
}

int ServerEmulator::EventsOf(const std::string& id) {
  constexpr int kShort = 8;
  constexpr int kLong = 60;
  constexpr std::size_t kOneOf = 12;
  return std::hash<std::string>{}(id) % kOneOf == 0 ? kLong : kShort;
}

Awaitable<void> ServerEmulator::ReadPrompt(const HttpRequest& request) {
  const ModelReference model = ParseModelReference(FindHeader(request.headers, "X-Model"));
  const std::vector<PromptPart> parts =
      ParsePromptParts(FindHeader(request.headers, "X-Prompt-Prefix"));
  double tokens = -prompts_.CachedPrefixTokens(model, parts);
  for (const PromptPart& part : parts) tokens += part.tokens;
  prompts_.Remember(model, parts);
  co_await Sleep(milliseconds(static_cast<int>(tokens / options_.prompt_tokens_per_ms)));
}

Awaitable<void> ServerEmulator::Run(HttpServerExchange& exchange, const std::string& id,
                                    RequestKind kind) {
  struct Running {
    explicit Running(std::uint32_t& running) : count(running) { ++count; }
    ~Running() { --count; }
    std::uint32_t& count;
  } running(running_);
  ++runs_;
  checker_.Ran(id, kind, options_.id, BootClock::now());
  TellTenant(exchange.request(), id);
  const std::string ending = EndingOf(exchange.request());
  if (!ending.empty() && options_.version == "v1") {
    if (ending.starts_with(EndingPart(""))) {
      HttpHeaders headers = Headers(id);
      headers.push_back({"X-Response-Seal", SealOf(id)});
      co_await exchange.BeginStream(200, std::move(headers));
    }
    co_await Sleep(options_.work);
    checker_.EndedUnder(ending, options_.id, BootClock::now());
    End();
    exchange.Abort();
    co_return;
  }
  if (kind == RequestKind::kStream) co_await ReadPrompt(exchange.request());
  co_await Sleep(options_.work);
  if (ended_) {
    exchange.Abort();
    co_return;
  }
  checker_.Working(id, BootClock::now());
  if (Chance(faults_.no_answer_share)) {
    exchange.Abort();
    co_return;
  }
  HttpHeaders headers = Headers(id);
  headers.push_back({"X-Response-Seal", SealOf(id)});
  if (Chance(faults_.error_share)) {
    co_await exchange.Respond(Bare(500, std::move(headers)));
    co_return;
  }
  if (kind == RequestKind::kStream || ResumablePath::Parse(exchange.request().target))
    co_await Stream(exchange, id, std::move(headers));
  else
    co_await exchange.Respond(Bare(200, std::move(headers), BodyOf(id)));
}

Awaitable<void> ServerEmulator::Stream(HttpServerExchange& exchange, const std::string& id,
                                       HttpHeaders headers) {
  headers.push_back({"Content-Type", "text/event-stream"});
  const std::string last(FindHeader(exchange.request().headers, "Last-Event-Id"));
  int event = last.empty() ? 1 : std::stoi(last) + 1;
  const std::optional<ResumablePath> path = ResumablePath::Parse(exchange.request().target);
  const int end = path ? path->events : EventsOf(id);
  const int last_sent = path ? DrawBreak(event, end) : end;
  co_await exchange.BeginStream(200, std::move(headers));
  for (; event <= last_sent && !ended_; ++event) {
    std::string text = path ? MakeStreamEvent(event, options_.id, options_.version, path->name)
                            : "id: " + std::to_string(event) + "\ndata: " + id + "\n\n";
    co_await exchange.Write(std::move(text));
    checker_.Working(id, BootClock::now());
    const double batch = static_cast<double>(running_) / static_cast<double>(options_.slots);
    co_await Sleep(std::chrono::duration_cast<milliseconds>(options_.event_gap * (1 + batch)));
  }
  if (ended_ || last_sent < end)
    exchange.Abort();
  else
    co_await exchange.EndStream();
}

int ServerEmulator::DrawBreak(int next, int last) {
  if (next >= last || !RareChance(faults_.stream_break_share)) return last;
  return std::uniform_int_distribution<int>(next, last - 1)(random_);
}

HttpResponse ServerEmulator::Report() const {
  const json::value body = {{"stage", "both"},
                            {"models", ModelsJson()},
                            {"available", {{"onDisk", json::array(had_.begin(), had_.end())}}},
                            {"busy", !changing_.empty()},
                            {"seq", order_count_},
                            {"running", running_},
                            {"born", options_.born},
                            {"incoming", json::array()}};
  HttpHeaders headers = Statement();
  headers.push_back({"Content-Type", "application/json"});
  return {200, std::move(headers), json::serialize(body)};
}

unsigned ServerEmulator::Judge(const ServerOrder& order, std::int64_t expected_count) {
  if (!changing_.empty() || expected_count != order_count_) return 409;
  const std::string name = order.adapter.empty() ? order.model : order.model + "/" + order.adapter;
  const bool load = order.kind == ServerOrderKind::kLoad;
  if (Holds(name) == load) return 200;
  if (!load) return 202;
  double used = order.adapter.empty() ? options_.model_mb : options_.adapter_mb;
  std::size_t adapters = order.adapter.empty() ? 0 : 1;
  for (const LoadedModel& held : options_.models) {
    used += options_.model_mb + options_.adapter_mb * static_cast<double>(held.adapters.size());
    adapters += held.adapters.size();
  }
  if (used > options_.weights_mb || adapters > options_.adapter_slots)
    checker_.Overfilled(options_.id);
  return 202;
}

Awaitable<void> ServerEmulator::TakeOrder(HttpServerExchange& exchange) {
  unsigned status = 400;
  ServerOrder order;
  bool taken = false;
  bool late = false;
  try {
    const json::value body = json::parse(exchange.request().body);
    order.kind = body.at("operation").as_string() == "load" ? ServerOrderKind::kLoad
                                                            : ServerOrderKind::kUnload;
    order.model = std::string(body.at("model").as_string());
    if (const json::value* adapter = body.as_object().if_contains("adapter"))
      order.adapter = std::string(adapter->as_string());
    order.order_count = body.at("prevRevision").to_number<std::int64_t>();
    order.holder = std::string(body.at("holder").as_string());
    order.fencing_token = body.at("fencingToken").to_number<std::int64_t>();
    checker_.Ordered({options_.id, order.holder, order.fencing_token, BootClock::now()});
    late = Chance(faults_.late_order_share);
    taken = true;
  } catch (const std::exception&) {
    status = 400;
  }
  if (late) {
    exchange.Abort();
    co_await Sleep(faults_.order_lateness);
  }
  if (taken) status = Judge(order, order.order_count);
  if (status == 202) boost::asio::co_spawn(context_, CarryOut(order), boost::asio::detached);
  if (!late) co_await exchange.Respond(Bare(status, Statement()));
}

Awaitable<void> ServerEmulator::CarryOut(ServerOrder order) {
  ++order_count_;
  const bool load = order.kind == ServerOrderKind::kLoad;
  if (order.adapter.empty()) {
    changing_ = order.model;
    if (load && !had_.contains(order.model)) checker_.LoadBegan(BootClock::now());
    if (load)
      co_await Sleep(had_.contains(order.model) ? options_.load_time / 2 : options_.load_time);
    changing_.clear();
    if (load) {
      options_.models.push_back({order.model, {}});
      had_.insert(order.model);
    } else {
      std::erase_if(options_.models,
                    [&](const LoadedModel& held) { return held.name == order.model; });
    }
  }
  for (LoadedModel& held : options_.models) {
    if (order.adapter.empty() || held.name != order.model) continue;
    if (load)
      held.adapters.push_back(order.adapter);
    else
      std::erase(held.adapters, order.adapter);
  }
  if (!vanished_ && !ended_) WriteEntry();
}

}  // namespace moorfold
