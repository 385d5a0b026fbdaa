#include "standin/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <stdexcept>

#include "http/http_status.h"
#include "ports/json_codec.h"
#include "standin/json_response.h"

namespace moorfold {

namespace json = boost::json;

namespace {

Deployment SpeedUp(Deployment deployment, double factor) {
  deployment.engine.memory_tier_speed *= factor;
  deployment.engine.disk_tier_speed *= factor;
  deployment.weight_store.speed *= factor;
  deployment.weight_store.loads_per_second *= factor;
  return deployment;
}

template <typename T>
void ReadNumber(const json::object& fault, const char* name, T& value) {
  if (const json::value* found = fault.if_contains(name)) value = found->to_number<T>();
}

void ReadMilliseconds(const json::object& fault, const char* name,
                      std::chrono::milliseconds& value) {
  if (const json::value* found = fault.if_contains(name))
    value = std::chrono::milliseconds(found->to_number<std::int64_t>());
}

std::string ReadName(const json::object& object) {
  return std::string(object.at("name").as_string());
}

}  // namespace

Platform::Platform(boost::asio::io_context& context, Deployment deployment, PlatformOptions options)
    : context_(context),
      deployment_(SpeedUp(std::move(deployment), options.load_speedup)),
      options_(std::move(options)),
      random_(options_.seed),
      key_value_(context, {options_.address, options_.key_value_port}, deployment_.key_value),
      machines_(deployment_.machine_list_lag),
      store_(context, deployment_.weight_store),
      admin_(
          {&context}, {options_.address, options_.admin_port}, HttpServerLimits{},
          [this](HttpServerExchange& exchange) { return HandleAdmin(exchange); }, PlainRejection) {
  for (const Machine& machine : ListMachines(deployment_)) {
    if (machine.kind == MachineKind::kEngine) AddEngine(machine);
    if (machine.kind == MachineKind::kService) AddService(machine);
  }
  machines_.Settle();
}

Incarnation Platform::NextIncarnation() {
  return static_cast<Incarnation>(clock_.Now().time_since_epoch().count());
}

void Platform::AddEngine(Machine machine) {
  machine.address = options_.address;
  auto engine = std::make_unique<EngineServer>(context_, machine, deployment_.engine, store_,
                                               executions_, NextIncarnation());
  std::set<ModelName> cached;
  std::bernoulli_distribution on_disk(deployment_.engine.disk_cached_share);
  for (const ModelName& checkpoint : options_.checkpoints)
    if (on_disk(random_)) cached.insert(checkpoint);
  engine->model().SetDiskCache(std::move(cached));
  machine.http_port = engine->endpoint().port;
  machines_.Put(machine, clock_.Now());
  engines_[machine.name] = std::move(engine);
}

void Platform::AddService(Machine machine) {
  machine.address = options_.address;
  for (const ServiceTraits& traits : deployment_.services) {
    if (traits.name != machine.service) continue;
    auto service = std::make_unique<ServiceServer>(context_, machine, traits, executions_);
    machine.http_port = service->endpoint().port;
    machines_.Put(machine, clock_.Now());
    services_[machine.name] = std::move(service);
  }
}

void Platform::Start() {
  key_value_.Start();
  admin_.Start();
  boost::asio::co_spawn(context_, store_.Run(), boost::asio::detached);
  for (auto& [name, engine] : engines_) engine->Start();
  for (auto& [name, service] : services_) service->Start();
}

Awaitable<void> Platform::HandleAdmin(HttpServerExchange& exchange) {
  HttpResponse response;
  try {
    if (exchange.request().target == "/machines")
      response = ListMachinesFor(exchange.request());
    else
      response = JsonResponse(http_status::kOk, Administer(exchange.request()));
  } catch (const std::exception& error) {
    response = ErrorResponse(http_status::kBadRequest, error.what());
  }
  co_await exchange.Respond(std::move(response));
}

HttpResponse Platform::ListMachinesFor(const HttpRequest& request) {
  const MachineListing listing = machines_.Visible(clock_.Now());
  const std::string tag = "\"" + std::to_string(machines_.version()) + "\"";
  if (FindHeader(request.headers, "If-None-Match") == tag)
    return {http_status::kNotModified, {{"ETag", tag}}, ""};
  HttpResponse response = JsonResponse(http_status::kOk, json::value_from(*listing));
  response.headers.push_back({"ETag", tag});
  return response;
}

json::value Platform::Administer(const HttpRequest& request) {
  const std::string call = request.method + " " + request.target;
  if (call == "GET /admin/executions") return json::value_from(executions_.counts());
  if (call == "GET /admin/summary") {
    std::uint32_t loaded = 0;
    for (auto& [name, engine] : engines_) loaded += engine->model().Servables().size();
    return {{"replicas", loaded},
            {"key_value_reads", key_value_.reads()},
            {"key_value_writes", key_value_.writes()},
            {"requests_run", executions_.counts().size()}};
  }
  if (call == "POST /admin/machines") {
    machines_.Put(FromJson<Machine>(request.body), clock_.Now());
    machines_.Settle();
    return {{"ok", true}};
  }
  if (call == "POST /admin/faults") {
    SwitchFault(ParseJson(request.body).as_object());
    return {{"ok", true}};
  }
  throw std::invalid_argument("no such call: " + call);
}

void Platform::SwitchFault(const json::object& fault) {
  const std::string component(fault.at("component").as_string());
  if (component == "key_value") return SwitchKeyValueFault(fault);
  if (component == "engine") return SwitchEngineFault(fault);
  if (component == "service") return SwitchServiceFault(fault);
  if (component == "weight_store")
    return store_.SetSlowdown(fault.at("slowdown").to_number<double>());
  if (component == "machine") {
    const std::string name = ReadName(fault);
    return fault.at("action").as_string() == "remove" ? machines_.Remove(name, clock_.Now())
                                                      : machines_.SetLeaving(name, clock_.Now());
  }
  throw std::invalid_argument("no component '" + component +
                              "'; use key_value, engine, service, weight_store or machine");
}

void Platform::SwitchKeyValueFault(const json::object& fault) {
  KeyValueFaults& faults = key_value_.faults();
  if (const json::value* down = fault.if_contains("down")) {
    faults.down = down->as_bool();
    if (faults.down) key_value_.BreakWatches();
  }
  ReadMilliseconds(fault, "delay_ms", faults.delay);
  ReadNumber(fault, "lost_answers", faults.lost_answers);
}

void Platform::SwitchEngineFault(const json::object& fault) {
  EngineServer& engine = *engines_.at(ReadName(fault));
  ReadMilliseconds(fault, "delay_ms", engine.faults().delay);
  ReadNumber(fault, "cut_streams", engine.faults().cut_streams);
  ReadNumber(fault, "abort_loads", engine.faults().abort_loads);
  ReadNumber(fault, "lost_answers", engine.faults().lost_answers);
  const json::value* action = fault.if_contains("action");
  if (action == nullptr) return;
  if (action->as_string() == "kill") {
    engine.Kill();
  } else if (action->as_string() == "restart") {
    engine.Restart(NextIncarnation());
  } else if (action->as_string() == "leave") {
    engine.Leave();
    machines_.SetLeaving(ReadName(fault), clock_.Now());
  } else {
    throw std::invalid_argument("no such action; use kill, restart or leave");
  }
}

void Platform::SwitchServiceFault(const json::object& fault) {
  ServiceServer& service = *services_.at(ReadName(fault));
  ReadMilliseconds(fault, "delay_ms", service.faults().delay);
  ReadNumber(fault, "lost_answers", service.faults().lost_answers);
  if (const json::value* down = fault.if_contains("down")) service.faults().down = down->as_bool();
  const json::value* action = fault.if_contains("action");
  if (action == nullptr) return;
  if (action->as_string() != "leave") throw std::invalid_argument("no such action; use leave");
  service.Leave();
  machines_.SetLeaving(ReadName(fault), clock_.Now());
}

}  // namespace moorfold
