#include "daemon/daemon.h"

#include <glog/logging.h>
#include <prometheus/text_serializer.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "common/boot_clock.h"
#include "common/log_line.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

constexpr std::chrono::milliseconds kDrainCheck{20};

Identity MakeIdentity(const DaemonSettings& settings) {
  const auto boot = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return {settings.name, settings.zone, static_cast<Incarnation>(boot.count())};
}

HttpResponse PlainText(unsigned status, std::string text) {
  return {status, {{"Content-Type", "text/plain; version=0.0.4"}}, std::move(text)};
}

HttpResponse RejectUnread(const RejectedRequest& rejected) {
  const bool ours = rejected.status >= http_status::kFirstServerError;
  return ToResponse({rejected.status, ours ? "internal_error" : "unreadable_request",
                     rejected.reason,
                     ours ? "report this" : "send a complete HTTP/1.1 request within the limits",
                     ours ? Executed::kUnknown : Executed::kNo, std::nullopt});
}

HttpResponse NoSuchPath(const std::string& call) {
  return ToResponse({http_status::kNotFound, "not_found", "no such call: " + call,
                     "use /v1/chat/completions, /v1/completions, /v1/models or /services/NAME/...",
                     Executed::kNo, std::nullopt});
}

HttpResponse WrongMethod(const std::string& method) {
  return ToResponse({http_status::kMethodNotAllowed, "method_not_allowed",
                     "completions take no " + method, "use POST", Executed::kNo, std::nullopt});
}

}  // namespace

Daemon::Daemon(const DaemonSettings& settings)
    : settings_(settings),
      self_(MakeIdentity(settings)),
      registry_(std::make_shared<prometheus::Registry>()),
      metrics_(*registry_) {
  shared_.metrics = &metrics_;
  shared_.daemon_name = self_.name;
  shared_.incarnation = self_.incarnation;
  shared_.worker_count = settings_.threads;
  shared_.limits = {settings_.max_queued_per_model, settings_.max_queued_bytes,
                    settings_.max_requests_per_caller};
  shared_.nudge_core = [this] {
    boost::asio::post(control_, [this] { control_loop_->host().OnNudge(); });
  };
  shared_.wake_waiting = [this] {
    for (const std::unique_ptr<Worker>& worker : workers_)
      boost::asio::post(worker->context, [target = worker.get()] { target->models.WakeWaiting(); });
  };
  control_loop_ = std::make_unique<ControlLoop>(control_, settings_, self_, shared_.tables,
                                                shared_.wake_waiting);
  operator_api_ = std::make_unique<OperatorApi>(control_loop_->host());
  std::vector<boost::asio::io_context*> contexts;
  for (std::uint32_t index = 0; index < settings_.threads; ++index) {
    workers_.push_back(std::make_unique<Worker>(shared_, *control_loop_));
    contexts.push_back(&workers_.back()->context);
  }
  http_ = std::make_unique<HttpServer>(
      contexts, settings_.listen, HttpServerLimits{},
      [this](HttpServerExchange& exchange) { return Handle(exchange); }, RejectUnread);
}

Daemon::~Daemon() {
  BeginStop();
  JoinThreads();
}

namespace {
/// The worker that the current thread runs.
thread_local void* current_worker = nullptr;
}  // namespace

void Daemon::RunWorker(Worker& worker) {
  current_worker = &worker;
  worker.context.run();
}

void Daemon::Start() {
  guards_.push_back(boost::asio::make_work_guard(control_));
  for (const std::unique_ptr<Worker>& worker : workers_) {
    guards_.push_back(boost::asio::make_work_guard(worker->context));
    worker->thread = std::thread([this, target = worker.get()] { RunWorker(*target); });
  }
  control_loop_->Start();
  control_thread_ = std::thread([this] { control_.run(); });
  http_->Start();
}

bool Daemon::Ready(Worker& worker) const {
  return !stopping_ && worker.models.Table()->configuration_revision > 0;
}

HttpResponse Daemon::ListModels(Worker& worker) {
  boost::json::array models;
  for (const auto& [name, route] : worker.models.Table()->models) {
    if (name != route->called_as) continue;
    models.push_back({{"id", name},
                      {"object", "model"},
                      {"owned_by", "moorfold"},
                      {"loaded_replicas", route->local ? route->targets.size() : 0}});
  }
  const boost::json::value body = {{"object", "list"}, {"data", std::move(models)}};
  return {http_status::kOk, {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
}

HttpResponse Daemon::RenderMetrics() {
  const prometheus::TextSerializer serializer;
  return PlainText(http_status::kOk, serializer.Serialize(registry_->Collect()));
}

Awaitable<void> Daemon::Handle(HttpServerExchange& exchange) {
  Worker& worker = *static_cast<Worker*>(current_worker);
  const HttpRequest& request = exchange.request();
  const std::string& target = request.target;
  if (target == "/v1/chat/completions" || target == "/v1/completions") {
    if (request.method == "POST")
      co_await worker.models.Handle(exchange);
    else
      co_await exchange.Respond(WrongMethod(request.method));
  } else if (target.starts_with("/services/")) {
    co_await worker.services.Handle(exchange);
  } else if (target == "/v1/models") {
    co_await exchange.Respond(ListModels(worker));
  } else if (target == "/healthz") {
    co_await exchange.Respond(PlainText(http_status::kOk, "ok\n"));
  } else if (target == "/readyz") {
    const bool ready = Ready(worker);
    co_await exchange.Respond(PlainText(ready ? http_status::kOk : http_status::kUnavailable,
                                        ready ? "ready\n" : "not ready\n"));
  } else if (target == "/metrics") {
    co_await exchange.Respond(RenderMetrics());
  } else if (target.starts_with("/operator/")) {
    HttpResponse response = co_await boost::asio::co_spawn(control_, operator_api_->Handle(request),
                                                           boost::asio::use_awaitable);
    co_await exchange.Respond(std::move(response));
  } else {
    co_await exchange.Respond(NoSuchPath(request.method + " " + target));
  }
}

void Daemon::BeginStop() {
  if (stopping_.exchange(true)) return;
  LOG(INFO) << LogLine("stopping").Field("active_requests", http_->active_requests());
  http_->StopAccepting();
  boost::asio::post(control_, [this] { control_loop_->host().RequestStop(); });
}

bool Daemon::AwaitStopped() {
  const auto give_up = BootClock::now() + settings_.drain_timeout;
  while (http_->active_requests() > 0 && BootClock::now() < give_up)
    std::this_thread::sleep_for(kDrainCheck);
  const bool drained = http_->active_requests() == 0;
  LOG(INFO) << LogLine("stopped").Field("drained", drained ? "yes" : "no");
  JoinThreads();
  return drained;
}

void Daemon::JoinThreads() {
  guards_.clear();
  for (const std::unique_ptr<Worker>& worker : workers_) {
    worker->context.stop();
    if (worker->thread.joinable()) worker->thread.join();
  }
  control_.stop();
  if (control_thread_.joinable()) control_thread_.join();
}

void Daemon::Reload(const CoreSettings& settings) {
  boost::asio::post(control_, [this, settings] { control_loop_->host().UpdateSettings(settings); });
}

}  // namespace moorfold
