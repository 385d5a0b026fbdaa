#include "simulation/simulated_daemon.h"

namespace moorfold {
namespace {

constexpr Duration kDrainCheck = std::chrono::milliseconds(50);

bool IsConfiguration(const PeerPayload& payload) {
  const auto* message = std::get_if<PeerMessage>(&payload);
  return message != nullptr && (std::holds_alternative<ConfigurationDeltaMessage>(*message) ||
                                std::holds_alternative<ConfigurationSnapshotMessage>(*message));
}

}  // namespace

void SimulatedNetwork::Attach(const DaemonName& name, ZoneName zone, Deliver deliver) {
  daemons_[name] = {std::move(zone), std::move(deliver)};
}

void SimulatedNetwork::Send(const DaemonName& from, const ZoneName& from_zone, const DaemonName& to,
                            PeerPayload payload) {
  const auto target = daemons_.find(to);
  if (target == daemons_.end() || world_.Cut(from_zone, target->second.zone)) return;
  if (world_.Chance(world_.faults.message_loss)) return;
  if (world_.bugs.configuration_is_not_spread && IsConfiguration(payload)) return;
  const Duration delay = world_.NetworkDelay(from_zone, target->second.zone);
  world_.queue.After(delay, [this, from, to, payload = std::move(payload)] {
    const auto receiver = daemons_.find(to);
    if (receiver == daemons_.end()) return;
    receiver->second.deliver(from, payload);
  });
}

class SimulatedDaemon::Sender : public PeerSender {
 public:
  explicit Sender(SimulatedDaemon& daemon) : daemon_(daemon) {}
  void Send(const Machine& to, const PeerMessage& message) override {
    daemon_.SendPayload(to.name, message);
  }
  void Send(const Machine& to, const ClaimMessage& message) override {
    daemon_.SendPayload(to.name, message);
  }

 private:
  SimulatedDaemon& daemon_;
};

class SimulatedDaemon::Observer : public HostObserver {
 public:
  explicit Observer(SimulatedDaemon& daemon) : daemon_(daemon) {}
  void OnRoutingChanged(const State& state) override {
    daemon_.surroundings_.checkers->OnConfigurationInForce(daemon_.name_, daemon_.process_.life(),
                                                           state.configuration.revision);
    if (daemon_.parts_ && daemon_.parts_->router) daemon_.parts_->router->OnRoutingChanged();
  }
  void OnLoadsChanged(const std::vector<ServerLoad>& loads) override {
    daemon_.parts_->router->OnLoadsChanged(loads);
  }
  void OnLog(const LogRecord& record) override {
    std::string line = daemon_.name_ + " " + record.name;
    for (const auto& [key, value] : record.fields)
      line.append(" ").append(key).append("=").append(value);
    daemon_.surroundings_.checkers->Note(std::move(line));
  }
  std::vector<DemandSample> TakeDemand(bool waiting_only) override {
    return daemon_.parts_->router->TakeDemand(waiting_only);
  }
  void OnClaimFinished(std::uint64_t call, const ClaimResult& result) override {
    daemon_.parts_->router->OnClaimFinished(call, result);
  }

 private:
  SimulatedDaemon& daemon_;
};

SimulatedDaemon::SimulatedDaemon(DaemonSurroundings surroundings, DaemonName name, ZoneName zone,
                                 const CoreSettings& core, const HostSettings& host_settings)
    : surroundings_(std::move(surroundings)),
      name_(std::move(name)),
      zone_(std::move(zone)),
      core_(core),
      host_settings_(host_settings),
      process_(surroundings_.world->queue) {}

SimulatedDaemon::~SimulatedDaemon() = default;

void SimulatedDaemon::SendPayload(const DaemonName& to, PeerPayload payload) {
  surroundings_.network->Send(name_, zone_, to, std::move(payload));
}

void SimulatedDaemon::Build() {
  World& world = *surroundings_.world;
  parts_ = std::make_unique<Parts>();
  Parts& parts = *parts_;
  const auto boot = static_cast<Incarnation>(world.queue.Now().time_since_epoch().count());
  parts.scheduler = std::make_unique<ProcessScheduler>(world.queue, process_);
  parts.sender = std::make_unique<Sender>(*this);
  parts.observer = std::make_unique<Observer>(*this);
  parts.key_value =
      std::make_unique<SimulatedKeyValueStore>(*surroundings_.key_value, process_, zone_);
  parts.documents = std::make_unique<DocumentStore>(*parts.key_value);
  parts.machine_list =
      std::make_unique<SimulatedMachineList>(world, process_, *surroundings_.machines);
  parts.engines = std::make_unique<SimulatedModelEngine>(world, process_, zone_,
                                                         *surroundings_.backends.engines);
  parts.host = std::make_unique<CoreHost>(
      Identity{name_, zone_, boot}, core_, host_settings_,
      CoreHost::Ports{parts.scheduler.get(), parts.sender.get(), parts.observer.get(),
                      parts.documents.get(), parts.machine_list.get(), parts.engines.get()},
      world.random());
  parts.router = std::make_unique<SimulatedRouter>(world, *surroundings_.checkers, process_,
                                                   *parts.host, surroundings_.backends);
  parts.host->Start();
}

void SimulatedDaemon::Start() {
  stopping_ = false;
  process_.Start();
  surroundings_.checkers->OnDaemonStarted(name_);
  Build();
  surroundings_.network->Attach(
      name_, zone_, process_.Gate([this](const DaemonName& from, const PeerPayload& payload) {
        std::visit([&](const auto& message) { parts_->host->OnPeerMessage(from, message); },
                   payload);
      }));
}

void SimulatedDaemon::Teardown() {
  surroundings_.network->Detach(name_);
  process_.Kill();
  surroundings_.checkers->OnDaemonStopped(name_);
  // Freed later: this may run inside one of the parts' own callbacks.
  surroundings_.world->queue.After(Duration{0},
                                   [parts = std::shared_ptr<Parts>(std::move(parts_))] {});
}

void SimulatedDaemon::Kill() {
  if (process_.alive()) Teardown();
}

void SimulatedDaemon::ForgetState() {
  if (!process_.alive() || process_.paused() || !forgotten_.empty()) return;
  forgotten_.push_back(std::move(parts_));  // Its events are still under way.
  Build();
}

void SimulatedDaemon::BeginStop(std::function<void()> stopped) {
  if (!process_.alive() || stopping_) return;
  stopping_ = true;
  parts_->host->RequestStop();
  if (surroundings_.world->bugs.planned_stops_do_not_drain) {
    for (const SimulatedRequestPtr& request : parts_->router->Requests())
      surroundings_.checkers->OnCutByPlannedStop(*request);
    Teardown();
    stopped();
    return;
  }
  AwaitDrained(std::move(stopped));
}

void SimulatedDaemon::AwaitDrained(std::function<void()> stopped) {
  if (parts_->router->active() == 0) {
    Teardown();
    stopped();
    return;
  }
  surroundings_.world->queue.After(
      kDrainCheck, process_.Gate([this, stopped = std::move(stopped)] { AwaitDrained(stopped); }));
}

bool SimulatedDaemon::IsCoordinator() const {
  return process_.alive() && parts_->host->state().coordinator.active;
}

}  // namespace moorfold
