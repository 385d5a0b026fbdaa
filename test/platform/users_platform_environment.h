#pragma once

#include <stdexcept>

#include "../emulator/store_emulator.h"
#include "../ports/contract_environment.h"
#include "common/boot_clock.h"
#include "store_client.h"

namespace moorfold {

/// Contract test environment for StoreClient against StoreEmulator, over loopback. This platform
/// has neither a machine list nor engines, so calls for them throw.
class UsersPlatformEnvironment : public ContractEnvironment {
 public:
  UsersPlatformEnvironment()
      : store_(context_, 1), client_(context_, store_.endpoint(), MakeOptions()) {
    store_.Start();
  }
  KeyValueStore& key_value() override { return client_; }
  MachineList& machine_list() override { throw std::logic_error("no machine list here"); }
  ModelEngine& engines() override { throw std::logic_error("no engines here"); }
  bool RunUntil(const std::function<bool()>& done) override {
    const auto give_up = BootClock::now() + std::chrono::seconds(30);
    while (!done() && BootClock::now() < give_up)
      context_.run_one_for(std::chrono::milliseconds(50));
    return done();
  }
  void SetKeyValueDown(bool down) override { store_.faults().unavailable = down; }
  void LoseNextAnswer() override { store_.faults().lose_share = 1; }
  Machine engine_machine() override { throw std::logic_error("no engines here"); }
  Incarnation engine_incarnation() override { throw std::logic_error("no engines here"); }
  void KillEngine() override {}
  StoreEmulator& store() { return store_; }

 private:
  static platform::StoreClientOptions MakeOptions() {
    platform::StoreClientOptions options;
    options.watch_wait = std::chrono::milliseconds(300);
    return options;
  }

  boost::asio::io_context context_{1};
  StoreEmulator store_;
  platform::StoreClient client_;
};

}  // namespace moorfold
