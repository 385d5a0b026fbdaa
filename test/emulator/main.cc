// The emulated platform as a program of its own, for soaks: gateways are separate processes that
// the caller starts with the settings files this program writes.

#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

#include "cli/command_line.h"
#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "emulated_clients.h"
#include "emulated_platform.h"
#include "fault_plan.h"
#include "gateway_files.h"
#include "refusal_play.h"
#include "signal_plan.h"
#include "version_play.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kSignalSettles{14'000};
/// Before a planned stop that is judged, nothing else goes wrong.
constexpr milliseconds kCalmBefore{4'000};
/// Of the time after the final kill.
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
  GatewayFiles files(static_cast<int>(::getpid()));
  files.Write(folder, platform, gateways, FollowingOf(seed, relays), quarantine_servers);
  std::vector<GatewayAddress>& addresses = files.addresses();
  std::cout << "event=ready" << std::endl;
  EmulatedClients clients(context, platform, addresses, seed);
  FaultPlan faults(platform, addresses, clients, seed);
  constexpr std::uint64_t kSeedOfDrills =
      49;  // Drawn apart: the other faults are those of the seed.
  FaultPlan drills(platform, addresses, clients, seed + kSeedOfDrills);
  constexpr std::uint64_t kSeedOfLimits = 50;
  FaultPlan limits(platform, addresses, clients, seed + kSeedOfLimits);
  constexpr std::uint64_t kSeedOfCuts = 51;
  FaultPlan cuts(platform, addresses, clients, seed + kSeedOfCuts);
  constexpr std::uint64_t kSeedOfRefusals = 52;
  FaultPlan refusals(platform, addresses, clients, seed + kSeedOfRefusals);
  platform.statement_checker().SetExcused([&addresses](auto from, auto) {
    return std::any_of(addresses.begin(), addresses.end(),
                       [&](const GatewayAddress& each) { return each.signalled_until > from; });
  });
  platform.checker().OnEndedUnder([](const std::string& ending, const std::string& server) {
    std::cout << "event=server_ended t_us=" << BootClock::now().time_since_epoch().count() / 1'000
              << " server=" << server << " under=\"" << ending << "\"" << std::endl;
  });
  const auto began = BootClock::now();
  for (const PlannedSignal& signal : PlanSignals(seed, length, gateways)) {
    boost::asio::co_spawn(context, Expect(signal, addresses), boost::asio::detached);
    if (signal.judged_stop)
      for (FaultPlan* plan : {&faults, &drills, &cuts, &refusals})
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
  // A gateway that follows another one learns of servers by that one's links.
  if (FollowingOf(seed, relays) == Following::kNobody)
    boost::asio::co_spawn(context, cuts.RunCuts(), boost::asio::detached);
  boost::asio::co_spawn(context, refusals.RunRefusals(), boost::asio::detached);
  context.run_for(length - kFinalFault);
  faults.Stop();
  drills.Stop();
  limits.Stop();
  cuts.Stop();
  refusals.Stop();
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
  const EndingSummary& parts = platform.checker().part_endings();
  std::cout << "crashing parts: " << parts.requests << "; servers ended by one: most "
            << parts.most_servers << "; sent after it was known: " << parts.sent_when_known
            << "; sound requests beside them: " << clients.beside_ending_parts().served << " of "
            << clients.beside_ending_parts().sent << " served" << std::endl;
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
  const IsolationChecker& isolation = platform.isolation_checker();
  for (const std::string& violation : isolation.violations())
    std::cout << "event=violation seed=" << seed << " what=\"" << violation << "\"" << std::endl;
  std::cout << "cuts from servers: " << isolation.cuts() << "; callers served worse "
            << isolation.violations().size() << std::endl;
  context.DestroyHandlers();
  const bool served = counts.served * 2 > counts.sent;
  const bool kept = platform.checker().violations().empty() && tenants.violations().empty() &&
                    platform.statement_checker().violations().empty() &&
                    isolation.violations().empty();
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
  TCLAP::ValueArg<int> refusals("", "refusals",
                                "plays servers that refuse and send refusals again, so many of "
                                "each service; 0: plays all other faults",
                                false, 0, "N", line.tclap());
  TCLAP::ValueArg<int> versions("", "versions",
                                "plays servers of two software versions, so many of each; 0: plays "
                                "all other faults",
                                false, 0, "N", line.tclap());
  TCLAP::SwitchArg relays("", "relays", "the gateways know relays: some seeds play them",
                          line.tclap());
  if (!line.Parse(arguments)) return kExitDone;
  if (!signals.getValue() && refusals.getValue() > 0) {
    const RefusalPlayOptions options{seed.getValue(), seconds(length.getValue()),
                                     gateways.getValue(), refusals.getValue()};
    return RunRefusalPlay(options, folder.getValue());
  }
  if (!signals.getValue() && versions.getValue() > 0) {
    const VersionPlayOptions options{seed.getValue(), seconds(length.getValue()),
                                     gateways.getValue(), versions.getValue()};
    return RunVersionPlay(options, folder.getValue());
  }
  if (!signals.getValue())
    return RunSoak(seed.getValue(), seconds(length.getValue()), gateways.getValue(),
                   quarantine_servers.getValue(), relays.getValue(), folder.getValue());
  constexpr double kMillisecondsPerSecond = 1000;
  const auto plan = versions.getValue() > 0 ? PlanVersionSignals : PlanSignals;
  for (const PlannedSignal& signal :
       plan(seed.getValue(), seconds(length.getValue()), gateways.getValue()))
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
