#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/async_signal.h"
#include "common/wall_clock.h"
#include "config/deployment_file.h"
#include "http/http_server.h"
#include "modelled/engine_model.h"
#include "standin/execution_log.h"
#include "standin/weight_store.h"

namespace moorfold {

struct EngineFaults {
  std::chrono::milliseconds delay{0};  ///< Added before the first token.
  std::uint32_t cut_streams = 0;       ///< So many answers break off after their first token.
  std::uint32_t abort_loads = 0;       ///< So many loads fail partway.
  std::uint32_t lost_answers = 0;      ///< So many orders are carried out and not answered.
};

/// One accelerator server: OpenAI completions with continuous batching and priorities, a prefix
/// cache, and the control side (reports, fenced orders). Runs on one thread.
class EngineServer {
 public:
  EngineServer(boost::asio::io_context& context, const Machine& machine, EngineTraits traits,
               WeightStore& store, ExecutionLog& executions, Incarnation incarnation);

  void Start();
  Endpoint endpoint() const { return server_.endpoint(); }
  EngineModel& model() { return model_; }
  EngineFaults& faults() { return faults_; }
  /// The process dies: every connection breaks and memory is lost. Restart brings it back.
  void Kill();
  void Restart(Incarnation incarnation);
  /// Announces the stop: no new work, running requests go on.
  void Leave();
  std::uint64_t requests_while_leaving() const { return requests_while_leaving_; }

 private:
  struct Completion;
  /// A prefix entered or left a replica's cache. Published late, and some never are.
  struct CacheEvent {
    std::uint64_t sequence = 0;
    Timestamp when{};
    ModelVersion servable;
    std::uint64_t prefix = 0;
    bool stored = true;
  };
  struct Batch {
    std::uint32_t running = 0;
    std::multiset<std::pair<int, std::uint64_t>> waiting;  ///< Priority, arrival.
    std::list<std::uint64_t> prefixes;                     ///< Cached, least recent first.
  };
  struct Load {
    bool abandoned = false;
  };

  Awaitable<void> Handle(HttpServerExchange& exchange);
  Awaitable<void> HandleOrder(HttpServerExchange& exchange);
  Awaitable<OrderOutcome> Execute(Order order);
  Awaitable<OrderOutcome> AwaitLoad(Order order);
  Awaitable<OrderOutcome> AwaitRelease(Order order);
  Awaitable<void> RunLoad(Order order, std::shared_ptr<Load> load);
  Awaitable<void> HandleCompletion(HttpServerExchange& exchange);
  Awaitable<bool> AwaitBatchSlot(Completion& completion);
  Awaitable<void> Generate(HttpServerExchange& exchange, Completion& completion);
  bool TouchPrefix(const ModelVersion& servable, const std::string& prompt);
  void PublishCacheEvent(const ModelVersion& servable, std::uint64_t prefix, bool stored);
  HttpResponse CacheEventsAfter(const std::string& target) const;
  ServerReport LaggingReport();

  WallClock clock_;
  boost::asio::io_context& context_;
  EngineTraits traits_;
  WeightStore& store_;
  ExecutionLog& executions_;
  EngineModel model_;
  EngineFaults faults_;
  AsyncSignal changed_;
  std::map<ModelVersion, Batch> batches_;
  std::map<ModelVersion, std::shared_ptr<Load>> loads_;
  std::deque<std::pair<Timestamp, ServerReport>> reports_;
  std::deque<CacheEvent> cache_events_;
  std::uint64_t next_cache_event_ = 1;
  bool dead_ = false;
  std::uint64_t life_ = 0;  ///< Requests of an earlier life break.
  std::uint64_t next_arrival_ = 0;
  std::uint64_t requests_while_leaving_ = 0;
  HttpServer server_;
};

}  // namespace moorfold
