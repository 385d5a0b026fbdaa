#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "fleet/fleet_demand.h"
#include "fleet/leader_election.h"
#include "fleet/load_concurrency_limit.h"
#include "fleet/placement_planner.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/server_statements.h"
#include "http/http_client.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// What a leader knows of a model server beyond its record. It is asked for its state once before
/// the first order; from then on the leader follows its own orders.
struct ManagedServer {
  std::string id;
  bool known = false;      ///< Its state and order count were read and nothing is uncertain.
  bool operating = false;  ///< An order or a question is under way.
  std::int64_t order_count = 0;
  std::vector<LoadedModel> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  std::int64_t life = 0;  ///< Of the server, as ServerRecord has it.
  std::string incoming;
  bool from_weight_store = false;  ///< Of `incoming`.
  SteadyTime load_began{};         ///< The same.
  std::chrono::milliseconds load_stated{0};
  std::size_t loads_together = 0;  ///< From the weight store, when it began.
  SteadyTime ready_at{};           ///< When `incoming` is expected to be there.
  std::string intended;
  SteadyTime not_before{};  ///< After a failure: no order earlier than this.
};

struct ControllerSettings {
  std::string holder;  ///< Name of this machine in orders.
  std::chrono::milliseconds load_window{5'000};
};

/// Carries the planner's steps out while this daemon leads: one order to a server at a time, each
/// with the fencing token, the incarnation and the server's order count. One thread.
class FleetController {
 public:
  using NoticeHandler = std::function<void(const PlacementNotice&)>;

  FleetController(boost::asio::io_context& context, const FleetProtocol& protocol, FleetView& view,
                  LeaderElection& election, ServerStatements& statements, GatewayMetrics& metrics,
                  EventLog& log, ControllerSettings settings, NoticeHandler notice);

  void Start();
  void AddReport(const DemandReport& report);
  /// Begins no more orders.
  void Stop() { stopped_ = true; }
  /// @return orders that have no answer yet.
  std::size_t sending() const { return sending_; }

 private:
  using ManagedPtr = std::shared_ptr<ManagedServer>;

  void Tick();
  void PlanSoon();
  void PlanAll();
  /// Places adapters that requests wait for, over the servers that hold their models: this takes a
  /// small part of the time of a whole plan, and so comes much sooner.
  void PlanAdapters();
  void PlanAdapters(const ServiceDescription& service);
  void PlanAdaptersSoon();
  void Begin(const std::vector<PlacementStep>& steps);
  void PlanService(const ServiceDescription& service);
  PlannedServer Describe(const Server& server);
  ManagedPtr Managed(const std::string& id);
  /// @return what is known of that life of the server.
  ManagedPtr ManagedLife(const ServerRecord& record);
  /// @return whether the server has not started again since, as far as known.
  bool Current(const ManagedPtr& managed) const;
  void Forget();
  void NoteTerm();
  void Begin(const PlacementStep& step, const Server& server);
  Awaitable<void> CarryOut(ManagedPtr managed, PlacementStep step, ServerOrder order,
                           Endpoint endpoint);
  Awaitable<void> AwaitDone(const ManagedPtr& managed, const PlacementStep& step,
                            const Endpoint& endpoint);
  /// @return how long the server still wants nothing of this daemon.
  BootClock::duration PauseOf(const std::string& id) const;
  Awaitable<void> AskState(ManagedPtr managed, Endpoint endpoint);
  Awaitable<std::optional<ServerStatus>> ReadReport(const std::string& id, Endpoint endpoint);
  /// Takes over what an answer to an order or a question says of its server.
  void NoteStatement(const std::string& id, const HttpResponse& response, SteadyTime sent_at);
  Awaitable<ServerOrderOutcome> SendOrder(const ServerOrder& order, const Endpoint& endpoint);
  void TakeOutcome(ManagedServer& managed, const PlacementStep& step, ServerOrderOutcome outcome);
  void TakeReport(ManagedServer& managed, const ServerStatus& report);
  std::size_t StoreLoadsUnderWay() const;
  /// Lets the limit learn from loads that take too long, before they end.
  void NoteSlowLoads();
  /// @return the longest that a model of the service takes from the weight store alone.
  static std::chrono::milliseconds LongestLoad(const EngineDescription& engine);
  /// Counts the order that a server has taken, and what it did at once.
  static void TakeAdapterChange(ManagedServer& managed, const PlacementStep& step);
  void Notify(const ManagedServer& managed, const ModelReference& name, bool held);
  void NoteOrder(const ServerOrder& order, ServerOrderOutcome outcome);

  boost::asio::io_context& context_;
  const FleetProtocol& protocol_;
  FleetView& view_;
  LeaderElection& election_;
  ServerStatements& statements_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  ControllerSettings settings_;
  NoticeHandler notice_;
  HttpClient client_;
  BootTimer timer_;
  /// When one kind of plan may be made again.
  struct Pace {
    explicit Pace(boost::asio::io_context& context) : timer(context) {}
    BootTimer timer;
    SteadyTime not_before{};
    bool pending = false;
  };
  /// Runs `plan` at once, or when the pace allows it.
  void Soon(Pace& pace, void (FleetController::*plan)());
  /// A plan that began then has ended.
  static void Rest(Pace& pace, SteadyTime began);

  Pace whole_pace_;
  Pace adapter_pace_;
  FleetDemand demand_;
  std::map<std::string, ManagedPtr> managed_;
  LoadConcurrencyLimit store_limit_;
  std::int64_t term_ = 0;  ///< Fencing token of the term that `managed_` belongs to.
  std::size_t sending_ = 0;
  bool stopped_ = false;
};

}  // namespace moorfold
