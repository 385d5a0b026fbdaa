#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "emulated_clients.h"
#include "emulated_platform.h"

namespace moorfold {

/// Faults of the network, the store and the servers, drawn from a seed. One thread.
class FaultPlan {
 public:
  FaultPlan(EmulatedPlatform& platform, std::vector<GatewayAddress>& gateways,
            EmulatedClients& clients, std::uint64_t seed);

  /// One series of faults; several of them overlap.
  Awaitable<void> Run();
  /// Clients that send requests under which servers end, each over and over to the end of the run:
  /// alone or two at once, at any gateway, beside all else.
  Awaitable<void> RunEndings();
  /// Drills: the store is away for a moment and comes back from a copy some seconds old; now and
  /// then twice within five seconds. Whatever else goes on, so they meet hand-overs, storms and
  /// releases.
  Awaitable<void> RunDrills();
  /// Servers name limits for some seconds, one or two at a time, whatever else goes on.
  Awaitable<void> RunLimits();
  /// One or more gateways are cut off from all servers for some seconds, whatever else goes on;
  /// now and then all of them.
  Awaitable<void> RunCuts();
  /// Servers refuse requests and send some refusals twice or without an ID, whatever else goes on.
  Awaitable<void> RunRefusals();
  int limits() const { return limits_; }
  int drills() const { return drills_; }
  /// No fault begins in that time; those from before have ended by its beginning.
  void KeepCalm(BootClock::time_point from, BootClock::time_point until);
  void Stop() { stopped_ = true; }

 private:
  struct CalmTime {
    BootClock::time_point from;
    BootClock::time_point until;
  };
  /// What one fault acts on, and for how long.
  struct FaultScope {
    std::chrono::milliseconds length;
    std::size_t server;
    int gateway;
    ProxyMode mode;
  };
  using Fault = Awaitable<void> (FaultPlan::*)(FaultScope);
  /// Each is as likely as the others; a fault that stands twice is twice as likely.
  static const std::array<Fault, 18> kFaults;

  bool Calm() const;
  int Draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  void Say(const std::string& what);
  /// Probes of configurations are not judged for gateways whose view may be old for a reason.
  /// @param gateway -1: all.
  void Disturb(int gateway, std::chrono::milliseconds length);

  Awaitable<void> Inject(Fault fault);
  Awaitable<void> StoreDown(FaultScope scope);
  Awaitable<void> StoreSlow(FaultScope scope);
  Awaitable<void> StoreLosesAnswers(FaultScope scope);
  Awaitable<void> StoreForgets(FaultScope scope);
  Awaitable<void> GatewayCutFromStore(FaultScope scope);
  Awaitable<void> ServerLink(FaultScope scope);
  Awaitable<void> ServerErrors(FaultScope scope);
  Awaitable<void> OrdersLate(FaultScope scope);
  Awaitable<void> StoreThrottles(FaultScope scope);
  Awaitable<void> StoreGrantsSlowly(FaultScope scope);
  Awaitable<void> ImpatientClients(FaultScope scope);
  Awaitable<void> StoreConnectionsSilent(FaultScope scope);
  Awaitable<void> ServerConnectionsSilent(FaultScope scope);
  Awaitable<void> ConfigurationsInSeries(FaultScope scope);
  Awaitable<void> NarrowLinkToStore(FaultScope scope);
  Awaitable<void> ReleaseServers(FaultScope scope);
  Awaitable<void> NewConfiguration(FaultScope scope);
  Awaitable<void> Drill();
  Awaitable<void> ChangeConfigurations(std::chrono::milliseconds length);
  /// The ordinary servers are replaced one after the other.
  Awaitable<void> ReplaceServers();
  std::vector<std::size_t> OrdinaryServers() const;

  EmulatedPlatform& platform_;
  std::vector<GatewayAddress>& gateways_;
  EmulatedClients& clients_;
  std::mt19937_64 random_;
  std::vector<CalmTime> calm_;
  int drills_ = 0;
  int limits_ = 0;
  std::vector<std::size_t> ordinary_;  ///< Numbers of the ordinary servers in use.
  bool stopped_ = false;
};

}  // namespace moorfold
