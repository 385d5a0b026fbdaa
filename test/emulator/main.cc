// The emulated platform as a program of its own, for soaks: gateways are separate processes that
// the caller starts with the settings files this program writes.

#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <iostream>

#include "cli/command_line.h"
#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "emulated_clients.h"
#include "emulated_platform.h"
#include "free_ports.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kSignalSettles{14'000};
/// Before and after a planned stop that is judged, nothing else goes wrong.
constexpr milliseconds kCalmBefore{4'000};
constexpr milliseconds kCalmAfter{10'000};
/// The end of a soak: all gateways are killed, get some time to recover, and have to serve.
constexpr milliseconds kFinalFault{26'000};
constexpr milliseconds kServeAgain{6'000};
constexpr milliseconds kLastAnswers{6'000};

/// Some 30 kB of configuration.
constexpr int kSpareRoutes = 120;
constexpr int kClientsOfGateway = 4;
/// Series of faults that overlap.
constexpr int kLimitSeries = 2;
constexpr int kFaultSeries = 2;
/// Enough that three of a service may be gone for a moment.
constexpr int kPlainServers = 8;
constexpr int kModelServers = 6;

/// What the caller does to a gateway's process.
enum class SignalKind : std::uint8_t { kTerminate, kKill, kPause, kReload, kKillAll };

struct PlannedSignal {
  milliseconds at;
  SignalKind kind;
  int gateway;
  milliseconds length;
  bool judged_stop = false;  ///< A planned stop around which nothing else goes wrong.
};

const char* Name(SignalKind kind) {
  switch (kind) {
    case SignalKind::kTerminate:
      return "term";
    case SignalKind::kKill:
      return "kill";
    case SignalKind::kPause:
      return "pause";
    case SignalKind::kReload:
      return "hup";
    case SignalKind::kKillAll:
      return "kill_all";
  }
  return "none";
}

/// The same seed gives the same signals.
std::vector<PlannedSignal> PlanSignals(std::uint64_t seed, milliseconds length, int gateways) {
  std::mt19937_64 random(seed);
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  std::vector<PlannedSignal> signals;
  milliseconds at = seconds(10);
  const milliseconds last = length - kFinalFault;
  const auto draw_signal = [&] {
    return PlannedSignal{at, static_cast<SignalKind>(draw(0, 3)), draw(0, gateways - 1),
                         milliseconds(draw(500, 4'000))};
  };
  while (at + seconds(15) < last) {
    // A series strikes different gateways shortly after each other; one in three comes alone.
    const int length_of_series = draw(0, 2) == 0 ? 1 : draw(2, std::max(2, gateways));
    PlannedSignal signal = draw_signal();
    signal.judged_stop = length_of_series == 1 && signal.kind == SignalKind::kTerminate;
    signals.push_back(signal);
    for (int next = 1; next < length_of_series; ++next) {
      at += milliseconds(draw(100, 1'500));
      PlannedSignal another = draw_signal();
      another.gateway = (signal.gateway + next) % gateways;
      signals.push_back(another);
    }
    const milliseconds least = signal.judged_stop ? kCalmAfter : seconds(4);
    at += least + milliseconds(draw(0, 10'000));
  }
  signals.push_back({last, SignalKind::kKillAll, 0, milliseconds(1'000)});
  return signals;
}

/// Whose reads of the store the gateways follow, however few they are.
enum class Following { kNobody, kLeader, kRelays };

/// @param relays whether the build that begins knows them.
Following FollowingOf(std::uint64_t seed, bool relays) {
  constexpr std::uint64_t kEven = 2;
  constexpr std::uint64_t kKinds = 4;
  if (seed % kEven == 0) return Following::kNobody;
  return relays && seed % kKinds == 1 ? Following::kRelays : Following::kLeader;
}

struct Gateways {
  std::vector<GatewayAddress> addresses;
  FreePorts ports{static_cast<int>(::getpid())};

  /// @param quarantine_servers as the gateways' setting of that name.
  void WriteSettings(const std::string& folder, EmulatedPlatform& platform, int count,
                     Following following, int quarantine_servers) {
    for (int number = 0; number < count; ++number) {
      const std::string ip = "127.0.0.1:";
      const Endpoint front{"127.0.0.1", ports.Next()};
      const Endpoint readiness{"127.0.0.1", ports.Next()};
      std::ofstream file(folder + "/gateway-" + std::to_string(number) + ".yaml");
      file << "name: gateway-" << number << "\nzone: z\nlisten: " << ToString(front)
           << "\nreadiness: " << ToString(readiness) << "\npeer: " << ip << ports.Next()
           << "\nstore: " << ToString(platform.store_for(number))
           << "\ndrain_timeout: 8s\norder_handover: 3s\nrelay_from_daemons: "
           << (following == Following::kNobody ? 0 : 2)
           << (following == Following::kRelays ? "\nrelays_from_daemons: 2" : "")
           << "\nquarantine_servers: " << quarantine_servers << "\nquota_window: 8s"
           << "\nquota_overshoot: 0.1\nquota_slack: 4\n";
      addresses.push_back({front, readiness, false, {}});
    }
  }
};

/// Faults of the network, the store and the servers, drawn from a seed.
class FaultPlan {
 public:
  FaultPlan(EmulatedPlatform& platform, std::vector<GatewayAddress>& gateways,
            EmulatedClients& clients, std::uint64_t seed)
      : platform_(platform),
        gateways_(gateways),
        clients_(clients),
        random_(seed),
        ordinary_(OrdinaryServers()) {}

  /// One series of faults; several of them overlap.
  Awaitable<void> Run() {
    while (!stopped_) {
      co_await Sleep(milliseconds(Draw(1'500, 5'000)));
      const int kind = Draw(0, 17);
      if (!Calm()) co_await Strike(kind);
    }
  }
  /// Clients that send requests under which servers end, each over and over to the end of the run:
  /// alone or two at once, at any gateway, beside all else.
  Awaitable<void> RunEndings() {
    constexpr int kMostEndings = 12;
    clients_.SetCalm([this] { return Calm(); });
    for (int ending = 0; ending < kMostEndings && !stopped_; ++ending) {
      co_await Sleep(milliseconds(Draw(4'000, 9'000)));
      if (stopped_) break;
      const auto kind = static_cast<RequestKind>(Draw(0, 2));
      Say("ending_request");
      clients_.StartEnding(std::to_string(ending), kind, milliseconds(Draw(200, 1'500)),
                           Draw(1, 2));
    }
  }
  /// Drills: the store is away for a moment and comes back from a copy some seconds old; now and
  /// then twice within five seconds. Whatever else goes on, so they meet hand-overs, storms and
  /// releases.
  Awaitable<void> RunDrills() {
    while (!stopped_) {
      co_await Sleep(milliseconds(Draw(5'000, 12'000)));
      if (stopped_ || Calm()) continue;
      co_await Drill();
      if (Draw(0, 3) > 0) continue;
      co_await Sleep(milliseconds(Draw(200, 4'000)));
      if (!stopped_ && !Calm()) co_await Drill();
    }
  }
  /// Servers name limits for some seconds, one or two at a time, whatever else goes on.
  Awaitable<void> RunLimits() {
    constexpr int kMostPerSecond = 8;
    while (!stopped_) {
      co_await Sleep(milliseconds(Draw(500, 2'500)));
      if (stopped_) break;
      const auto number =
          static_cast<std::size_t>(Draw(0, static_cast<int>(platform_.servers().size()) - 1));
      const ServerEmulator* server = platform_.servers()[number].get();
      Say("server_limit");
      platform_.servers()[number]->NameLimit(Draw(1, kMostPerSecond));
      ++limits_;
      co_await Sleep(milliseconds(Draw(5'000, 11'000)));
      // Another may have its place by then.
      if (platform_.servers()[number].get() == server)
        platform_.servers()[number]->NameLimit(std::nullopt);
    }
  }
  int limits() const { return limits_; }
  int drills() const { return drills_; }
  /// Nothing strikes in that time; what struck before has ended by its beginning.
  void KeepCalm(BootClock::time_point from, BootClock::time_point until) {
    calm_.push_back({from - kLongestFault, until});
  }
  void Stop() { stopped_ = true; }

 private:
  struct CalmTime {
    BootClock::time_point from;
    BootClock::time_point until;
  };
  static constexpr milliseconds kLongestFault{4'000};
  /// Bytes a second: one configuration takes most of a second.
  static constexpr double kNarrowLink = 40'000;

  bool Calm() const {
    const auto now = BootClock::now();
    return std::any_of(calm_.begin(), calm_.end(),
                       [&](const CalmTime& time) { return now >= time.from && now < time.until; });
  }
  int Draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  void Say(const std::string& what) { std::cout << "event=fault what=" << what << std::endl; }
  /// Probes of configurations are not judged for gateways whose view may be old for a reason.
  void Disturb(int gateway, milliseconds length) {
    constexpr milliseconds kSettles{6'000};
    for (std::size_t number = 0; number < gateways_.size(); ++number)
      if (gateway < 0 || static_cast<int>(number) == gateway)
        gateways_[number].disturbed_until = BootClock::now() + length + kSettles;
  }

  Awaitable<void> Strike(int kind) {
    StoreFaults& store = platform_.store().faults();
    const milliseconds length(Draw(500, 4'000));
    const auto server =
        static_cast<std::size_t>(Draw(0, static_cast<int>(platform_.servers().size()) - 1));
    const int gateway = Draw(0, static_cast<int>(gateways_.size()) - 1);
    const ProxyMode mode = static_cast<ProxyMode>(Draw(1, 4));
    switch (kind) {
      case 0:
        Say("store_down");
        Disturb(-1, length);
        (Draw(0, 1) == 0 ? store.unavailable : store.silent) = true;
        co_await Sleep(length);
        store.unavailable = store.silent = false;
        break;
      case 1:
        Say("store_slow");
        Disturb(-1, length);
        store.delay = milliseconds(Draw(50, 400));
        co_await Sleep(length);
        store.delay = milliseconds(0);
        break;
      case 2:
        Say("store_loses_answers");
        Disturb(-1, length);
        store.lose_share = 0.4;
        store.lost_apply_late = milliseconds(Draw(0, 1) * 1'500);
        co_await Sleep(length);
        store.lose_share = 0;
        break;
      case 3:
        Say("store_forgets");
        Disturb(-1, length);
        store.history_gone = true;
        co_await Sleep(length);
        store.history_gone = false;
        break;
      case 4:
        Say("gateway_cut_from_store");
        Disturb(gateway, length);
        platform_.store_proxy(gateway).SetMode(mode);
        co_await Sleep(length);
        platform_.store_proxy(gateway).SetMode(ProxyMode::kPass);
        break;
      case 5:
      case 6:
        Say("server_link");
        platform_.server_proxy(server).SetMode(mode);
        co_await Sleep(length);
        platform_.server_proxy(server).SetMode(ProxyMode::kPass);
        break;
      case 7:
        Say("server_errors");
        platform_.servers()[server]->faults().error_share = 0.3;
        platform_.servers()[server]->faults().no_answer_share = 0.1;
        co_await Sleep(length);
        platform_.servers()[server]->faults() = {};
        break;
      case 8:
        Say("orders_late");
        for (const auto& each : platform_.servers()) each->faults().late_order_share = 0.4;
        co_await Sleep(length);
        for (const auto& each : platform_.servers()) each->faults().late_order_share = 0;
        break;
      case 9:
        Say("store_throttles");
        Disturb(-1, length);
        store.writes_per_second = store.reads_per_second = 4;
        co_await Sleep(length);
        store.writes_per_second = StoreFaults{}.writes_per_second;
        store.reads_per_second = StoreFaults{}.reads_per_second;
        break;
      case 10:
        Say("store_grants_slowly");
        Disturb(-1, length);
        store.grant_answer_delay = milliseconds(Draw(200, 900));
        platform_.store_proxy(gateway).SetMode(mode);
        co_await Sleep(length);
        store.grant_answer_delay = milliseconds(0);
        platform_.store_proxy(gateway).SetMode(ProxyMode::kPass);
        break;
      case 11:
        Say("impatient_clients");
        clients_.SetImpatient(true);
        co_await Sleep(length);
        clients_.SetImpatient(false);
        break;
      case 12:
        Say("store_connections_silent");
        Disturb(gateway, milliseconds(0));
        platform_.store_proxy(gateway).SilenceStanding();
        break;
      case 13:
        Say("server_connections_silent");
        platform_.server_proxy(server).SilenceStanding();
        break;
      case 14:
        Say("configurations_in_series");
        co_await ChangeConfigurations(length);
        break;
      case 15:
        Say("narrow_link_to_store");
        Disturb(gateway, length);
        platform_.store_proxy(gateway).SetBytesPerSecond(kNarrowLink);
        co_await Sleep(length);
        platform_.store_proxy(gateway).SetBytesPerSecond(0);
        break;
      case 16:
        Say("release");
        co_await Release();
        break;
      default:
        Say("configuration");
        platform_.Configure();
        break;
    }
  }

  Awaitable<void> Drill() {
    StoreFaults& store = platform_.store().faults();
    const milliseconds away(Draw(50, 1'500));
    Say("store_comes_back");
    Disturb(-1, away);
    bool StoreFaults::*const how =
        Draw(0, 1) == 0 ? &StoreFaults::unavailable : &StoreFaults::silent;
    store.*how = true;
    co_await Sleep(away);
    platform_.store().ComeBackFromCopy(milliseconds(Draw(1'000, 10'000)));
    store.*how = false;
    ++drills_;
  }
  Awaitable<void> ChangeConfigurations(milliseconds length) {
    constexpr milliseconds kEvery{150};
    const auto end = BootClock::now() + length;
    while (BootClock::now() < end) {
      platform_.Configure();
      co_await Sleep(kEvery);
    }
  }
  /// The ordinary servers are replaced one after the other.
  Awaitable<void> Release() {
    constexpr milliseconds kServesOn{2'500};
    for (std::size_t& number : ordinary_)
      if (!Calm()) number = co_await platform_.ReleaseServer(number, kServesOn);
  }
  std::vector<std::size_t> OrdinaryServers() const {
    std::vector<std::size_t> ordinary;
    for (std::size_t number = 0; number < platform_.servers().size(); ++number)
      if (!platform_.servers()[number]->options().engine) ordinary.push_back(number);
    return ordinary;
  }

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

/// @return for how long a gateway is out of touch, from a second before the signal on.
milliseconds OutOfTouch(const PlannedSignal& signal) {
  constexpr milliseconds kEarly{1'000};
  constexpr milliseconds kLongestStop{8'500};
  constexpr milliseconds kContact{3'000};
  if (signal.kind == SignalKind::kReload) return milliseconds(0);
  const bool stops = signal.kind == SignalKind::kTerminate;
  return kEarly + (stops ? kLongestStop : signal.length) + kContact;
}

/// What the soak has to know of a signal that the caller sends: its gateway is disturbed from then
/// on, and around a planned stop nothing else may happen.
Awaitable<void> Expect(PlannedSignal signal, std::vector<GatewayAddress>& addresses) {
  co_await Sleep(signal.at - seconds(1));
  GatewayAddress& gateway = addresses[static_cast<std::size_t>(signal.gateway)];
  for (GatewayAddress& each : addresses)
    if (&each == &gateway || signal.kind == SignalKind::kKillAll) {
      each.disturbed_until = BootClock::now() + signal.length + kSignalSettles;
      each.signalled_until = std::max(each.signalled_until, BootClock::now() + OutOfTouch(signal));
    }
  if (!signal.judged_stop) co_return;
  gateway.stop_from = BootClock::now();
  gateway.stop_until = BootClock::now() + kCalmAfter;
}

int RunSoak(std::uint64_t seed, seconds length, int gateways, int quarantine_servers, bool relays,
            const std::string& folder) {
  ClosableContext context(1);
  PlatformOptions options;
  options.seed = seed;
  options.gateways = gateways;
  options.spare_routes = kSpareRoutes;
  options.tenants = true;
  options.plain_servers = kPlainServers;
  options.model_servers = kModelServers;
  EmulatedPlatform platform(context, options);
  platform.Start();
  Gateways processes;
  processes.WriteSettings(folder, platform, gateways, FollowingOf(seed, relays),
                          quarantine_servers);
  std::cout << "event=ready" << std::endl;
  EmulatedClients clients(context, platform, processes.addresses, seed);
  FaultPlan faults(platform, processes.addresses, clients, seed);
  constexpr std::uint64_t kSeedOfDrills =
      49;  // Drawn apart: the other faults are those of the seed.
  FaultPlan drills(platform, processes.addresses, clients, seed + kSeedOfDrills);
  constexpr std::uint64_t kSeedOfLimits = 50;
  FaultPlan limits(platform, processes.addresses, clients, seed + kSeedOfLimits);
  platform.statement_checker().SetExcused([&processes](auto from, auto) {
    return std::any_of(processes.addresses.begin(), processes.addresses.end(),
                       [&](const GatewayAddress& each) { return each.signalled_until > from; });
  });
  platform.checker().OnEndedUnder([](const std::string& ending, const std::string& server) {
    std::cout << "event=server_ended t_us=" << BootClock::now().time_since_epoch().count() / 1'000
              << " server=" << server << " under=\"" << ending << "\"" << std::endl;
  });
  const auto began = BootClock::now();
  for (const PlannedSignal& signal : PlanSignals(seed, length, gateways)) {
    boost::asio::co_spawn(context, Expect(signal, processes.addresses), boost::asio::detached);
    if (signal.judged_stop)
      for (FaultPlan* plan : {&faults, &drills})
        plan->KeepCalm(began + signal.at - kCalmBefore, began + signal.at + kCalmAfter);
  }
  clients.SetStaying(true);
  clients.Start(std::max(10, kClientsOfGateway * gateways));
  for (int series = 0; series < kFaultSeries; ++series)
    boost::asio::co_spawn(context, faults.Run(), boost::asio::detached);
  boost::asio::co_spawn(context, faults.RunEndings(), boost::asio::detached);
  boost::asio::co_spawn(context, drills.RunDrills(), boost::asio::detached);
  for (int series = 0; series < kLimitSeries; ++series)
    boost::asio::co_spawn(context, limits.RunLimits(), boost::asio::detached);
  context.run_for(length - kFinalFault);
  faults.Stop();
  drills.Stop();
  limits.Stop();
  context.run_for(kFinalFault - kServeAgain - kLastAnswers);
  const ClientCounts before = clients.counts();
  context.run_for(kServeAgain);
  const ClientCounts& counts = clients.counts();
  platform.checker().Recovered(counts.sent - before.sent, counts.served - before.served);
  clients.Stop();
  context.run_for(kLastAnswers);
  platform.checker().Finish();
  for (const std::string& violation : platform.checker().violations())
    std::cout << "event=violation seed=" << seed << " what=\"" << violation << "\"" << std::endl;
  std::cout << "event=soak seed=" << seed << " sent=" << counts.sent << " served=" << counts.served
            << " refused_not_run=" << counts.refused << " unknown=" << counts.unknown
            << " left=" << counts.left << " violations=" << platform.checker().violations().size()
            << std::endl;
  std::cout << "drills: " << drills.drills() << ", records written again "
            << platform.store().records_written_again() << ", promises broken "
            << platform.checker().violations().size() << std::endl;
  const EndingSummary& endings = platform.checker().endings();
  std::cout << "crashing requests: " << endings.requests << "; servers ended by one: most "
            << endings.most_servers << "; sent after it was known: " << endings.sent_when_known
            << "; innocents refused: " << endings.innocents_refused << std::endl;
  const TenantChecker& tenants = platform.tenant_checker();
  for (const std::string& violation : tenants.violations())
    std::cout << "event=violation seed=" << seed << " what=\"" << violation << "\"" << std::endl;
  constexpr double kPercent = 100;
  std::cout << "tenants: over limit most "
            << std::max(0.0, tenants.summary().most_used - 1) * kPercent
            << "%; refused below limit " << tenants.summary().refused_below_limit
            << "; served with a key gone " << tenants.summary().served_with_key_gone
            << "; reserved headers passed on " << tenants.summary().reserved_passed_on << std::endl;
  const std::vector<std::string>& over = platform.statement_checker().violations();
  for (const std::string& violation : over)
    std::cout << "event=violation seed=" << seed << " what=\"" << violation << "\"" << std::endl;
  std::cout << "limits: named " << limits.limits() << " times; passed " << over.size() << std::endl;
  context.DestroyHandlers();
  const bool served = counts.served * 2 > counts.sent;
  const bool kept = platform.checker().violations().empty() && tenants.violations().empty() &&
                    platform.statement_checker().violations().empty();
  return kept && served ? kExitDone : kExitFailed;
}

int Run(const std::vector<std::string>& arguments) {
  CommandLine line("emulator", "Runs the emulated platform with clients, faults and checks");
  TCLAP::ValueArg<std::uint64_t> seed("", "seed", "of all that is drawn", false, 1, "N",
                                      line.tclap());
  TCLAP::ValueArg<int> length("", "seconds", "how long", false, 60, "N", line.tclap());
  TCLAP::ValueArg<int> gateways("", "gateways", "how many", false, 3, "N", line.tclap());
  TCLAP::ValueArg<int> quarantine_servers("", "quarantine-servers",
                                          "setting of the gateways; 0: no quarantine", false, 3,
                                          "N", line.tclap());
  TCLAP::ValueArg<std::string> folder("", "folder", "for the gateways' settings files", false, ".",
                                      "DIR", line.tclap());
  TCLAP::SwitchArg signals("", "print-signals",
                           "only prints the signals of that seed: seconds, kind, gateway, length",
                           line.tclap());
  TCLAP::SwitchArg relays("", "relays", "the gateways know relays: some seeds play them",
                          line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  if (!signals.getValue())
    return RunSoak(seed.getValue(), seconds(length.getValue()), gateways.getValue(),
                   quarantine_servers.getValue(), relays.getValue(), folder.getValue());
  constexpr double kMillisecondsPerSecond = 1000;
  for (const PlannedSignal& signal :
       PlanSignals(seed.getValue(), seconds(length.getValue()), gateways.getValue()))
    std::cout << static_cast<double>(signal.at.count()) / kMillisecondsPerSecond << " "
              << Name(signal.kind) << " " << signal.gateway << " "
              << static_cast<double>(signal.length.count()) / kMillisecondsPerSecond << "\n";
  return kExitDone;
}

}  // namespace
}  // namespace moorfold

int main(int argc, char** argv) {
  return moorfold::RunGuarded("moorfold-emulator", [&] {
    return moorfold::Run({argv + 1, argv + argc});
  });
}
