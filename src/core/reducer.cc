#include "core/reducer.h"

#include <algorithm>

#include "core/load/coordinator.h"
#include "core/reports/report_sharing.h"

namespace moorfold {
namespace {

constexpr Duration kRequestInterval = std::chrono::milliseconds(500);
constexpr Duration kDemandInterval = std::chrono::seconds(2);

/// Applies one event to the reducers of all concerns.
class EventReducer {
 public:
  EventReducer(State& state, const Event& event)
      : state_(state),
        now_(event.now),
        random_(event.random),
        membership_(state.self, state.settings, state.membership),
        configuration_(state.configuration),
        claim_views_(state.self, state.settings, state.membership, state.claim_views),
        sharing_(state, event.now, effects_),
        coordinator_(state, event.now, effects_) {}

  Effects Run(const EventBody& body) {
    std::visit([this](const auto& event) { On(event); }, body);
    return std::move(effects_);
  }

 private:
  Digest OwnDigest() const {
    return {state_.configuration.revision, state_.ledger.ledger.revision,
            state_.membership.own_incarnation, state_.self.incarnation,
            state_.claim_views.view.number};
  }

  void On(const Tick&) {
    if (membership_.OnTick(now_, random_, OwnDigest(), effects_)) MembersChanged();
    coordinator_.UpdateRole();
    UpdateWatch();
    sharing_.OnTick();
    SendZoneDigest();
    ForwardDemand(false);
    coordinator_.ReconcilePlacement();
    if (now_ - state_.last_plan < state_.settings.plan_interval) return;
    state_.last_plan = now_;
    if (state_.coordinator.active) claim_views_.Maintain(now_, effects_);
    coordinator_.PlanOrders();
  }

  void On(const MessageReceived& event) {
    std::visit([&](const auto& message) { OnMessage(event.from, message); }, event.message);
  }

  void On(const MachineListRead& event) {
    const bool same = state_.listed != nullptr &&
                      (event.machines == state_.listed || *event.machines == *state_.listed);
    if (same) return;
    state_.listed = event.machines;
    state_.machines.clear();
    for (auto& [name, server] : state_.servers) server.listed = false;
    for (const Machine& machine : *event.machines) {
      state_.machines[machine.name] = machine;
      if (machine.kind != MachineKind::kEngine || machine.zone != state_.self.zone) continue;
      ServerView& server = state_.servers[machine.name];
      server.machine = machine;
      server.listed = true;
    }
    membership_.UpdateListed(*event.machines, now_);
    state_.coordinator.placement_dirty = true;
    MembersChanged();
  }

  void On(const ConfigurationSnapshotRead& event) {
    const Revision before = state_.configuration.revision;
    if (!configuration_.Apply(event.revision, event.intent, now_)) return;
    ConfigurationChanged();
    const ConfigurationDelta& delta = state_.configuration.recent.back();
    if (before != 0) PushConfiguration(delta);
  }

  void On(const ConfigurationDeltaRead& event) {
    if (configuration_.Apply(event.delta, now_)) {
      ConfigurationChanged();
      PushConfiguration(event.delta);
    } else if (event.delta.revision > state_.configuration.revision) {
      effects_.push_back(ReadConfiguration{state_.configuration.revision});
    }
  }

  void On(const LedgerRead& event) {
    state_.ledger.absent = !event.ledger;
    if (event.ledger) AdoptLedger(*event.ledger);
  }

  void On(const LedgerSwapFinished& event) {
    coordinator_.OnSwapFinished(event);
    LedgerChanged();
  }

  void On(const ClaimViewRead& event) {
    if (AdoptView(event.view.value_or(ClaimView{}))) PushClaimView();
  }

  void On(const ClaimViewSwapFinished& event) {
    if (event.outcome != SwapOutcome::kCommitted)
      effects_.push_back(ReadClaimView{});
    else if (AdoptView(event.proposed))
      PushClaimView();
  }

  void On(const ServerReported& event) {
    coordinator_.OnServerReported(event.report.server);
    if (sharing_.Accept(event.report, true)) ReplicasChanged();
  }

  void On(const ServerUnreachable& event) {
    Log(LogSeverity::kWarning, "server_unreachable", {{"server", event.server}});
  }

  void On(const OrderFinished& event) {
    if (event.report) sharing_.Accept(*event.report, true);
    coordinator_.OnOrderFinished(event);
    ReplicasChanged();
  }

  void On(const DemandObserved& event) {
    for (const DemandSample& sample : event.samples)
      RecordSample(state_.demand.models[sample.model], state_.self.name, sample, now_);
    const bool urgent = std::any_of(event.samples.begin(), event.samples.end(),
                                    [](const DemandSample& sample) { return sample.waiting > 0; });
    ForwardDemand(urgent);
    if (urgent) coordinator_.PlanOrders();
  }

  void On(const StopRequested&) {
    state_.stopping = true;
    membership_.Leave(effects_);
    MembersChanged();
    coordinator_.UpdateRole();
  }

  void OnMessage(const DaemonName& from, const ProbeMessage& message) {
    if (membership_.OnProbe(from, message, now_, OwnDigest(), effects_)) MembersChanged();
    if (message.on_behalf_of.empty()) CompareDigest(from, message.digest);
  }
  void OnMessage(const DaemonName& from, const ProbeAckMessage& message) {
    if (membership_.OnAck(from, message, now_, effects_)) MembersChanged();
    CompareDigest(from, message.digest);
  }
  void OnMessage(const DaemonName& from, const IndirectProbeMessage& message) {
    if (membership_.OnIndirectProbe(from, message, now_, OwnDigest(), effects_)) MembersChanged();
  }
  void OnMessage(const DaemonName& from, const LeaveMessage& message) {
    if (membership_.OnLeave(from, message, now_)) MembersChanged();
  }

  void OnMessage(const DaemonName& from, const ZoneDigestMessage& message) {
    const Revision own = state_.configuration.revision;
    RequestClaimView(from, message.digest);
    if (message.digest.configuration_revision > own) RequestConfiguration(from);
    if (message.digest.configuration_revision < own ||
        message.digest.claim_view < state_.claim_views.view.number)
      effects_.push_back(SendMessage{from, ZoneDigestMessage{state_.self.zone, OwnDigest()}});
  }

  void OnMessage(const DaemonName& from, const ClaimViewRequest&) {
    effects_.push_back(SendMessage{from, ClaimViewMessage{state_.claim_views.view}});
  }
  void OnMessage(const DaemonName&, const ClaimViewMessage& message) { AdoptView(message.view); }

  void OnMessage(const DaemonName& from, const ConfigurationRequest& message) {
    configuration_.Answer(from, message.have, effects_);
  }
  void OnMessage(const DaemonName& from, const ConfigurationDeltaMessage& message) {
    if (configuration_.Apply(message.delta, now_))
      ConfigurationChanged();
    else if (message.delta.revision > state_.configuration.revision)
      RequestConfiguration(from);
  }
  void OnMessage(const DaemonName&, const ConfigurationSnapshotMessage& message) {
    if (configuration_.Apply(message.revision, message.intent, now_)) ConfigurationChanged();
  }

  void OnMessage(const DaemonName& from, const LedgerRequest& message) {
    if (message.have < state_.ledger.ledger.revision)
      effects_.push_back(SendMessage{from, LedgerSnapshotMessage{state_.ledger.ledger}});
  }
  void OnMessage(const DaemonName& from, const LedgerDeltaMessage& message) {
    if (ApplyDelta(message.delta, state_.ledger.ledger))
      LedgerChanged();
    else if (message.delta.revision > state_.ledger.ledger.revision)
      RequestLedger(from);
  }
  void OnMessage(const DaemonName&, const LedgerSnapshotMessage& message) {
    AdoptLedger(message.ledger);
  }

  void OnMessage(const DaemonName&, const ServerReportsMessage& message) {
    bool changed = false;
    for (const ServerReport& report : message.reports)
      changed = sharing_.Accept(report, false) || changed;
    if (changed) ReplicasChanged();
  }
  void OnMessage(const DaemonName& from, const ServerReportsRequest&) {
    sharing_.AnswerRequest(from);
  }
  void OnMessage(const DaemonName&, const ServerLoadsMessage& message) {
    sharing_.AcceptLoads(message);
    effects_.push_back(PublishLoads{message.loads});
  }
  void OnMessage(const DaemonName& from, const DemandMessage& message) {
    bool urgent = false;
    for (const DemandSample& sample : message.samples) {
      RecordSample(state_.demand.models[sample.model], from, sample, now_);
      urgent = urgent || sample.waiting > 0;
    }
    if (urgent) coordinator_.PlanOrders();
  }

  void CompareDigest(const DaemonName& from, const Digest& digest) {
    RequestClaimView(from, digest);
    if (digest.configuration_revision > state_.configuration.revision) RequestConfiguration(from);
    if (digest.ledger_revision > state_.ledger.ledger.revision) RequestLedger(from);
  }

  void RequestClaimView(const DaemonName& from, const Digest& digest) {
    ClaimViewState& claims = state_.claim_views;
    if (digest.claim_view <= claims.view.number) return;
    if (now_ - claims.last_request < kRequestInterval) return;
    claims.last_request = now_;
    effects_.push_back(SendMessage{from, ClaimViewRequest{}});
  }

  /// Broadcasts a new view immediately: until all daemons have it, claims made under another view
  /// are refused.
  void PushClaimView() {
    for (const DaemonName& member : state_.membership.alive)
      if (member != state_.self.name)
        effects_.push_back(SendMessage{member, ClaimViewMessage{state_.claim_views.view}});
  }

  /// @return whether the view is newer than the known one.
  bool AdoptView(const ClaimView& view) {
    if (!claim_views_.Adopt(view)) return false;
    effects_.push_back(AdoptClaimView{view});
    Log(LogSeverity::kInfo, "claim_view_adopted",
        {{"number", std::to_string(view.number)}, {"owners", std::to_string(view.owners.size())}});
    return true;
  }

  void RequestConfiguration(const DaemonName& from) {
    if (now_ - state_.configuration.last_request < kRequestInterval) return;
    state_.configuration.last_request = now_;
    effects_.push_back(SendMessage{from, ConfigurationRequest{state_.configuration.revision}});
  }

  void RequestLedger(const DaemonName& from) {
    if (now_ - state_.ledger.last_request < kRequestInterval) return;
    state_.ledger.last_request = now_;
    effects_.push_back(SendMessage{from, LedgerRequest{state_.ledger.ledger.revision}});
  }

  void PushConfiguration(const ConfigurationDelta& delta) {
    for (const DaemonName& member : state_.membership.alive)
      if (member != state_.self.name)
        effects_.push_back(SendMessage{member, ConfigurationDeltaMessage{delta}});
  }

  void AdoptLedger(const Ledger& ledger) {
    if (ledger.revision <= state_.ledger.ledger.revision) return;
    state_.ledger.ledger = ledger;
    state_.ledger.absent = false;
    LedgerChanged();
  }

  void LedgerChanged() {
    coordinator_.UpdateRole();
    coordinator_.ReconcilePlacement();
    coordinator_.PlanOrders();
    effects_.push_back(PublishRouting{});
  }

  void ReplicasChanged() {
    state_.coordinator.placement_dirty = true;
    sharing_.ShareReports();
    effects_.push_back(PublishRouting{});
    coordinator_.ReconcilePlacement();
    coordinator_.PlanOrders();
  }

  void ConfigurationChanged() {
    state_.coordinator.placement_dirty = true;
    Log(LogSeverity::kInfo, "configuration_in_force",
        {{"revision", std::to_string(state_.configuration.revision)}});
    effects_.push_back(PublishRouting{});
    coordinator_.ReconcilePlacement();
  }

  void MembersChanged() {
    sharing_.AssignServers();
    coordinator_.UpdateRole();
    effects_.push_back(PublishRouting{});
  }

  /// The first few members by rank watch the service. They also read it periodically, since a watch
  /// can fail without notice.
  void UpdateWatch() {
    const bool should_watch = !state_.stopping && RankOf(state_.membership, state_.self.name) <
                                                      state_.settings.watchers_per_zone;
    ConfigurationState& configuration = state_.configuration;
    if (should_watch != configuration.watching) {
      configuration.watching = should_watch;
      effects_.push_back(WatchConfiguration{should_watch});
    }
    const bool uninformed = configuration.revision == 0;
    if (!should_watch && !uninformed) return;
    const Duration interval =
        uninformed ? state_.settings.leader_patience : state_.settings.configuration_read_interval;
    if (now_ - configuration.last_read < interval) return;
    configuration.last_read = now_;
    effects_.push_back(ReadConfiguration{configuration.revision});
  }

  /// The watchers compare revisions with one daemon of another zone at a time, which updates a zone
  /// that cannot reach the service.
  void SendZoneDigest() {
    if (!state_.configuration.watching) return;
    if (now_ - state_.last_zone_digest < state_.settings.zone_digest_interval) return;
    state_.last_zone_digest = now_;
    std::vector<DaemonName> others;
    for (const auto& [name, machine] : state_.machines)
      if (machine.kind == MachineKind::kDaemon && machine.zone != state_.self.zone)
        others.push_back(name);
    if (others.empty()) return;
    const DaemonName& peer = others[random_ % others.size()];
    effects_.push_back(SendMessage{peer, ZoneDigestMessage{state_.self.zone, OwnDigest()}});
  }

  void ForwardDemand(bool urgent) {
    const DaemonName coordinator = CoordinatorOf(state_);
    if (coordinator == state_.self.name || coordinator.empty()) return;
    if (!urgent && now_ - state_.last_demand_sent < kDemandInterval) return;
    DemandMessage message;
    for (const auto& [name, demand] : state_.demand.models) {
      for (const auto& [key, router] : demand.routers) {
        if (key.first != state_.self.name || router.received <= state_.last_demand_sent) continue;
        message.samples.push_back(router.sample);
      }
    }
    state_.last_demand_sent = now_;
    if (!message.samples.empty()) effects_.push_back(SendMessage{coordinator, message});
  }

  void Log(LogSeverity severity, std::string name,
           std::vector<std::pair<std::string, std::string>> fields) {
    effects_.push_back(LogRecord{severity, std::move(name), std::move(fields)});
  }

  State& state_;
  Timestamp now_;
  std::uint64_t random_;
  Effects effects_;
  Membership membership_;
  Configuration configuration_;
  ClaimViews claim_views_;
  ReportSharing sharing_;
  Coordinator coordinator_;
};

}  // namespace

State MakeState(const Identity& self, const CoreSettings& settings, Timestamp now) {
  State state;
  state.self = self;
  state.settings = settings;
  state.policy = MakeResidencyPolicy(settings);
  state.started = now;
  state.membership.own_incarnation = self.incarnation;
  state.membership.alive = {self.name};
  state.ledger.leader_seen = now;
  return state;
}

DaemonName CoordinatorOf(const State& state) {
  if (IsAlive(state.membership, state.ledger.ledger.leader)) return state.ledger.ledger.leader;
  if (state.membership.alive.empty()) return {};
  return state.membership.alive.front();
}

Effects Reduce(State& state, const Event& event) {
  EventReducer reducer(state, event);
  return reducer.Run(event.body);
}

}  // namespace moorfold
