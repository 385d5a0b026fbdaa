#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/reducer.h"
#include "core/state.h"
#include "ports/document_store.h"
#include "ports/machine_list.h"
#include "ports/model_engine.h"
#include "request/claims/claim_node.h"

namespace moorfold {

/// Time and timers, real or virtual.
class Scheduler {
 public:
  virtual ~Scheduler() = default;
  virtual Timestamp Now() const = 0;
  /// Calls `callback` once after `delay`, on the host's thread, never from within this call.
  virtual void After(Duration delay, std::function<void()> callback) = 0;
};

/// Sends to another daemon; delivery is not promised.
class PeerSender {
 public:
  virtual ~PeerSender() = default;
  virtual void Send(const Machine& to, const PeerMessage& message) = 0;
  virtual void Send(const Machine& to, const ClaimMessage& message) = 0;
};

/// What a host tells the process that it runs in.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  /// Replicas, members or configuration changed.
  virtual void OnRoutingChanged(const State& state) = 0;
  virtual void OnLoadsChanged(const std::vector<ServerLoad>& loads) = 0;
  virtual void OnLog(const LogRecord& record) = 0;
  /// @return demand since the last call. @param waiting_only just that of models waited for.
  virtual std::vector<DemandSample> TakeDemand(bool waiting_only) = 0;
  virtual void OnClaimFinished(std::uint64_t call, const ClaimResult& result) = 0;
};

struct HostSettings {
  Duration tick = std::chrono::milliseconds(100);
  Duration demand_interval = std::chrono::milliseconds(500);
  Duration machine_list_interval = std::chrono::seconds(1);
};

/// Runs the core of one daemon: turns what happens into events and carries effects out over the
/// ports. The daemon and the simulator run the same one, over real and virtual time. All calls and
/// callbacks are on one thread.
class CoreHost {
 public:
  /// All outlive the host.
  struct Ports {
    Scheduler* scheduler = nullptr;
    PeerSender* sender = nullptr;
    HostObserver* observer = nullptr;
    DocumentStore* documents = nullptr;
    MachineList* machine_list = nullptr;
    ModelEngine* engines = nullptr;
  };

  CoreHost(const Identity& self, const CoreSettings& core, const HostSettings& settings,
           Ports ports, std::uint64_t seed);
  ~CoreHost();
  CoreHost(const CoreHost&) = delete;
  CoreHost& operator=(const CoreHost&) = delete;

  void Start();
  void OnPeerMessage(const DaemonName& from, const PeerMessage& message);
  void OnPeerMessage(const DaemonName& from, const ClaimMessage& message);
  /// Requests wait for a cold model: hands the demand to the core at once.
  void OnNudge();
  /// Leaves the membership; call once when the daemon begins to stop.
  void RequestStop();
  /// Takes new timing and residency settings from now on.
  void UpdateSettings(const CoreSettings& settings);

  /// Claims on idempotency keys; the result comes through the observer.
  void Claim(std::uint64_t call, const std::string& key, const std::string& holder);
  void FinishClaim(const std::string& key, const std::string& holder, const KeptAnswer& answer);
  void GiveClaimBack(const std::string& key, const std::string& holder);

  const State& state() const { return state_; }
  const ClaimNode& claims() const { return claims_; }
  DocumentStore& documents() { return *ports_.documents; }

 private:
  void Dispatch(EventBody body);
  void Carry(const SendMessage& effect);
  void Carry(const ReadLedger& effect);
  void Carry(const SwapLedger& effect);
  void Carry(const ReadConfiguration& effect);
  void Carry(const WatchConfiguration& effect);
  void Carry(const ReadClaimView& effect);
  void Carry(const SwapClaimView& effect);
  void Carry(const AdoptClaimView& effect);
  void Carry(const PollServer& effect);
  void Carry(const SendOrder& effect);
  void Carry(const PublishRouting& effect);
  void Carry(const PublishLoads& effect);
  void Carry(const LogRecord& effect);
  void Carry(const ClaimOutput& output);
  void StartWatch();
  void ScheduleTick();
  void ScheduleDemand();
  void ScheduleMachineList();
  void OnMachineList(const MachineListing& listing);
  void LogFailure(const std::string& event, const PlatformFailure& failure);
  /// Wraps a callback so that it does nothing once this host is gone.
  template <typename Callback>
  auto WhileAlive(Callback callback);

  HostSettings settings_;
  Ports ports_;
  std::mt19937_64 random_;
  State state_;
  ClaimNode claims_;
  std::unique_ptr<WatchHandle> watch_;
  std::unique_ptr<WatchHandle> claim_watch_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace moorfold
