#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/deployment_file.h"
#include "modelled/engine_model.h"
#include "modelled/lagging_machine_list.h"
#include "modelled/weight_store_model.h"
#include "ports/machine_list.h"
#include "ports/model_engine.h"
#include "simulation/checkers.h"
#include "simulation/process.h"
#include "simulation/simulated_request.h"
#include "simulation/world.h"

namespace moorfold {

/// The weight store in virtual time.
class SimulatedWeightStore {
 public:
  SimulatedWeightStore(World& world, WeightStoreTraits traits) : world_(world), model_(traits) {}
  TransferId Start(MebiBytes size, std::function<void()> done);
  void Cancel(TransferId transfer);
  void SetSlowdown(double factor);

 private:
  void Schedule();
  void Collect();

  World& world_;
  WeightStoreModel model_;
  std::map<TransferId, std::function<void()>> callbacks_;
  std::uint64_t schedule_ = 0;  ///< Only the newest wake-up counts.
};

/// How a back end answered one attempt.
enum class BackendAnswer : std::uint8_t { kDone, kNotRun, kLeaving, kBroken };

struct BackendReply {
  BackendAnswer answer = BackendAnswer::kNotRun;
  std::uint64_t answers_request = 0;  ///< The request it belongs to; crossed ones differ.
};
using BackendCallback = std::function<void(BackendReply)>;

struct EngineUsage {
  double loaded_accelerator_seconds = 0;
  double idle_accelerator_seconds = 0;
  std::uint64_t loads_started = 0;
  std::uint64_t loads_completed = 0;
  std::uint64_t loads_aborted = 0;
};

/// One accelerator server in virtual time: memory and orders by EngineModel, requests by
/// continuous batching with priorities and a prefix cache.
class SimulatedEngine {
 public:
  SimulatedEngine(World& world, Checkers& checkers, SimulatedWeightStore& store, Machine machine,
                  EngineTraits traits, EngineUsage& usage);

  const Machine& machine() const { return machine_; }
  EngineModel& model() { return model_; }
  bool alive() const { return alive_; }
  Timestamp leaving_since() const { return leaving_since_; }

  /// Called at the engine, after the network. @param first_token called when it is made.
  void Accept(const SimulatedRequestPtr& request, std::function<void()> first_token,
              BackendCallback done);
  void Execute(const Order& order, std::function<void(OrderResult)> done);
  ServerReport Report();

  void Kill();
  void Restart();
  void Leave();
  void AbortNextLoad() { abort_loads_ = 1; }
  /// Adds the time since the last call to the usage.
  void Account();

 private:
  struct Running {
    SimulatedRequestPtr request;
    std::function<void()> first_token;
    BackendCallback done;
    ModelVersion servable;
  };
  struct Batch {
    std::uint32_t running = 0;
    std::map<std::pair<Priority, std::uint64_t>, std::uint64_t> waiting;  ///< To Running.
    std::vector<std::uint64_t> prefixes;  ///< Least recently used first.
  };
  struct Load {
    TransferId transfer = 0;
    std::uint64_t number = 0;
    std::vector<std::function<void(OrderResult)>> waiting;
  };

  void StartNext(const ModelVersion& servable);
  void Run(std::uint64_t number);
  void EndRun(std::uint64_t number, BackendReply reply);
  void StartLoad(const Order& order);
  void EndLoad(const ModelVersion& servable, std::uint64_t number);
  void DropLoad(const ModelVersion& servable);
  void NoteReplicas();
  bool TouchPrefix(Batch& batch, std::uint64_t prefix);

  World& world_;
  Checkers& checkers_;
  SimulatedWeightStore& store_;
  Machine machine_;
  EngineTraits traits_;
  EngineUsage& usage_;
  EngineModel model_;
  bool alive_ = true;
  std::uint64_t life_ = 1;
  Timestamp leaving_since_{};
  std::uint32_t abort_loads_ = 0;
  std::map<std::uint64_t, Running> runs_;
  std::uint64_t next_run_ = 1;
  std::map<ModelVersion, Batch> batches_;
  std::map<ModelVersion, Load> loads_;
  std::uint64_t next_load_ = 1;
  std::map<ModelVersion, std::vector<std::function<void(OrderResult)>>> releases_;
  std::set<ModelVersion> noted_;
  Timestamp accounted_{};
  std::uint64_t last_served_ = 0;  ///< For crossed answers.
};

using SimulatedEngines = std::map<ServerName, std::unique_ptr<SimulatedEngine>>;

/// The control side of all engines, as one daemon reaches them.
class SimulatedModelEngine : public ModelEngine {
 public:
  SimulatedModelEngine(World& world, const Process& process, ZoneName zone,
                       SimulatedEngines& engines)
      : world_(world), process_(process), zone_(std::move(zone)), engines_(engines) {}
  void Report(const Machine& server, ReportCallback done) override;
  void Execute(const Machine& server, Order order, OrderCallback done) override;

 private:
  static void Misdirect(SimulatedEngines& engines, const ZoneName& zone, const Order& order);

  World& world_;
  const Process& process_;
  ZoneName zone_;
  SimulatedEngines& engines_;
};

/// The machine list, as one daemon reaches it.
class SimulatedMachineList : public MachineList {
 public:
  SimulatedMachineList(World& world, const Process& process, LaggingMachineList& list)
      : world_(world), process_(process), list_(list) {}
  void List(ListCallback done) override;

 private:
  World& world_;
  const Process& process_;
  LaggingMachineList& list_;
};

/// An ordinary back end in virtual time.
class SimulatedService {
 public:
  SimulatedService(World& world, Checkers& checkers, Machine machine, Duration latency)
      : world_(world), checkers_(checkers), machine_(std::move(machine)), latency_(latency) {}
  void Accept(const SimulatedRequestPtr& request, BackendCallback done);
  void Kill();
  void Restart() { alive_ = true; }
  void Leave();
  const Machine& machine() const { return machine_; }
  bool alive() const { return alive_; }
  Timestamp leaving_since() const { return leaving_since_; }

 private:
  World& world_;
  Checkers& checkers_;
  Machine machine_;
  Duration latency_;
  bool alive_ = true;
  std::uint64_t life_ = 1;
  Timestamp leaving_since_{};
};

}  // namespace moorfold
