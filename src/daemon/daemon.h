#pragma once

#include <prometheus/registry.h>

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "api/operator_api.h"
#include "config/settings_file.h"
#include "daemon/control_loop.h"
#include "http/http_server.h"
#include "request/model_router.h"
#include "request/service_router.h"

namespace moorfold {

/// One `moorfold serve`: a control thread that runs the core, and worker threads that serve
/// callers. States: starting (not ready) -> ready (a configuration is in force) -> stopping (not
/// ready, no new connections, requests in progress run to their end) -> stopped.
class Daemon {
 public:
  /// Binds all ports. @throws ListenError.
  explicit Daemon(const DaemonSettings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  void Start();
  Endpoint http_endpoint() const { return http_->endpoint(); }
  Endpoint peer_endpoint() const { return control_loop_->peer_endpoint(); }
  const Identity& identity() const { return self_; }
  /// Begins a planned stop. Any thread; a second call does nothing.
  void BeginStop();
  /// Blocks until a planned stop is complete, or its drain timeout has passed.
  /// @return whether every request in progress ended by itself.
  bool AwaitStopped();
  /// Takes new timing and residency settings. Any thread.
  void Reload(const CoreSettings& settings);

 private:
  struct Worker {
    explicit Worker(WorkerShared& shared, ClaimService& claims)
        : models(context, shared), services(context, shared, claims) {}
    boost::asio::io_context context{1};
    ModelRouter models;
    ServiceRouter services;
    std::thread thread;
  };
  using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

  Awaitable<void> Handle(HttpServerExchange& exchange);
  HttpResponse ListModels(Worker& worker);
  HttpResponse RenderMetrics();
  bool Ready(Worker& worker) const;
  void RunWorker(Worker& worker);
  void JoinThreads();

  DaemonSettings settings_;
  Identity self_;
  std::shared_ptr<prometheus::Registry> registry_;
  RequestMetrics metrics_;
  WorkerShared shared_;
  boost::asio::io_context control_{1};
  std::unique_ptr<ControlLoop> control_loop_;
  std::unique_ptr<OperatorApi> operator_api_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::unique_ptr<HttpServer> http_;
  std::vector<WorkGuard> guards_;
  std::thread control_thread_;
  std::atomic<bool> stopping_{false};
};

}  // namespace moorfold
