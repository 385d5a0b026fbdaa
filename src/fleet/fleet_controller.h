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
#include "fleet/placement_planner.h"
#include "fleet/store_load_limit.h"
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
  bool state_known = false;  ///< Its state and order count were read and nothing is uncertain.
  bool operation_pending = false;  ///< An order or a question is under way.
  std::int64_t order_count = 0;
  std::vector<HeldModel> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  std::int64_t life = 0;  ///< Of the server, as ServerRecord has it.
  std::string loading_model;
  bool from_weight_store = false;  ///< Of `incoming`.
  SteadyTime load_started{};       ///< The same.
  std::chrono::milliseconds expected_load_time{0};
  std::size_t concurrent_loads = 0;  ///< From the weight store, when it began.
  SteadyTime ready_at{};             ///< When `incoming` is expected to be there.
  std::string reserved_for;
  SteadyTime not_before{};  ///< After a failure: no order earlier than this.
};

struct ControllerSettings {
  std::string holder;  ///< OutcomeName of this machine in orders.
  std::chrono::milliseconds load_window{5'000};
};

/// Carries the planner's steps out while this daemon leads: one order to a server at a time, each
/// with the fencing token, the incarnation and the server's order count. One thread.
class FleetController {
 public:
  using PlacementNoticeHandler = std::function<void(const PlacementNotice&)>;

  FleetController(boost::asio::io_context& context, const FleetProtocol& protocol, FleetView& view,
                  LeaderElection& election, ServerStatements& statements, GatewayMetrics& metrics,
                  EventLog& log, ControllerSettings settings, PlacementNoticeHandler notice);

  void Start();
  void AddReport(const DemandReport& report);
  /// Begins no more orders.
  void Stop() { stopped_ = true; }
  /// @return orders that have no answer yet.
  std::size_t sending() const { return sending_; }

 private:
  using ManagedServerPtr = std::shared_ptr<ManagedServer>;

  void Tick();
  void PlanSoon();
  void PlanAll();
  /// Places adapters that requests wait for, over the servers that hold their models: this takes a
  /// small part of the time of a whole plan, and so comes much sooner.
  void PlanAdapters();
  void PlanAdapters(const ServiceDescription& service);
  void PlanAdaptersSoon();
  void StartSteps(const std::vector<PlacementStep>& steps);
  void PlanService(const ServiceDescription& service);
  PlannedServer MakePlannedServer(const Server& server);
  ManagedServerPtr FindOrCreateManaged(const std::string& id);
  /// @return what is known of that life of the server.
  ManagedServerPtr ManagedForRecord(const ServerRecord& record);
  /// @return whether the server has not started again since, as far as known.
  bool IsCurrent(const ManagedServerPtr& managed) const;
  void RemoveMissingServers();
  void ResetOnNewTerm();
  void StartStep(const PlacementStep& step, const Server& server);
  Awaitable<void> ExecuteOrder(ManagedServerPtr managed, PlacementStep step, ServerOrder order,
                               Endpoint endpoint);
  Awaitable<void> AwaitCompletion(const ManagedServerPtr& managed, const PlacementStep& step,
                                  const Endpoint& endpoint);
  /// @return how long the server still wants nothing of this daemon.
  BootClock::duration RemainingPause(const std::string& id) const;
  Awaitable<void> QueryState(ManagedServerPtr managed, Endpoint endpoint);
  Awaitable<std::optional<ServerStatus>> ReadReport(const std::string& id, Endpoint endpoint);
  /// Takes over what an answer to an order or a question says of its server.
  void RecordStatement(const std::string& id, const HttpResponse& response, SteadyTime sent_at);
  Awaitable<ServerOrderOutcome> SendOrder(const ServerOrder& order, const Endpoint& endpoint);
  void ApplyOutcome(ManagedServer& managed, const PlacementStep& step, ServerOrderOutcome outcome);
  void ApplyReport(ManagedServer& managed, const ServerStatus& report);
  std::size_t ActiveStoreLoads() const;
  /// Lets the limit learn from loads that take too long, before they end.
  void RecordSlowLoads();
  /// @return the longest that a model of the service takes from the weight store alone.
  static std::chrono::milliseconds LongestLoadTime(const EngineDescription& engine);
  /// Counts the order that a server has taken, and what it did at once.
  static void ApplyAdapterChange(ManagedServer& managed, const PlacementStep& step);
  void Notify(const ManagedServer& managed, const ModelReference& name, bool held);
  void RecordOrder(const ServerOrder& order, ServerOrderOutcome outcome);

  boost::asio::io_context& context_;
  const FleetProtocol& protocol_;
  FleetView& fleet_view_;
  LeaderElection& election_;
  ServerStatements& statements_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  ControllerSettings settings_;
  PlacementNoticeHandler send_notice_;
  HttpClient client_;
  BootTimer timer_;
  /// When one kind of plan may be made again.
  struct PlanThrottle {
    explicit PlanThrottle(boost::asio::io_context& context) : timer(context) {}
    BootTimer timer;
    SteadyTime not_before{};
    bool pending = false;
  };
  /// Runs `plan` at once, or when the pace allows it.
  void SchedulePlan(PlanThrottle& throttle, void (FleetController::*plan)());
  /// A plan that began then has ended.
  static void SetNextPlanTime(PlanThrottle& throttle, SteadyTime began);

  PlanThrottle full_plan_throttle_;
  PlanThrottle adapter_plan_throttle_;
  FleetDemand demand_;
  std::map<std::string, ManagedServerPtr> managed_;
  StoreLoadLimit store_limit_;
  std::int64_t managed_term_ = 0;  ///< Fencing token of the term that `managed_` belongs to.
  std::size_t sending_ = 0;
  bool stopped_ = false;
};

}  // namespace moorfold
