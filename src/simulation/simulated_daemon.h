#pragma once

#include <functional>
#include <memory>
#include <string>

#include "host/core_host.h"
#include "peer/message_codec.h"
#include "simulation/checkers.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_key_value_store.h"
#include "simulation/simulated_router.h"

namespace moorfold {

/// Carries messages between simulated daemons.
class SimulatedNetwork {
 public:
  using Deliver = std::function<void(const DaemonName& from, const PeerPayload& payload)>;
  explicit SimulatedNetwork(World& world) : world_(world) {}

  void Attach(const DaemonName& name, ZoneName zone, Deliver deliver);
  void Detach(const DaemonName& name) { daemons_.erase(name); }
  void Send(const DaemonName& from, const ZoneName& from_zone, const DaemonName& to,
            PeerPayload payload);

 private:
  struct Attached {
    ZoneName zone;
    Deliver deliver;
  };
  World& world_;
  std::map<DaemonName, Attached> daemons_;
};

/// Everything outside one daemon.
struct DaemonSurroundings {
  World* world = nullptr;
  Checkers* checkers = nullptr;
  SimulatedNetwork* network = nullptr;
  SimulatedKeyValueService* key_value = nullptr;
  LaggingMachineList* machines = nullptr;
  Backends backends;
};

/// One daemon: the shipped core host and the request path, over virtual time. It can be killed,
/// paused, stopped as planned, and started again as a new process.
class SimulatedDaemon {
 public:
  SimulatedDaemon(DaemonSurroundings surroundings, DaemonName name, ZoneName zone,
                  const CoreSettings& core, const HostSettings& host_settings);
  ~SimulatedDaemon();

  void Start();
  void Kill();
  void Pause() { process_.Pause(); }
  void Resume() { process_.Resume(); }
  /// Begins a planned stop; `stopped` is called when it is complete.
  void BeginStop(std::function<void()> stopped);
  /// A planted bug: the host forgets what it knew, without a new process.
  void ForgetState();

  bool accepts() const { return process_.alive() && !stopping_; }
  const Process& process() const { return process_; }
  const DaemonName& name() const { return name_; }
  const ZoneName& zone() const { return zone_; }
  SimulatedRouter& router() { return *parts_->router; }
  CoreHost& host() { return *parts_->host; }
  const CoreHost& host() const { return *parts_->host; }
  bool IsCoordinator() const;

 private:
  class Sender;
  class Observer;
  /// What lives and dies with the process.
  struct Parts {
    std::unique_ptr<ProcessScheduler> scheduler;
    std::unique_ptr<Sender> sender;
    std::unique_ptr<Observer> observer;
    std::unique_ptr<SimulatedKeyValueStore> key_value;
    std::unique_ptr<DocumentStore> documents;
    std::unique_ptr<SimulatedMachineList> machine_list;
    std::unique_ptr<SimulatedModelEngine> engines;
    std::unique_ptr<CoreHost> host;
    std::unique_ptr<SimulatedRouter> router;
  };
  void Build();
  void Teardown();
  void AwaitDrained(std::function<void()> stopped);
  void SendPayload(const DaemonName& to, PeerPayload payload);

  DaemonSurroundings surroundings_;
  DaemonName name_;
  ZoneName zone_;
  CoreSettings core_;
  HostSettings host_settings_;
  Process process_;
  std::unique_ptr<Parts> parts_;
  std::vector<std::unique_ptr<Parts>> forgotten_;
  bool stopping_ = false;
};

}  // namespace moorfold
