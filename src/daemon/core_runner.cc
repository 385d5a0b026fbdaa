#include "daemon/core_runner.h"

#include <glog/logging.h>

#include <boost/asio/post.hpp>

#include "daemon/log_line.h"

namespace moorfold {
namespace {

constexpr std::chrono::milliseconds kTick{100};
constexpr int kTicksPerDemand = 5;
constexpr std::chrono::milliseconds kPublishDelay{5};

}  // namespace

CoreRunner::CoreRunner(boost::asio::io_context& context, const DaemonSettings& settings,
                       Identity self, Ports ports, RoutingTablePublisher& tables,
                       TableCallback table_published)
    : context_(context),
      settings_(settings),
      ports_(ports),
      tables_(tables),
      table_published_(std::move(table_published)),
      random_(std::random_device{}()),
      state_(MakeState(self, settings.core, clock_.Now())),
      tick_timer_(context),
      machine_list_timer_(context),
      publish_timer_(context) {}

CoreRunner::~CoreRunner() = default;

void CoreRunner::Start(PeerTransport& transport) {
  transport_ = &transport;
  ScheduleMachineList();
  ScheduleTick();
}

void CoreRunner::ScheduleTick() {
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    if (++ticks_since_demand_ >= kTicksPerDemand) {
      ticks_since_demand_ = 0;
      std::vector<DemandSample> samples = table_builder_.TakeDemand(false);
      if (!samples.empty()) Dispatch(DemandObserved{std::move(samples)});
    }
    Dispatch(Tick{});
    ScheduleTick();
  });
}

void CoreRunner::ScheduleMachineList() {
  ports_.machine_list->List(
      [this, alive = std::weak_ptr<bool>(alive_)](const Outcome<std::vector<Machine>>& listed) {
        if (alive.expired()) return;
        if (listed.ok()) {
          Dispatch(MachineListRead{listed.value()});
        } else {
          LOG_EVERY_N(WARNING, 10)
              << LogLine("machine_list_unreachable").Field("problem", listed.failure().message);
        }
        machine_list_timer_.expires_after(settings_.machine_list_interval);
        machine_list_timer_.async_wait([this](const boost::system::error_code& error) {
          if (!error) ScheduleMachineList();
        });
      });
}

void CoreRunner::Dispatch(EventBody body) {
  const Effects effects = Reduce(state_, {clock_.Now(), random_(), std::move(body)});
  for (const Effect& effect : effects) Carry(effect);
}

void CoreRunner::Carry(const Effect& effect) {
  std::visit([this](const auto& body) { Carry(body); }, effect);
}

void CoreRunner::OnPeerMessage(const DaemonName& from, const PeerMessage& message) {
  Dispatch(MessageReceived{from, message});
}

void CoreRunner::OnNudge() {
  std::vector<DemandSample> samples = table_builder_.TakeDemand(true);
  if (!samples.empty()) Dispatch(DemandObserved{std::move(samples)});
}

void CoreRunner::UpdateSettings(const CoreSettings& settings) {
  state_.settings = settings;
  state_.policy = MakeResidencyPolicy(settings);
  LOG(INFO) << LogLine("settings_reloaded").Field("policy", ToString(settings.policy));
}

void CoreRunner::RequestStop() { Dispatch(StopRequested{}); }

void CoreRunner::Carry(const SendMessage& effect) {
  const auto machine = state_.machines.find(effect.to);
  if (machine == state_.machines.end()) return;
  transport_->Send({machine->second.address, machine->second.peer_port}, effect.message);
}

void CoreRunner::Carry(const ReadLedger&) {
  ports_.documents->ReadLedger(state_.self.zone, [this, alive = std::weak_ptr<bool>(alive_)](
                                                     const Outcome<std::optional<Ledger>>& read) {
    if (alive.expired()) return;
    if (read.ok())
      Dispatch(LedgerRead{read.value()});
    else
      LOG(WARNING) << LogLine("ledger_read_failed").Field("problem", read.failure().message);
  });
}

void CoreRunner::Carry(const SwapLedger& effect) {
  ports_.documents->SwapLedger(
      state_.self.zone, effect.expected, effect.proposed,
      [this, alive = std::weak_ptr<bool>(alive_), proposed = effect.proposed](SwapOutcome outcome) {
        if (!alive.expired()) Dispatch(LedgerSwapFinished{proposed, outcome});
      });
}

void CoreRunner::Carry(const ReadConfiguration& effect) {
  ports_.documents->ReadConfiguration(
      effect.have, [this, alive = std::weak_ptr<bool>(alive_)](
                       const Outcome<std::optional<ConfigurationSnapshot>>& read) {
        if (alive.expired()) return;
        if (!read.ok())
          LOG(WARNING)
              << LogLine("configuration_read_failed").Field("problem", read.failure().message);
        else if (read.value())
          Dispatch(ConfigurationSnapshotRead{read.value()->revision, read.value()->intent});
      });
}

void CoreRunner::Carry(const WatchConfiguration& effect) {
  watch_.reset();
  if (effect.enabled) StartWatch();
}

void CoreRunner::StartWatch() {
  const std::weak_ptr<bool> alive = alive_;
  watch_ = ports_.documents->WatchConfiguration(
      [this, alive](const ConfigurationDelta& delta) {
        if (!alive.expired()) Dispatch(ConfigurationDeltaRead{delta});
      },
      [this, alive] {
        if (alive.expired()) return;
        LOG(WARNING) << LogLine("configuration_watch_ended");
        // The regular reads go on meanwhile; the watch is tried again a little later.
        auto retry = std::make_shared<boost::asio::steady_timer>(context_, std::chrono::seconds(1));
        retry->async_wait([this, alive, retry](const boost::system::error_code&) {
          if (!alive.expired() && state_.configuration.watching) StartWatch();
        });
      });
}

void CoreRunner::Carry(const PollServer& effect) {
  const auto server = state_.servers.find(effect.server);
  if (server == state_.servers.end()) return;
  ports_.engines->Report(server->second.machine,
                         [this, alive = std::weak_ptr<bool>(alive_),
                          name = effect.server](const Outcome<ServerReport>& report) {
                           if (alive.expired()) return;
                           if (report.ok())
                             Dispatch(ServerReported{report.value()});
                           else
                             Dispatch(ServerUnreachable{name});
                         });
}

void CoreRunner::Carry(const SendOrder& effect) {
  const auto server = state_.servers.find(effect.order.server);
  if (server == state_.servers.end()) return;
  LOG(INFO)
      << LogLine("order_sent").Field("order", effect.order.id).Field("server", effect.order.server);
  ports_.engines->Execute(
      server->second.machine, effect.order,
      [this, alive = std::weak_ptr<bool>(alive_), order = effect.order](const OrderResult& result) {
        if (!alive.expired()) Dispatch(OrderFinished{order, result.outcome, result.report});
      });
}

void CoreRunner::Carry(const PublishRouting&) {
  if (publish_pending_) return;
  publish_pending_ = true;
  publish_timer_.expires_after(kPublishDelay);
  publish_timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) PublishTable();
  });
}

void CoreRunner::PublishTable() {
  publish_pending_ = false;
  tables_.Publish(table_builder_.Build(state_));
  table_published_();
}

void CoreRunner::Carry(const PublishLoads& effect) { table_builder_.UpdateLoads(effect.loads); }

void CoreRunner::Carry(const LogRecord& effect) {
  LogLine line(effect.name);
  for (const auto& [key, value] : effect.fields) line.Field(key, value);
  if (effect.severity == LogSeverity::kInfo)
    LOG(INFO) << line;
  else
    LOG(WARNING) << line;
}

}  // namespace moorfold
