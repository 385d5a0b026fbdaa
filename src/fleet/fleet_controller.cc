#include "fleet/fleet_controller.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "common/boot_clock.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kPlanInterval{100};
constexpr milliseconds kMinPlanPause{15};
constexpr int kPauseToPlanTimeRatio = 9;
constexpr milliseconds kReportTimeout{600};
constexpr milliseconds kPollInterval{150};
/// Of a report or the answer to an order; a report names some hundred models.
constexpr std::uint64_t kMaxServerAnswerBytes = 256 * 1024;
constexpr milliseconds kCompletionTimeout{8'000};
constexpr milliseconds kFailureBackoff{800};
constexpr milliseconds kAdapterLoadTime{15};
/// Target share of a server's slots. With a higher load, requests queue and are preempted; with a
/// lower one, rarely requested models are not placed. 0.2 instead cost 0.036 of the attainable
/// response value (responses within their route target earn full value; standard error 0.006,
/// paired days of one deployment).
constexpr double kTargetSlotUtilization = 0.6;

/// Cause in the line of an unload.
constexpr const char* kLateResponsesCause = "late_responses";
/// Cause of an order for requests that are bound to the software version of its server.
constexpr const char* kSoftwareVersionCause = "software_version";

const char* OutcomeName(ServerOrderOutcome outcome) {
  switch (outcome) {
    case ServerOrderOutcome::kInProgress:
      return "under_way";
    case ServerOrderOutcome::kAlreadyDone:
      return "already_done";
    case ServerOrderOutcome::kConflict:
      return "conflict";
    case ServerOrderOutcome::kOtherIncarnation:
      return "other_server";
    case ServerOrderOutcome::kRejected:
      return "rejected";
    case ServerOrderOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

LoadedModel* FindModel(std::vector<LoadedModel>& models, const std::string& name) {
  for (LoadedModel& held : models)
    if (held.name == name) return &held;
  return nullptr;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool HoldsReference(const std::vector<LoadedModel>& models, const ModelReference& name) {
  for (const LoadedModel& held : models)
    if (held.name == name.model) return name.adapter.empty() || held.HasAdapter(name.adapter);
  return false;
}

}  // namespace

FleetController::FleetController(boost::asio::io_context& context, const FleetProtocol& protocol,
                                 FleetView& view, LeaderElection& election,
                                 ServerStatements& statements, GatewayMetrics& metrics,
                                 EventLog& log, ControllerSettings settings,
                                 PlacementNoticeHandler notice,
                                 outlook::OutlookAnnouncer::Handler outlook)
    : context_(context),
      protocol_(protocol),
      fleet_view_(view),
      election_(election),
      statements_(statements),
      metrics_(metrics),
      log_(log),
      settings_(std::move(settings)),
      send_notice_(std::move(notice)),
      client_(context),
      timer_(context),
      full_plan_throttle_(context),
      adapter_plan_throttle_(context),
      announcer_(log, std::move(outlook)) {}

void FleetController::Start() { Tick(); }

void FleetController::AddReport(const DemandReport& report) {
  demand_.Add(report, BootClock::now());
  const auto waits = [](const DemandEntry& entry) { return entry.waiting > 0; };
  const auto waits_for_adapter = [](const DemandEntry& entry) {
    return entry.waiting > 0 && !entry.name.adapter.empty();
  };
  if (std::any_of(report.entries.begin(), report.entries.end(), waits_for_adapter))
    PlanAdaptersSoon();
  if (std::any_of(report.entries.begin(), report.entries.end(), waits)) PlanSoon();
}

void FleetController::AddVersionDemand(const VersionDemand& demand) {
  version_demand_.Add(demand, BootClock::now());
  const bool adapters =
      std::any_of(demand.entries.begin(), demand.entries.end(),
                  [](const VersionDemandEntry& entry) { return !entry.name.adapter.empty(); });
  if (adapters) PlanAdaptersSoon();
  PlanSoon();
}

void FleetController::PlanSoon() { SchedulePlan(full_plan_throttle_, &FleetController::PlanAll); }

void FleetController::PlanAdaptersSoon() {
  SchedulePlan(adapter_plan_throttle_, &FleetController::PlanAdapters);
}

/// Runs the plan immediately, or after the pause that follows the previous plan: planning may use
/// only a fraction of this machine's CPU time.
void FleetController::SchedulePlan(PlanThrottle& throttle, void (FleetController::*plan)()) {
  if (throttle.pending) return;
  if (BootClock::now() >= throttle.not_before) {
    (this->*plan)();
    return;
  }
  throttle.pending = true;
  throttle.timer.expires_at(throttle.not_before);
  throttle.timer.async_wait([this, &throttle, plan](const boost::system::error_code& error) {
    throttle.pending = false;
    if (!error) (this->*plan)();
  });
}

void FleetController::SetNextPlanTime(PlanThrottle& throttle, SteadyTime began) {
  const SteadyTime ended = BootClock::now();
  throttle.not_before =
      ended + std::max<BootClock::duration>(kMinPlanPause, (ended - began) * kPauseToPlanTimeRatio);
}

void FleetController::Tick() {
  metrics_.leading = election_.leading() ? 1 : 0;
  PlanSoon();
  timer_.expires_after(kPlanInterval);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !stopped_) Tick();
  });
}

void FleetController::ResetOnNewTerm() {
  if (managed_term_ == election_.fencing_token()) return;
  managed_term_ = election_.fencing_token();
  managed_.clear();
  announcer_.Reset();
  if (election_.load_history_known()) return;
  constexpr double kAssumedLoadRateShare = 0.5;
  const double window_s = std::chrono::duration<double>(settings_.load_window).count();
  for (const ServiceDescription& service : fleet_view_.routes->configuration().services)
    if (service.engine)
      election_.loads().RecordAssumedLoads(
          service.engine->loads_per_second * kAssumedLoadRateShare * window_s, BootClock::now());
}

void FleetController::PlanAll() {
  if (stopped_ || !fleet_view_.routes || !election_.MayOrder()) return;
  ResetOnNewTerm();
  RecordSlowLoads();
  RemoveMissingServers();
  const auto began = BootClock::now();
  const RouteTableConstPtr table = fleet_view_.routes;
  for (const ServiceDescription& service : table->configuration().services)
    if (service.engine) PlanService(service);
  SetNextPlanTime(full_plan_throttle_, began);
}

void FleetController::PlanAdapters() {
  if (stopped_ || !fleet_view_.routes || !election_.MayOrder()) return;
  ResetOnNewTerm();
  const auto began = BootClock::now();
  const RouteTableConstPtr table = fleet_view_.routes;
  for (const ServiceDescription& service : table->configuration().services)
    if (service.engine) PlanAdapters(service);
  SetNextPlanTime(adapter_plan_throttle_, began);
}

void FleetController::PlanAdapters(const ServiceDescription& service) {
  const auto now = BootClock::now();
  std::map<ModelReference, ModelDemand> demand = demand_.ForService(service.name, now);
  std::set<std::string> models;
  for (const auto& [name, wanted] : demand)
    if (wanted.waiting > 0 && !name.adapter.empty()) models.insert(name.model);
  std::vector<VersionNeed> version_needs = version_demand_.ForService(service.name, now);
  for (const VersionNeed& need : version_needs)
    if (need.waiting > 0 && !need.name.adapter.empty()) models.insert(need.name.model);
  std::map<std::string, ServerPtr> holding;
  for (const std::string& model : models)
    for (const ServerPtr& server : fleet_view_.servers.ServersWithModel(service.name, model))
      holding.emplace(server->record().id, server);
  if (holding.empty()) return;
  std::vector<PlannedServer> servers;
  for (const auto& [id, server] : holding) servers.push_back(MakePlannedServer(*server));
  const PlannerLimits limits{0, kTargetSlotUtilization * service.engine->slots};
  PlacementPlanner planner(*service.engine, std::move(demand), std::move(servers), limits, now,
                           std::move(version_needs));
  StartSteps(planner.PlanAdaptersOnly());
}

void FleetController::RemoveMissingServers() {
  std::erase_if(managed_, [&](const auto& entry) {
    return fleet_view_.servers.Find(entry.first) == nullptr;
  });
}

FleetController::ManagedServerPtr FleetController::FindOrCreateManaged(const std::string& id) {
  ManagedServerPtr& managed = managed_[id];
  if (!managed) {
    managed = std::make_shared<ManagedServer>();
    managed->id = id;
  }
  return managed;
}

FleetController::ManagedServerPtr FleetController::ManagedForRecord(const ServerRecord& record) {
  // A restart invalidates the state and the orders of the earlier incarnation. Operations in
  // progress for that incarnation complete on the detached state.
  const auto found = managed_.find(record.id);
  if (found != managed_.end() && IsLaterIncarnation(record.incarnation, found->second->incarnation))
    managed_.erase(found);
  ManagedServerPtr managed = FindOrCreateManaged(record.id);
  if (managed->incarnation == 0) managed->incarnation = record.incarnation;
  return managed;
}

bool FleetController::IsCurrent(const ManagedServerPtr& managed) const {
  const auto found = managed_.find(managed->id);
  return found != managed_.end() && found->second == managed;
}

PlannedServer FleetController::MakePlannedServer(const Server& server) {
  const auto now = BootClock::now();
  const ManagedServerPtr managed = ManagedForRecord(server.record());
  PlannedServer planned;
  planned.id = server.record().id;
  planned.software_version = server.record().software_version;
  planned.serving = server.Usable(now) && !server.RejectsRequests(now) && !server.Suspect(now) &&
                    !demand_.Unreachable(server.record().id, now);
  planned.accepts_orders = planned.serving && !managed->operation_pending &&
                           now >= managed->not_before && election_.ServerSafeToOrder(planned.id);
  const bool use_managed_state = managed->state_known;
  planned.models = use_managed_state ? managed->models : server.record().models;
  planned.in_memory = use_managed_state ? managed->in_memory : server.record().in_memory;
  planned.on_disk = use_managed_state ? managed->on_disk : server.record().on_disk;
  planned.loading_model = managed->loading_model;
  planned.reserved_for = managed->reserved_for;
  return planned;
}

std::size_t FleetController::ActiveStoreLoads() const {
  return static_cast<std::size_t>(
      std::count_if(managed_.begin(), managed_.end(), [](const auto& entry) {
        return !entry.second->loading_model.empty() && entry.second->from_weight_store;
      }));
}

void FleetController::RecordSlowLoads() {
  const auto now = BootClock::now();
  for (const auto& [id, managed] : managed_)
    if (!managed->loading_model.empty() && managed->from_weight_store)
      store_limit_.RecordLoadInProgress(
          managed->expected_load_time,
          std::chrono::duration_cast<milliseconds>(now - managed->load_started),
          managed->concurrent_loads, now);
}

milliseconds FleetController::LongestLoadTime(const EngineDescription& engine) {
  milliseconds longest{0};
  for (const ModelDescription& model : engine.models)
    longest = std::max(longest, std::chrono::duration_cast<milliseconds>(model.load_time));
  return longest;
}

void FleetController::PlanService(const ServiceDescription& service) {
  const auto now = BootClock::now();
  std::vector<PlannedServer> servers;
  for (const ServerPtr& server : fleet_view_.servers.Of(service.name))
    servers.push_back(MakePlannedServer(*server));
  const double loads =
      std::min(election_.loads().AvailableLoads(service.engine->loads_per_second, now),
               store_limit_.AvailableLoads(ActiveStoreLoads(), LongestLoadTime(*service.engine)));
  const PlannerLimits limits{loads, kTargetSlotUtilization * service.engine->slots,
                             MayReplaceLocalReplicas(service.name)};
  PlacementPlanner planner(*service.engine, demand_.ForService(service.name, now),
                           std::move(servers), limits, now,
                           version_demand_.ForService(service.name, now));
  const bool announce = settings_.load_outlook && announcer_.Due(service.name, now) &&
                        outlook::LoadsExceedTarget(fleet_view_.routes->configuration(), service);
  std::vector<std::string> awaited;
  if (announce) awaited = planner.ModelsAwaitingStoreLoad();
  StartSteps(planner.Plan());
  if (announce) AnnounceOutlook(service, std::move(awaited));
}

outlook::WeightStoreState FleetController::CurrentStoreState(const EngineDescription& engine) {
  const auto now = BootClock::now();
  outlook::WeightStoreState state;
  std::vector<std::string> reserved;
  for (const auto& [id, managed] : managed_) {
    if (!managed->loading_model.empty() && managed->from_weight_store)
      state.loads_in_progress.push_back(std::chrono::duration_cast<milliseconds>(
          managed->load_started + managed->expected_load_time - now));
    else if (managed->loading_model.empty() && !managed->reserved_for.empty() &&
             !Contains(managed->in_memory, managed->reserved_for) &&
             !Contains(managed->on_disk, managed->reserved_for))
      reserved.push_back(managed->reserved_for);
  }
  // The load begins as soon as memory is free, before those of the awaited models.
  for (const outlook::AwaitedModel& model : outlook::WithLoadTimes(reserved, engine))
    state.loads_in_progress.push_back(model.load_time);
  // Unlike limit(), this accounts for the load time before any load has been timed.
  state.concurrent_loads =
      static_cast<std::size_t>(store_limit_.AvailableLoads(0, LongestLoadTime(engine)));
  return state;
}

void FleetController::AnnounceOutlook(const ServiceDescription& service,
                                      std::vector<std::string> awaited) {
  std::set<std::string> underway;
  for (const auto& [id, managed] : managed_)
    underway.insert({managed->loading_model, managed->reserved_for});
  std::erase_if(awaited, [&](const std::string& model) { return underway.contains(model); });
  announcer_.Announce(service.name, outlook::WithLoadTimes(awaited, *service.engine),
                      CurrentStoreState(*service.engine), BootClock::now());
}

bool FleetController::MayReplaceLocalReplicas(const std::string& service) const {
  return settings_.replace_local_replicas && fleet_view_.routes->SeparationOf(service).enabled();
}

void FleetController::StartSteps(const std::vector<PlacementStep>& steps) {
  for (const PlacementStep& step : steps)
    if (const ServerPtr server = fleet_view_.servers.Find(step.server_id)) StartStep(step, *server);
}

void FleetController::StartStep(const PlacementStep& step, const Server& server) {
  const ManagedServerPtr managed = FindOrCreateManaged(step.server_id);
  managed->operation_pending = true;
  if (!managed->state_known) {
    boost::asio::co_spawn(context_, QueryState(managed, server.record().endpoint),
                          boost::asio::detached);
    return;
  }
  const ServerOrder order{step.kind,
                          step.name.model,
                          step.name.adapter,
                          managed->id,
                          managed->order_count,
                          settings_.holder,
                          election_.fencing_token()};
  managed->reserved_for = step.reserved_for;
  if (step.kind == ServerOrderKind::kLoad && step.name.adapter.empty()) {
    managed->loading_model = step.name.model;
    managed->from_weight_store = step.from_weight_store;
    managed->ready_at = BootClock::now() + step.expected;
    managed->load_started = BootClock::now();
    managed->expected_load_time = step.expected;
    managed->concurrent_loads = ActiveStoreLoads();
  }
  if (step.from_weight_store) {
    election_.loads().RecordLoad(BootClock::now());
    ++metrics_.loads_from_weight_store;
  }
  if (step.kind == ServerOrderKind::kUnload) Notify(*managed, step.name, false);
  boost::asio::co_spawn(context_, ExecuteOrder(managed, step, order, server.record().endpoint),
                        boost::asio::detached);
}

void FleetController::RecordStatement(const std::string& id, const HttpResponse& response,
                                      SteadyTime sent_at) {
  const ServerPtr server = fleet_view_.servers.Find(id);
  if (server == nullptr || response.status == kMisdirectedStatus) return;
  statements_.Record(*server, {response.status, response.headers, sent_at, false});
}

Awaitable<std::optional<ServerStatus>> FleetController::ReadReport(const std::string& id,
                                                                   Endpoint endpoint) {
  HttpSendOptions options;
  options.deadline = BootClock::now() + kReportTimeout;
  options.most_body_bytes = kMaxServerAnswerBytes;
  try {
    HttpRequest request = protocol_.MakeReportQuery(id);
    options.response_id =
        HttpHeader{protocol_.headers().request_id,
                   settings_.holder + "-report-" + std::to_string(++reports_requested_)};
    request.headers.push_back(*options.response_id);
    const SteadyTime sent_at = BootClock::now();
    const HttpResponse response = co_await client_.Send(endpoint, std::move(request), options);
    RecordStatement(id, response, sent_at);
    if (response.status != http_status::kOk) co_return std::nullopt;
    co_return protocol_.ParseReport(response.body);
  } catch (const std::exception& error) {
    log_.Write(LogRank::kDecision, EventLine(LogEvent::kReportFailed)
                                       .Field(LogField::kServer, id)
                                       .Field(LogField::kProblem, error.what()));
  }
  co_return std::nullopt;
}

void FleetController::ApplyReport(ManagedServer& managed, const ServerStatus& report) {
  managed.models = report.models;
  for (const LoadedModel& incoming : report.incoming)
    if (LoadedModel* held = FindModel(managed.models, incoming.name))
      held->adapters.insert(held->adapters.end(), incoming.adapters.begin(),
                            incoming.adapters.end());
  managed.in_memory = report.in_memory;
  managed.on_disk = report.on_disk;
  managed.order_count = report.order_count;
  if (report.incarnation != 0) managed.incarnation = report.incarnation;
}

Awaitable<void> FleetController::QueryState(ManagedServerPtr managed, Endpoint endpoint) {
  const std::optional<ServerStatus> report = co_await ReadReport(managed->id, endpoint);
  managed->operation_pending = false;
  managed->not_before = BootClock::now() + (report && !report->busy ? milliseconds(0)
                                            : report                ? kPollInterval
                                                                    : kFailureBackoff);
  if (!report) co_return;
  ApplyReport(*managed, *report);
  managed->state_known = !report->busy;
  PlanAdaptersSoon();
  PlanSoon();
}

Awaitable<ServerOrderOutcome> FleetController::SendOrder(const ServerOrder& order,
                                                         const Endpoint& endpoint) {
  HttpSendOptions options;
  options.deadline = BootClock::now() + LeaderElection::kMaxOrderDuration;
  options.most_body_bytes = kMaxServerAnswerBytes;
  options.fresh_connection = true;
  try {
    HttpRequest request = protocol_.MakeOrder(order);
    const SteadyTime sent_at = BootClock::now();
    const HttpResponse response = co_await client_.Send(endpoint, std::move(request), options);
    RecordStatement(order.server_id, response, sent_at);
    co_return protocol_.ReadOrderAnswer(response.status);
  } catch (const HttpError&) {
    co_return ServerOrderOutcome::kNoAnswer;
  }
}

void FleetController::RecordOrder(const PlacementStep& step, const ServerOrder& order,
                                  ServerOrderOutcome outcome) {
  const char* kind = order.kind == ServerOrderKind::kLoad ? "load" : "unload";
  metrics_.orders.Add({{"kind", kind}, {"outcome", OutcomeName(outcome)}});
  EventLine line(LogEvent::kOrder);
  line.Field(LogField::kKind, kind)
      .Field(LogField::kModel, order.model)
      .Field(LogField::kAdapter, order.adapter)
      .Field(LogField::kServer, order.server_id)
      .Field(LogField::kOrderCount, order.order_count)
      .Field(LogField::kToken, order.fencing_token)
      .Field(LogField::kOutcome, OutcomeName(outcome));
  if (step.for_late_responses) {
    line.Field(LogField::kCause, kLateResponsesCause);
    if (outcome == ServerOrderOutcome::kInProgress) ++metrics_.replicas_replaced_for_late_responses;
  }
  if (step.for_software_version) line.Field(LogField::kCause, kSoftwareVersionCause);
  log_.Write(LogRank::kDecision, line);
}

void FleetController::ApplyOutcome(ManagedServer& managed, const PlacementStep& step,
                                   ServerOrderOutcome outcome) {
  if (outcome == ServerOrderOutcome::kInProgress) {
    ++managed.order_count;
    return;
  }
  const bool adapter_unload = step.kind == ServerOrderKind::kUnload && !step.name.adapter.empty();
  if (outcome == ServerOrderOutcome::kAlreadyDone && adapter_unload) {
    // The server completes an adapter unload immediately and counts it as an order.
    ++managed.order_count;
    ApplyAdapterChange(managed, step);
    return;
  }
  managed.state_known = false;
  managed.loading_model.clear();
  if (outcome == ServerOrderOutcome::kAlreadyDone) return;
  if (outcome == ServerOrderOutcome::kNoAnswer && step.from_weight_store)
    election_.loads().RecordUnansweredLoad(BootClock::now());
  managed.not_before = BootClock::now() + kFailureBackoff;
}

Awaitable<void> FleetController::ExecuteOrder(ManagedServerPtr managed, PlacementStep step,
                                              ServerOrder order, Endpoint endpoint) {
  ++sending_;
  const ServerOrderOutcome outcome = co_await SendOrder(order, endpoint);
  --sending_;
  election_.NoteOrder(managed->id);
  RecordOrder(step, order, outcome);
  ApplyOutcome(*managed, step, outcome);
  const bool refused =
      outcome != ServerOrderOutcome::kInProgress && outcome != ServerOrderOutcome::kNoAnswer;
  if (step.kind == ServerOrderKind::kUnload && refused) Notify(*managed, step.name, true);
  if (outcome == ServerOrderOutcome::kInProgress) co_await AwaitCompletion(managed, step, endpoint);
  managed->operation_pending = false;
  PlanSoon();
}

void FleetController::ApplyAdapterChange(ManagedServer& managed, const PlacementStep& step) {
  LoadedModel* held = FindModel(managed.models, step.name.model);
  if (held == nullptr) return;
  std::erase(held->adapters, step.name.adapter);
  if (step.kind == ServerOrderKind::kLoad) held->adapters.push_back(step.name.adapter);
}

BootClock::duration FleetController::RemainingPause(const std::string& id) const {
  const ServerPtr server = fleet_view_.servers.Find(id);
  if (server == nullptr) return {};
  return server->advisory_state().paused_until - BootClock::now();
}

/// Polls the server until it reports the result, then notifies the daemons.
Awaitable<void> FleetController::AwaitCompletion(const ManagedServerPtr& managed,
                                                 const PlacementStep& step,
                                                 const Endpoint& endpoint) {
  const bool load = step.kind == ServerOrderKind::kLoad;
  if (!step.name.adapter.empty()) {
    if (load) co_await Sleep(kAdapterLoadTime);
    ApplyAdapterChange(*managed, step);
    if (load) Notify(*managed, step.name, true);
    co_return;
  }
  const SteadyTime began = BootClock::now();
  const std::size_t loads_at_start = ActiveStoreLoads();
  const SteadyTime give_up = began + step.expected + kCompletionTimeout;
  if (load)
    send_notice_({managed->id, step.name, false, std::max<std::int64_t>(1, step.expected.count()),
                  managed->incarnation});
  co_await Sleep(load ? step.expected : kPollInterval);
  while (BootClock::now() < give_up && fleet_view_.servers.Find(managed->id) != nullptr) {
    const std::optional<ServerStatus> report = co_await ReadReport(managed->id, endpoint);
    // The order count restarts with each incarnation, so a restarted server never reaches the old
    // count.
    if (!IsCurrent(managed) ||
        (report && IsLaterIncarnation(report->incarnation, managed->incarnation)))
      break;
    if (report && report->order_count >= managed->order_count && !report->busy) {
      ApplyReport(*managed, *report);
      managed->loading_model.clear();
      if (load && step.from_weight_store)
        store_limit_.RecordCompletedLoad(
            step.expected, std::chrono::duration_cast<milliseconds>(BootClock::now() - began),
            loads_at_start, BootClock::now());
      if (load && HoldsReference(report->models, step.name)) Notify(*managed, step.name, true);
      co_return;
    }
    co_await Sleep(std::max<BootClock::duration>(kPollInterval, RemainingPause(managed->id)));
  }
  managed->state_known = false;
  managed->loading_model.clear();
}

void FleetController::Notify(const ManagedServer& managed, const ModelReference& name, bool held) {
  send_notice_({managed.id, name, held, 0, managed.incarnation});
}

}  // namespace moorfold
