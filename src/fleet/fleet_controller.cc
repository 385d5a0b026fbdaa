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

constexpr milliseconds kTick{100};
constexpr milliseconds kShortestPlanPause{15};
constexpr int kPauseByDuration = 9;
constexpr milliseconds kReportTimeout{600};
constexpr milliseconds kPollEvery{150};
constexpr milliseconds kLongestOperation{8'000};
constexpr milliseconds kAfterFailure{800};
constexpr milliseconds kAdapterTime{15};
/// Of a server's slots: fuller servers let others wait and preempt them, emptier ones leave rare
/// models without a place. 0.2 in place of it cost 0.036 of what callers
/// were owed (standard error 0.006, paired days of one deployment).
constexpr double kSlotShare = 0.6;

const char* Name(ServerOrderOutcome outcome) {
  switch (outcome) {
    case ServerOrderOutcome::kUnderWay:
      return "under_way";
    case ServerOrderOutcome::kAlreadyDone:
      return "already_done";
    case ServerOrderOutcome::kConflict:
      return "conflict";
    case ServerOrderOutcome::kOtherServer:
      return "other_server";
    case ServerOrderOutcome::kRejected:
      return "rejected";
    case ServerOrderOutcome::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

HeldModel* FindModel(std::vector<HeldModel>& models, const std::string& name) {
  for (HeldModel& held : models)
    if (held.name == name) return &held;
  return nullptr;
}

bool Shows(const std::vector<HeldModel>& models, const ModelReference& name) {
  for (const HeldModel& held : models)
    if (held.name == name.model) return name.adapter.empty() || held.HasAdapter(name.adapter);
  return false;
}

}  // namespace

FleetController::FleetController(boost::asio::io_context& context, const FleetProtocol& protocol,
                                 FleetView& view, LeaderElection& election,
                                 ServerStatements& statements, GatewayMetrics& metrics,
                                 EventLog& log, ControllerSettings settings, NoticeHandler notice)
    : context_(context),
      protocol_(protocol),
      view_(view),
      election_(election),
      statements_(statements),
      metrics_(metrics),
      log_(log),
      settings_(std::move(settings)),
      notice_(std::move(notice)),
      client_(context),
      timer_(context),
      whole_pace_(context),
      adapter_pace_(context) {}

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

void FleetController::PlanSoon() { Soon(whole_pace_, &FleetController::PlanAll); }

void FleetController::PlanAdaptersSoon() { Soon(adapter_pace_, &FleetController::PlanAdapters); }

/// At once, or when enough time has passed since the last plan: planning takes no more than a part
/// of this machine's time.
void FleetController::Soon(Pace& pace, void (FleetController::*plan)()) {
  if (pace.pending) return;
  if (BootClock::now() >= pace.not_before) {
    (this->*plan)();
    return;
  }
  pace.pending = true;
  pace.timer.expires_at(pace.not_before);
  pace.timer.async_wait([this, &pace, plan](const boost::system::error_code& error) {
    pace.pending = false;
    if (!error) (this->*plan)();
  });
}

void FleetController::Rest(Pace& pace, SteadyTime began) {
  const SteadyTime ended = BootClock::now();
  pace.not_before =
      ended + std::max<BootClock::duration>(kShortestPlanPause, (ended - began) * kPauseByDuration);
}

void FleetController::Tick() {
  metrics_.leading = election_.leading() ? 1 : 0;
  PlanSoon();
  timer_.expires_after(kTick);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error && !stopped_) Tick();
  });
}

void FleetController::NoteTerm() {
  if (term_ == election_.fencing_token()) return;
  term_ = election_.fencing_token();
  managed_.clear();
  if (election_.knows_loads()) return;
  constexpr double kShareAssumedUsed = 0.5;
  const double window_s = std::chrono::duration<double>(settings_.load_window).count();
  for (const ServiceDescription& service : view_.routes->configuration().services)
    if (service.engine)
      election_.loads().AssumeUsed(service.engine->loads_per_second * kShareAssumedUsed * window_s,
                                   BootClock::now());
}

void FleetController::PlanAll() {
  if (stopped_ || !view_.routes || !election_.MayOrder()) return;
  NoteTerm();
  NoteSlowLoads();
  Forget();
  const auto began = BootClock::now();
  const RouteTableConstPtr table = view_.routes;
  for (const ServiceDescription& service : table->configuration().services)
    if (service.engine) PlanService(service);
  Rest(whole_pace_, began);
}

void FleetController::PlanAdapters() {
  if (stopped_ || !view_.routes || !election_.MayOrder()) return;
  NoteTerm();
  const auto began = BootClock::now();
  const RouteTableConstPtr table = view_.routes;
  for (const ServiceDescription& service : table->configuration().services)
    if (service.engine) PlanAdapters(service);
  Rest(adapter_pace_, began);
}

void FleetController::PlanAdapters(const ServiceDescription& service) {
  const auto now = BootClock::now();
  std::map<ModelReference, ModelDemand> demand = demand_.Of(service.name, now);
  std::set<std::string> models;
  for (const auto& [name, wanted] : demand)
    if (wanted.waiting > 0 && !name.adapter.empty()) models.insert(name.model);
  std::map<std::string, ServerPtr> holding;
  for (const std::string& model : models)
    for (const ServerPtr& server : view_.servers.ServersWithModel(service.name, model))
      holding.emplace(server->record().id, server);
  if (holding.empty()) return;
  std::vector<PlannedServer> servers;
  for (const auto& [id, server] : holding) servers.push_back(Describe(*server));
  const PlannerLimits limits{0, kSlotShare * service.engine->slots};
  PlacementPlanner planner(*service.engine, std::move(demand), std::move(servers), limits, now);
  Begin(planner.PlanAdaptersOnly());
}

void FleetController::Forget() {
  std::erase_if(managed_,
                [&](const auto& entry) { return view_.servers.Find(entry.first) == nullptr; });
}

FleetController::ManagedPtr FleetController::Managed(const std::string& id) {
  ManagedPtr& managed = managed_[id];
  if (!managed) {
    managed = std::make_shared<ManagedServer>();
    managed->id = id;
  }
  return managed;
}

FleetController::ManagedPtr FleetController::ManagedLife(const ServerRecord& record) {
  // What was known and ordered of an earlier life went with it; what is under way there ends alone.
  const auto found = managed_.find(record.id);
  if (found != managed_.end() && IsLaterLife(record.life, found->second->life))
    managed_.erase(found);
  ManagedPtr managed = Managed(record.id);
  if (managed->life == 0) managed->life = record.life;
  return managed;
}

bool FleetController::Current(const ManagedPtr& managed) const {
  const auto found = managed_.find(managed->id);
  return found != managed_.end() && found->second == managed;
}

PlannedServer FleetController::Describe(const Server& server) {
  const auto now = BootClock::now();
  const ManagedPtr managed = ManagedLife(server.record());
  PlannedServer planned;
  planned.id = server.record().id;
  planned.serving = server.Usable(now) && !server.RejectsRequests(now) && !server.Suspect(now) &&
                    !demand_.Unreachable(server.record().id, now);
  planned.orderable = planned.serving && !managed->operating && now >= managed->not_before &&
                      election_.ServerFree(planned.id);
  const bool own = managed->known;
  planned.models = own ? managed->models : server.record().models;
  planned.in_memory = own ? managed->in_memory : server.record().in_memory;
  planned.on_disk = own ? managed->on_disk : server.record().on_disk;
  planned.incoming = managed->incoming;
  planned.intended = managed->intended;
  return planned;
}

std::size_t FleetController::StoreLoadsUnderWay() const {
  return static_cast<std::size_t>(
      std::count_if(managed_.begin(), managed_.end(), [](const auto& entry) {
        return !entry.second->incoming.empty() && entry.second->from_weight_store;
      }));
}

void FleetController::NoteSlowLoads() {
  const auto now = BootClock::now();
  for (const auto& [id, managed] : managed_)
    if (!managed->incoming.empty() && managed->from_weight_store)
      store_limit_.NoteUnderWay(managed->load_stated,
                                std::chrono::duration_cast<milliseconds>(now - managed->load_began),
                                managed->loads_together, now);
}

milliseconds FleetController::LongestLoad(const EngineDescription& engine) {
  milliseconds longest{0};
  for (const ModelDescription& model : engine.models)
    longest = std::max(longest, std::chrono::duration_cast<milliseconds>(model.load_time));
  return longest;
}

void FleetController::PlanService(const ServiceDescription& service) {
  const auto now = BootClock::now();
  std::vector<PlannedServer> servers;
  for (const ServerPtr& server : view_.servers.Of(service.name))
    servers.push_back(Describe(*server));
  const double loads =
      std::min(election_.loads().Free(service.engine->loads_per_second, now),
               store_limit_.Free(StoreLoadsUnderWay(), LongestLoad(*service.engine)));
  const PlannerLimits limits{loads, kSlotShare * service.engine->slots};
  PlacementPlanner planner(*service.engine, demand_.Of(service.name, now), std::move(servers),
                           limits, now);
  Begin(planner.Plan());
}

void FleetController::Begin(const std::vector<PlacementStep>& steps) {
  for (const PlacementStep& step : steps)
    if (const ServerPtr server = view_.servers.Find(step.server_id)) Begin(step, *server);
}

void FleetController::Begin(const PlacementStep& step, const Server& server) {
  const ManagedPtr managed = Managed(step.server_id);
  managed->operating = true;
  if (!managed->known) {
    boost::asio::co_spawn(context_, AskState(managed, server.record().endpoint),
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
  managed->intended = step.intended;
  if (step.kind == ServerOrderKind::kLoad && step.name.adapter.empty()) {
    managed->incoming = step.name.model;
    managed->from_weight_store = step.from_weight_store;
    managed->ready_at = BootClock::now() + step.expected;
    managed->load_began = BootClock::now();
    managed->load_stated = step.expected;
    managed->loads_together = StoreLoadsUnderWay();
  }
  if (step.from_weight_store) {
    election_.loads().Count(BootClock::now());
    ++metrics_.loads_from_weight_store;
  }
  if (step.kind == ServerOrderKind::kUnload) Notify(*managed, step.name, false);
  boost::asio::co_spawn(context_, CarryOut(managed, step, order, server.record().endpoint),
                        boost::asio::detached);
}

void FleetController::NoteStatement(const std::string& id, const HttpResponse& response,
                                    SteadyTime sent_at) {
  const ServerPtr server = view_.servers.Find(id);
  if (server == nullptr || response.status == kMisdirectedStatus) return;
  statements_.Record(*server, {response.status, response.headers, sent_at, false});
}

Awaitable<std::optional<ServerStatus>> FleetController::ReadReport(const std::string& id,
                                                                   Endpoint endpoint) {
  HttpSendOptions options;
  options.deadline = BootClock::now() + kReportTimeout;
  try {
    HttpRequest request = protocol_.MakeReportQuery(id);
    const SteadyTime sent_at = BootClock::now();
    const HttpResponse response = co_await client_.Send(endpoint, std::move(request), options);
    NoteStatement(id, response, sent_at);
    if (response.status != http_status::kOk) co_return std::nullopt;
    co_return protocol_.ParseReport(response.body);
  } catch (const std::exception& error) {
    log_.Write(LogRank::kDecision, EventLine(LogEvent::kReportFailed)
                                       .Field(LogField::kServer, id)
                                       .Field(LogField::kProblem, error.what()));
  }
  co_return std::nullopt;
}

void FleetController::TakeReport(ManagedServer& managed, const ServerStatus& report) {
  managed.models = report.models;
  for (const HeldModel& incoming : report.incoming)
    if (HeldModel* held = FindModel(managed.models, incoming.name))
      held->adapters.insert(held->adapters.end(), incoming.adapters.begin(),
                            incoming.adapters.end());
  managed.in_memory = report.in_memory;
  managed.on_disk = report.on_disk;
  managed.order_count = report.order_count;
  if (report.life != 0) managed.life = report.life;
}

Awaitable<void> FleetController::AskState(ManagedPtr managed, Endpoint endpoint) {
  const std::optional<ServerStatus> report = co_await ReadReport(managed->id, endpoint);
  managed->operating = false;
  managed->not_before = BootClock::now() + (report && !report->busy ? milliseconds(0)
                                            : report                ? kPollEvery
                                                                    : kAfterFailure);
  if (!report) co_return;
  TakeReport(*managed, *report);
  managed->known = !report->busy;
  PlanAdaptersSoon();
  PlanSoon();
}

Awaitable<ServerOrderOutcome> FleetController::SendOrder(const ServerOrder& order,
                                                         const Endpoint& endpoint) {
  HttpSendOptions options;
  options.deadline = BootClock::now() + LeaderElection::kLongestOrder;
  options.fresh_connection = true;
  try {
    HttpRequest request = protocol_.MakeOrder(order);
    const SteadyTime sent_at = BootClock::now();
    const HttpResponse response = co_await client_.Send(endpoint, std::move(request), options);
    NoteStatement(order.server_id, response, sent_at);
    co_return protocol_.ReadOrderAnswer(response.status);
  } catch (const HttpError&) {
    co_return ServerOrderOutcome::kNoAnswer;
  }
}

void FleetController::NoteOrder(const ServerOrder& order, ServerOrderOutcome outcome) {
  const char* kind = order.kind == ServerOrderKind::kLoad ? "load" : "unload";
  metrics_.orders.Add({{"kind", kind}, {"outcome", Name(outcome)}});
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kOrder)
                                     .Field(LogField::kKind, kind)
                                     .Field(LogField::kModel, order.model)
                                     .Field(LogField::kAdapter, order.adapter)
                                     .Field(LogField::kServer, order.server_id)
                                     .Field(LogField::kOrderCount, order.order_count)
                                     .Field(LogField::kToken, order.fencing_token)
                                     .Field(LogField::kOutcome, Name(outcome)));
}

void FleetController::TakeOutcome(ManagedServer& managed, const PlacementStep& step,
                                  ServerOrderOutcome outcome) {
  if (outcome == ServerOrderOutcome::kUnderWay) {
    ++managed.order_count;
    return;
  }
  const bool adapter_unload = step.kind == ServerOrderKind::kUnload && !step.name.adapter.empty();
  if (outcome == ServerOrderOutcome::kAlreadyDone && adapter_unload) {
    // Done at once, and counted as an order.
    ++managed.order_count;
    TakeAdapterChange(managed, step);
    return;
  }
  managed.known = false;
  managed.incoming.clear();
  if (outcome == ServerOrderOutcome::kAlreadyDone) return;
  if (outcome == ServerOrderOutcome::kNoAnswer && step.from_weight_store)
    election_.loads().CountUnanswered(BootClock::now());
  managed.not_before = BootClock::now() + kAfterFailure;
}

Awaitable<void> FleetController::CarryOut(ManagedPtr managed, PlacementStep step, ServerOrder order,
                                          Endpoint endpoint) {
  ++sending_;
  const ServerOrderOutcome outcome = co_await SendOrder(order, endpoint);
  --sending_;
  election_.NoteOrder(managed->id);
  NoteOrder(order, outcome);
  TakeOutcome(*managed, step, outcome);
  const bool refused =
      outcome != ServerOrderOutcome::kUnderWay && outcome != ServerOrderOutcome::kNoAnswer;
  if (step.kind == ServerOrderKind::kUnload && refused) Notify(*managed, step.name, true);
  if (outcome == ServerOrderOutcome::kUnderWay) co_await AwaitDone(managed, step, endpoint);
  managed->operating = false;
  PlanSoon();
}

void FleetController::TakeAdapterChange(ManagedServer& managed, const PlacementStep& step) {
  HeldModel* held = FindModel(managed.models, step.name.model);
  if (held == nullptr) return;
  std::erase(held->adapters, step.name.adapter);
  if (step.kind == ServerOrderKind::kLoad) held->adapters.push_back(step.name.adapter);
}

BootClock::duration FleetController::PauseOf(const std::string& id) const {
  const ServerPtr server = view_.servers.Find(id);
  if (server == nullptr) return {};
  return server->standing().paused_until - BootClock::now();
}

/// Waits until the server shows the result, and tells the daemons.
Awaitable<void> FleetController::AwaitDone(const ManagedPtr& managed, const PlacementStep& step,
                                           const Endpoint& endpoint) {
  const bool load = step.kind == ServerOrderKind::kLoad;
  if (!step.name.adapter.empty()) {
    if (load) co_await Sleep(kAdapterTime);
    TakeAdapterChange(*managed, step);
    if (load) Notify(*managed, step.name, true);
    co_return;
  }
  const SteadyTime began = BootClock::now();
  const std::size_t together = StoreLoadsUnderWay();
  const SteadyTime give_up = began + step.expected + kLongestOperation;
  if (load)
    notice_({managed->id, step.name, false, std::max<std::int64_t>(1, step.expected.count()),
             managed->life});
  co_await Sleep(load ? step.expected : kPollEvery);
  while (BootClock::now() < give_up && view_.servers.Find(managed->id) != nullptr) {
    const std::optional<ServerStatus> report = co_await ReadReport(managed->id, endpoint);
    // The count of orders begins anew with each life: one that went with the last is never reached.
    if (!Current(managed) || (report && IsLaterLife(report->life, managed->life))) break;
    if (report && report->order_count >= managed->order_count && !report->busy) {
      TakeReport(*managed, *report);
      managed->incoming.clear();
      if (load && step.from_weight_store)
        store_limit_.NoteLoad(step.expected,
                              std::chrono::duration_cast<milliseconds>(BootClock::now() - began),
                              together, BootClock::now());
      if (load && Shows(report->models, step.name)) Notify(*managed, step.name, true);
      co_return;
    }
    co_await Sleep(std::max<BootClock::duration>(kPollEvery, PauseOf(managed->id)));
  }
  managed->known = false;
  managed->incoming.clear();
}

void FleetController::Notify(const ManagedServer& managed, const ModelReference& name, bool held) {
  notice_({managed.id, name, held, 0, managed.life});
}

}  // namespace moorfold
