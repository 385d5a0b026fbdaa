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
#include "fleet/version_demand.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/server_statements.h"
#include "http/http_client.h"
#include "outlook/outlook_announcer.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// State that a leader tracks for a model server in addition to its record. The leader queries the
/// server once before the first order and afterwards derives the state from its own orders.
struct ManagedServer {
  std::string id;
  bool state_known = false;        ///< The models and order count are known with certainty.
  bool operation_pending = false;  ///< An order or a state query is in progress.
  std::int64_t order_count = 0;
  std::vector<LoadedModel> models;
  std::vector<std::string> in_memory;
  std::vector<std::string> on_disk;
  std::int64_t incarnation = 0;  ///< Incarnation of the server, see ServerRecord::incarnation.
  std::string loading_model;
  bool from_weight_store = false;  ///< Whether `loading_model` loads from the weight store.
  SteadyTime load_started{};       ///< When the load of `loading_model` began.
  std::chrono::milliseconds expected_load_time{0};
  /// Loads from the weight store in progress when this one began.
  std::size_t concurrent_loads = 0;
  SteadyTime ready_at{};  ///< Expected completion of `loading_model`.
  std::string reserved_for;
  SteadyTime not_before{};  ///< Earliest time of the next order, after a failure.
};

struct ControllerSettings {
  std::string holder;  ///< Name of this machine in orders.
  std::chrono::milliseconds load_window{5'000};
  /// Whether late responses may replace last replicas whose weights stay on their server, for
  /// services whose separation policy is on.
  bool replace_local_replicas = true;
  bool load_outlook = true;  ///< Whether to announce when models can be ready.
};

/// Executes the planner's steps while this daemon is the leader. Each server has at most one order
/// in progress; each order carries the fencing token, the id of the server's incarnation and its
/// order count. Not thread-safe.
class FleetController {
 public:
  using PlacementNoticeHandler = std::function<void(const PlacementNotice&)>;

  FleetController(boost::asio::io_context& context, const FleetProtocol& protocol, FleetView& view,
                  LeaderElection& election, ServerStatements& statements, GatewayMetrics& metrics,
                  EventLog& log, ControllerSettings settings, PlacementNoticeHandler notice,
                  outlook::OutlookAnnouncer::Handler outlook);

  void Start();
  void AddReport(const DemandReport& report);
  void AddVersionDemand(const VersionDemand& demand);
  /// Stops issuing orders.
  void Stop() { stopped_ = true; }
  /// @return the number of orders that await a response.
  std::size_t sending() const { return sending_; }

 private:
  using ManagedServerPtr = std::shared_ptr<ManagedServer>;

  void Tick();
  void PlanSoon();
  void PlanAll();
  /// Places adapters that requests wait for, on servers that already hold their models. Takes a
  /// small fraction of the time of a full plan, so it runs much sooner.
  void PlanAdapters();
  void PlanAdapters(const ServiceDescription& service);
  void PlanAdaptersSoon();
  void StartSteps(const std::vector<PlacementStep>& steps);
  void PlanService(const ServiceDescription& service);
  /// @return whether late responses may replace last replicas of the service's models.
  bool MayReplaceLocalReplicas(const std::string& service) const;
  PlannedServer MakePlannedServer(const Server& server);
  ManagedServerPtr FindOrCreateManaged(const std::string& id);
  /// @return the tracked state of the incarnation that the record describes; replaces the state of
  /// an earlier incarnation.
  ManagedServerPtr ManagedForRecord(const ServerRecord& record);
  /// @return whether `managed` is still the tracked state of its server, so that no restart of the
  /// server has been observed since.
  bool IsCurrent(const ManagedServerPtr& managed) const;
  void RemoveMissingServers();
  void ResetOnNewTerm();
  void StartStep(const PlacementStep& step, const Server& server);
  Awaitable<void> ExecuteOrder(ManagedServerPtr managed, PlacementStep step, ServerOrder order,
                               Endpoint endpoint);
  Awaitable<void> AwaitCompletion(const ManagedServerPtr& managed, const PlacementStep& step,
                                  const Endpoint& endpoint);
  /// @return how long the server still asks this daemon to pause; negative or zero if it does not.
  BootClock::duration RemainingPause(const std::string& id) const;
  Awaitable<void> QueryState(ManagedServerPtr managed, Endpoint endpoint);
  Awaitable<std::optional<ServerStatus>> ReadReport(const std::string& id, Endpoint endpoint);
  /// Records what a response to an order or a state query states about its server.
  void RecordStatement(const std::string& id, const HttpResponse& response, SteadyTime sent_at);
  Awaitable<ServerOrderOutcome> SendOrder(const ServerOrder& order, const Endpoint& endpoint);
  void ApplyOutcome(ManagedServer& managed, const PlacementStep& step, ServerOrderOutcome outcome);
  void ApplyReport(ManagedServer& managed, const ServerStatus& report);
  std::size_t ActiveStoreLoads() const;
  /// Announces when models can be ready that a plan has started no load for.
  /// @param awaited Models that needed a load from the weight store before the plan, in order.
  void AnnounceOutlook(const ServiceDescription& service, std::vector<std::string> awaited);
  /// @return the loads from the weight store that run or for which memory is being freed.
  outlook::WeightStoreState CurrentStoreState(const EngineDescription& engine);
  /// Reports store loads that exceed their expected time to the limit before they end.
  void RecordSlowLoads();
  /// @return the longest time that a load of one of the service's models takes from the weight
  /// store when no other load is in progress.
  static std::chrono::milliseconds LongestLoadTime(const EngineDescription& engine);
  /// Updates the adapters of the tracked model after a completed adapter order.
  static void ApplyAdapterChange(ManagedServer& managed, const PlacementStep& step);
  void Notify(const ManagedServer& managed, const ModelReference& name, bool held);
  void RecordOrder(const PlacementStep& step, const ServerOrder& order, ServerOrderOutcome outcome);

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
  std::uint64_t reports_requested_ = 0;  ///< Makes their IDs unique.
  BootTimer timer_;
  /// Limits how often one kind of plan is made.
  struct PlanThrottle {
    explicit PlanThrottle(boost::asio::io_context& context) : timer(context) {}
    BootTimer timer;
    SteadyTime not_before{};
    bool pending = false;
  };
  /// Runs `plan` at once, or at the earliest time that the throttle allows.
  void SchedulePlan(PlanThrottle& throttle, void (FleetController::*plan)());
  /// Sets the earliest time of the next plan after one that started at `began` has ended.
  static void SetNextPlanTime(PlanThrottle& throttle, SteadyTime began);

  PlanThrottle full_plan_throttle_;
  PlanThrottle adapter_plan_throttle_;
  FleetDemand demand_;
  FleetVersionDemand version_demand_;
  std::map<std::string, ManagedServerPtr> managed_;
  LoadConcurrencyLimit store_limit_;
  outlook::OutlookAnnouncer announcer_;
  /// Fencing token of the leadership term to which `managed_` belongs.
  std::int64_t managed_term_ = 0;
  std::size_t sending_ = 0;
  bool stopped_ = false;
};

}  // namespace moorfold
