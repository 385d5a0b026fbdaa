#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "common/boot_clock.h"
#include "ports/etcd_key_value_store.h"
#include "ports/http_machine_list.h"
#include "ports/http_model_engine.h"
#include "simulation/simulated_engine.h"
#include "simulation/simulated_key_value_store.h"
#include "standin/platform.h"

namespace moorfold {

/// One implementation of the ports with the platform behind it, and the means to break it.
class ContractEnvironment {
 public:
  virtual ~ContractEnvironment() = default;
  virtual KeyValueStore& key_value() = 0;
  virtual MachineList& machine_list() = 0;
  virtual ModelEngine& engines() = 0;
  /// Lets time pass until `done`, at most a generous while. @return whether it was.
  virtual bool RunUntil(const std::function<bool()>& done) = 0;
  virtual void SetKeyValueDown(bool down) = 0;
  virtual void LoseNextAnswer() = 0;
  virtual Machine engine_machine() = 0;
  virtual Incarnation engine_incarnation() = 0;
  virtual void KillEngine() = 0;
};

inline Deployment SmallDeployment() {
  Deployment deployment;
  deployment.name = "small";
  deployment.zones = {"z"};
  deployment.engines = {{"z", 1}};
  deployment.engine.memory = 1000;
  deployment.engine.memory_tier_speed = 100;
  deployment.engine.disk_tier_speed = 100;
  deployment.engine.batch = 4;
  deployment.weight_store = {100, 4, 100};
  deployment.key_value = {10'000, Duration{0}};
  return deployment;
}

/// The network adapters against the stand-in, over loopback.
class NetworkEnvironment : public ContractEnvironment {
 public:
  NetworkEnvironment()
      : platform_(context_, SmallDeployment(), {}),
        key_value_(context_, platform_.key_value(), std::chrono::milliseconds(1500)),
        machine_list_(context_, platform_.admin(), std::chrono::milliseconds(1500)),
        engines_(context_, std::chrono::milliseconds(1500), std::chrono::milliseconds(10'000)) {
    platform_.Start();
  }
  KeyValueStore& key_value() override { return key_value_; }
  MachineList& machine_list() override { return machine_list_; }
  ModelEngine& engines() override { return engines_; }
  bool RunUntil(const std::function<bool()>& done) override {
    const auto give_up = BootClock::now() + std::chrono::seconds(30);
    while (!done() && BootClock::now() < give_up)
      context_.run_one_for(std::chrono::milliseconds(50));
    return done();
  }
  void SetKeyValueDown(bool down) override {
    platform_.key_value_server().faults().down = down;
    if (down) platform_.key_value_server().BreakWatches();
  }
  void LoseNextAnswer() override { platform_.key_value_server().faults().lost_answers = 1; }
  Machine engine_machine() override { return platform_.machines().actual().at("z-engine-0"); }
  Incarnation engine_incarnation() override {
    return platform_.engine("z-engine-0").model().incarnation();
  }
  void KillEngine() override { platform_.engine("z-engine-0").Kill(); }

 private:
  boost::asio::io_context context_{1};
  Platform platform_;
  EtcdKeyValueStore key_value_;
  HttpMachineList machine_list_;
  HttpModelEngine engines_;
};

/// The simulated ports, over virtual time.
class SimulatedEnvironment : public ContractEnvironment {
 public:
  SimulatedEnvironment()
      : world_(Timestamp(std::chrono::seconds(1'000'000)), 1),
        checkers_(world_),
        process_(world_.queue),
        service_(world_, SmallDeployment().key_value, "z"),
        key_value_(service_, process_, "z"),
        list_(Duration{0}),
        machine_list_(world_, process_, list_),
        store_(world_, SmallDeployment().weight_store),
        engines_port_(world_, process_, "z", engines_) {
    process_.Start();
    for (const Machine& machine : ListMachines(SmallDeployment())) {
      list_.Put(machine, world_.queue.Now());
      engines_[machine.name] = std::make_unique<SimulatedEngine>(world_, checkers_, store_, machine,
                                                                 SmallDeployment().engine, usage_);
    }
  }
  KeyValueStore& key_value() override { return key_value_; }
  MachineList& machine_list() override { return machine_list_; }
  ModelEngine& engines() override { return engines_port_; }
  bool RunUntil(const std::function<bool()>& done) override {
    for (int step = 0; step < 10'000 && !done(); ++step)
      world_.queue.RunUntil(world_.queue.Now() + std::chrono::milliseconds(10));
    return done();
  }
  void SetKeyValueDown(bool down) override {
    world_.faults.key_value_down = down;
    if (down) service_.BreakWatches();
  }
  void LoseNextAnswer() override { world_.faults.lost_answers = 1; }
  Machine engine_machine() override { return engines_.begin()->second->machine(); }
  Incarnation engine_incarnation() override {
    return engines_.begin()->second->model().incarnation();
  }
  void KillEngine() override { engines_.begin()->second->Kill(); }

 private:
  World world_;
  Checkers checkers_;
  Process process_;
  SimulatedKeyValueService service_;
  SimulatedKeyValueStore key_value_;
  LaggingMachineList list_;
  SimulatedMachineList machine_list_;
  SimulatedWeightStore store_;
  EngineUsage usage_;
  SimulatedEngines engines_;
  SimulatedModelEngine engines_port_;
};

}  // namespace moorfold
