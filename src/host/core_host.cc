#include "host/core_host.h"

namespace moorfold {
namespace {
constexpr Duration kWatchRetry = std::chrono::seconds(1);
}  // namespace

CoreHost::CoreHost(const Identity& self, const CoreSettings& core, const HostSettings& settings,
                   Ports ports, std::uint64_t seed)
    : settings_(settings),
      ports_(ports),
      random_(seed),
      state_(MakeState(self, core, ports.scheduler->Now())),
      claims_(self.name, self.incarnation) {}

CoreHost::~CoreHost() = default;

template <typename Callback>
auto CoreHost::WhileAlive(Callback callback) {
  return [alive = std::weak_ptr<bool>(alive_), callback = std::move(callback)](auto&&... values) {
    if (!alive.expired()) callback(std::forward<decltype(values)>(values)...);
  };
}

void CoreHost::Start() {
  ScheduleMachineList();
  ScheduleTick();
  ScheduleDemand();
}

void CoreHost::ScheduleTick() {
  ports_.scheduler->After(settings_.tick, WhileAlive([this] {
                            Dispatch(Tick{});
                            ClaimOutput output;
                            claims_.Tick(ports_.scheduler->Now(), output);
                            Carry(output);
                            ScheduleTick();
                          }));
}

void CoreHost::ScheduleDemand() {
  ports_.scheduler->After(settings_.demand_interval, WhileAlive([this] {
                            std::vector<DemandSample> samples = ports_.observer->TakeDemand(false);
                            if (!samples.empty()) Dispatch(DemandObserved{std::move(samples)});
                            ScheduleDemand();
                          }));
}

void CoreHost::ScheduleMachineList() {
  ports_.machine_list->List(WhileAlive([this](const Outcome<MachineListing>& listed) {
    if (listed.ok()) {
      if (listed.value() != state_.listed) OnMachineList(listed.value());
    } else {
      LogFailure("machine_list_unreachable", listed.failure());
    }
    ports_.scheduler->After(settings_.machine_list_interval,
                            WhileAlive([this] { ScheduleMachineList(); }));
  }));
}

void CoreHost::OnMachineList(const MachineListing& listing) {
  Dispatch(MachineListRead{listing});
  std::set<DaemonName> daemons;
  for (const Machine& machine : *listing)
    if (machine.kind == MachineKind::kDaemon) daemons.insert(machine.name);
  claims_.SetListedDaemons(daemons);
}

void CoreHost::Dispatch(EventBody body) {
  const Effects effects = Reduce(state_, {ports_.scheduler->Now(), random_(), std::move(body)});
  for (const Effect& effect : effects)
    std::visit([this](const auto& each) { Carry(each); }, effect);
}

void CoreHost::OnPeerMessage(const DaemonName& from, const PeerMessage& message) {
  Dispatch(MessageReceived{from, message});
}

void CoreHost::OnPeerMessage(const DaemonName& from, const ClaimMessage& message) {
  ClaimOutput output;
  claims_.OnMessage(from, message, ports_.scheduler->Now(), output);
  Carry(output);
}

void CoreHost::OnNudge() {
  std::vector<DemandSample> samples = ports_.observer->TakeDemand(true);
  if (!samples.empty()) Dispatch(DemandObserved{std::move(samples)});
}

void CoreHost::RequestStop() { Dispatch(StopRequested{}); }

void CoreHost::UpdateSettings(const CoreSettings& settings) {
  state_.settings = settings;
  state_.policy = MakeResidencyPolicy(settings);
  ports_.observer->OnLog(
      {LogSeverity::kInfo, "settings_reloaded", {{"policy", ToString(settings.policy)}}});
}

void CoreHost::Claim(std::uint64_t call, const std::string& key, const std::string& holder) {
  ClaimOutput output;
  claims_.Claim(call, key, holder, ports_.scheduler->Now(), output);
  Carry(output);
}

void CoreHost::FinishClaim(const std::string& key, const std::string& holder,
                           const KeptAnswer& answer) {
  ClaimOutput output;
  claims_.Finish(key, holder, answer, ports_.scheduler->Now(), output);
  Carry(output);
}

void CoreHost::GiveClaimBack(const std::string& key, const std::string& holder) {
  ClaimOutput output;
  claims_.GiveBack(key, holder, ports_.scheduler->Now(), output);
  Carry(output);
}

void CoreHost::Carry(const ClaimOutput& output) {
  for (const auto& [to, message] : output.messages) {
    const auto machine = state_.machines.find(to);
    if (machine != state_.machines.end()) ports_.sender->Send(machine->second, message);
  }
  for (const auto& [call, result] : output.finished) ports_.observer->OnClaimFinished(call, result);
}

void CoreHost::Carry(const SendMessage& effect) {
  const auto machine = state_.machines.find(effect.to);
  if (machine != state_.machines.end()) ports_.sender->Send(machine->second, effect.message);
}

void CoreHost::Carry(const ReadLedger&) {
  ports_.documents->ReadLedger(state_.self.zone,
                               WhileAlive([this](const Outcome<std::optional<Ledger>>& read) {
                                 if (read.ok())
                                   Dispatch(LedgerRead{read.value()});
                                 else
                                   LogFailure("ledger_read_failed", read.failure());
                               }));
}

void CoreHost::Carry(const SwapLedger& effect) {
  ports_.documents->SwapLedger(state_.self.zone, effect.expected, effect.proposed,
                               WhileAlive([this, proposed = effect.proposed](SwapOutcome outcome) {
                                 Dispatch(LedgerSwapFinished{proposed, outcome});
                               }));
}

void CoreHost::Carry(const ReadConfiguration& effect) {
  ports_.documents->ReadConfiguration(
      effect.have, WhileAlive([this](const Outcome<std::optional<ConfigurationSnapshot>>& read) {
        if (!read.ok())
          LogFailure("configuration_read_failed", read.failure());
        else if (read.value())
          Dispatch(ConfigurationSnapshotRead{read.value()->revision, read.value()->intent});
      }));
}

void CoreHost::Carry(const WatchConfiguration& effect) {
  watch_.reset();
  claim_watch_.reset();
  if (effect.enabled) StartWatch();
}

void CoreHost::StartWatch() {
  // Both watches end together; the end of the configuration's watch triggers their restart.
  claim_watch_ = ports_.documents->WatchClaimView(
      WhileAlive([this](const ClaimView& view) { Dispatch(ClaimViewRead{view}); }));
  watch_ = ports_.documents->WatchConfiguration(
      WhileAlive(
          [this](const ConfigurationDelta& delta) { Dispatch(ConfigurationDeltaRead{delta}); }),
      // Periodic reads continue; the watch is retried after a delay.
      WhileAlive([this] {
        ports_.observer->OnLog({LogSeverity::kWarning, "configuration_watch_ended", {}});
        ports_.scheduler->After(kWatchRetry, WhileAlive([this] {
                                  if (state_.configuration.watching) StartWatch();
                                }));
      }));
}

void CoreHost::Carry(const ReadClaimView&) {
  ports_.documents->ReadClaimView(WhileAlive([this](const Outcome<std::optional<ClaimView>>& read) {
    if (read.ok())
      Dispatch(ClaimViewRead{read.value()});
    else
      LogFailure("claim_view_read_failed", read.failure());
  }));
}

void CoreHost::Carry(const SwapClaimView& effect) {
  ports_.documents->SwapClaimView(
      effect.expected, effect.proposed,
      WhileAlive([this, proposed = effect.proposed](SwapOutcome outcome) {
        Dispatch(ClaimViewSwapFinished{proposed, outcome});
      }));
}

void CoreHost::Carry(const AdoptClaimView& effect) {
  ClaimOutput output;
  claims_.SetView(effect.view, ports_.scheduler->Now(), output);
  Carry(output);
}

void CoreHost::Carry(const PollServer& effect) {
  const auto server = state_.servers.find(effect.server);
  if (server == state_.servers.end()) return;
  ports_.engines->Report(
      server->second.machine,
      WhileAlive([this, name = effect.server](const Outcome<ServerReport>& report) {
        if (report.ok())
          Dispatch(ServerReported{report.value()});
        else
          Dispatch(ServerUnreachable{name});
      }));
}

void CoreHost::Carry(const SendOrder& effect) {
  const auto server = state_.servers.find(effect.order.server);
  if (server == state_.servers.end()) return;
  ports_.observer->OnLog({LogSeverity::kInfo,
                          "order_sent",
                          {{"order", effect.order.id}, {"server", effect.order.server}}});
  ports_.engines->Execute(server->second.machine, effect.order,
                          WhileAlive([this, order = effect.order](const OrderResult& result) {
                            Dispatch(OrderFinished{order, result.outcome, result.report});
                          }));
}

void CoreHost::Carry(const PublishRouting&) { ports_.observer->OnRoutingChanged(state_); }
void CoreHost::Carry(const PublishLoads& effect) { ports_.observer->OnLoadsChanged(effect.loads); }
void CoreHost::Carry(const LogRecord& effect) { ports_.observer->OnLog(effect); }

void CoreHost::LogFailure(const std::string& event, const PlatformFailure& failure) {
  ports_.observer->OnLog({LogSeverity::kWarning, event, {{"problem", failure.message}}});
}

}  // namespace moorfold
