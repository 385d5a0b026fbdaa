#include "version_play.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iostream>
#include <memory>
#include <random>
#include <vector>

#include "cli/command_line.h"
#include "common/boot_clock.h"
#include "common/closable_context.h"
#include "emulated_clients.h"
#include "emulated_platform.h"
#include "gateway_files.h"
#include "odd_entries.h"
#include "resumable_stream.h"
#include "signal_plan.h"
#include "version_checker.h"

namespace moorfold {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kClientsOfGateway = 6;
constexpr int kTakeUps = 3;
constexpr milliseconds kDeadline{8'000};
constexpr milliseconds kLastAnswers{8'000};
/// Of the streams that a server runs.
constexpr double kBreakShare = 0.3;
/// How long a server that leaves serves on.
constexpr milliseconds kServesOn{2'000};
/// Least servers of its version while a take-up counts.
constexpr int kServersOfVersion = 2;
constexpr double kLeastRelativeShare = 0.5;
constexpr double kTargetRelativeShare = 0.9;

class VersionPlay {
 public:
  VersionPlay(const VersionPlayOptions& options, const std::string& folder)
      : options_(options),
        platform_(context_, MakePlatformOptions(options)),
        files_(static_cast<int>(::getpid())),
        random_(options.seed),
        client_(context_) {
    platform_.Start();
    for (int server = 0; server < options.servers; ++server)
      for (const char* version : {"v1", "v2"}) Join(version);
    files_.Write(folder, platform_, options.gateways, Following::kNobody, 0);
    entry_ =
        std::make_unique<EmulatedClients>(context_, platform_, files_.addresses(), options.seed);
  }
  ~VersionPlay() { context_.DestroyHandlers(); }
  VersionPlay(const VersionPlay&) = delete;
  VersionPlay& operator=(const VersionPlay&) = delete;

  /// @return the exit status.
  int Run() {
    std::cout << "event=ready" << std::endl;
    entry_->Start(0);  // Asks the gateways whether they are ready.
    for (int client = 0; client < kClientsOfGateway * options_.gateways; ++client)
      Spawn(RunClient(client));
    Spawn(Release());
    Spawn(DisturbStore());
    Spawn(LeaveOddEntries());
    for (const PlannedSignal& signal :
         PlanVersionSignals(options_.seed, options_.length, options_.gateways))
      Spawn(ChangeServersAround(signal));
    context_.run_for(options_.length - kLastAnswers);
    stopped_ = true;
    context_.run_for(kLastAnswers);
    return Report();
  }

 private:
  static PlatformOptions MakePlatformOptions(const VersionPlayOptions& options) {
    PlatformOptions platform;
    platform.seed = options.seed;
    platform.gateways = options.gateways;
    platform.model_servers = platform.plain_servers = 0;
    platform.models = 1;
    return platform;
  }
  void Spawn(Awaitable<void> work) {
    boost::asio::co_spawn(context_, std::move(work), boost::asio::detached);
  }
  int Draw(int least, int most) { return std::uniform_int_distribution<int>(least, most)(random_); }
  void Say(const std::string& what) const {
    std::cout << "event=change t_us=" << BootClock::now().time_since_epoch().count() / 1'000
              << " what=\"" << what << "\"" << std::endl;
  }

  // Servers.

  void Join(const std::string& version) {
    platform_.SetServerVersion(version);
    const std::size_t number = platform_.AddModelServer({{platform_.models().front(), {}}});
    platform_.servers()[number]->faults().stream_break_share = kBreakShare;
    Say("joins " + platform_.servers()[number]->options().id + " " + version);
  }
  /// Says that it leaves, or not, and ends some time later, whatever it runs then.
  Awaitable<void> Leave(std::size_t number) {
    ServerEmulator& server = *platform_.servers()[number];
    Say("leaves " + server.options().id + " " + server.options().version);
    if (Draw(0, 1) == 0) {
      server.Drain();
      co_await Sleep(kServesOn);
      server.Vanish();
    } else {
      server.Vanish();
      co_await Sleep(kServesOn);
    }
    co_await Sleep(milliseconds(Draw(0, 500)));
    platform_.server_links(number).SetTargetGone(true);
  }
  std::vector<std::size_t> Serving(const std::string& version = "") {
    std::vector<std::size_t> found;
    const auto& servers = platform_.servers();
    for (std::size_t number = 0; number < servers.size(); ++number)
      if (servers[number]->serving() &&
          (version.empty() || servers[number]->options().version == version))
        found.push_back(number);
    return found;
  }
  std::string AnyVersion() { return "v" + std::to_string(Draw(0, 4) == 0 ? 3 : Draw(1, 2)); }
  /// A server of any version joins, one of another version goes.
  void ReplaceOne() {
    const std::string version = AnyVersion();
    std::vector<std::size_t> others;
    for (const std::size_t number : Serving())
      if (platform_.servers()[number]->options().version != version) others.push_back(number);
    Join(version);
    if (others.empty()) return;
    Spawn(Leave(others[static_cast<std::size_t>(Draw(0, static_cast<int>(others.size()) - 1))]));
  }
  /// All servers of one version go, as many of another one join.
  void ReplaceVersion() {
    const std::string before = "v" + std::to_string(Draw(1, 3));
    std::string after = AnyVersion();
    if (after == before) after = before == "v1" ? "v2" : "v1";
    const std::vector<std::size_t> leaving = Serving(before);
    for (std::size_t joined = 0; joined < leaving.size(); ++joined) Join(after);
    for (const std::size_t number : leaving) Spawn(Leave(number));
  }
  Awaitable<void> Release() {
    while (!stopped_) {
      co_await Sleep(milliseconds(Draw(2'000, 5'000)));
      if (!stopped_) ReplaceOne();
    }
  }
  Awaitable<void> ChangeServersAround(PlannedSignal signal) {
    constexpr std::array<int, 7> kOffsetsMs{-2'000, -100, -10, 0, 10, 100, 2'000};
    const auto began = BootClock::now();
    const bool kills_all = signal.kind == SignalKind::kKillAll;
    const milliseconds offset(
        kills_all ? kOffsetsMs.at(static_cast<std::size_t>(Draw(0, kOffsetsMs.size() - 1))) : 150);
    co_await Sleep(signal.at + offset - (BootClock::now() - began));
    if (stopped_) co_return;
    if (kills_all)
      ReplaceVersion();
    else
      ReplaceOne();
  }

  // The store.

  Awaitable<void> DisturbStore() {
    while (!stopped_) {
      co_await Sleep(milliseconds(Draw(2'000, 5'000)));
      if (stopped_) break;
      StoreFaults& faults = platform_.store().faults();
      const int kind = Draw(0, 3);
      const int gateway = Draw(0, options_.gateways - 1);
      Say("store disturbed, kind " + std::to_string(kind));
      if (kind == 0) faults.unavailable = true;
      if (kind == 1) faults.delay = milliseconds(Draw(50, 400));
      if (kind >= 2)
        platform_.store_proxy(gateway).SetMode(kind == 2 ? ProxyMode::kSilent : ProxyMode::kRefuse);
      co_await Sleep(milliseconds(150));
      if (kind >= 2) ReplaceOne();
      co_await Sleep(milliseconds(Draw(500, 2'500)));
      faults.unavailable = false;
      faults.delay = milliseconds(0);
      platform_.store_proxy(gateway).SetMode(ProxyMode::kPass);
    }
  }
  Awaitable<void> LeaveOddEntries() {
    constexpr milliseconds kBeat{400};
    const std::vector<std::string> entries = OddServerEntries();
    for (std::size_t beat = 0; !stopped_; ++beat) {
      platform_.store().Put("servers/odd", entries[beat % entries.size()]);
      co_await Sleep(kBeat);
    }
    platform_.store().Remove("servers/odd");
  }

  // Clients.

  GatewayAddress* PickGateway() {
    std::vector<GatewayAddress*> ready;
    for (GatewayAddress& gateway : files_.addresses())
      if (gateway.ready) ready.push_back(&gateway);
    if (ready.empty()) return nullptr;
    return ready[static_cast<std::size_t>(Draw(0, static_cast<int>(ready.size()) - 1))];
  }
  Awaitable<void> RunClient(int number) {
    for (int stream = 0; !stopped_; ++stream) {
      co_await Sleep(milliseconds(Draw(20, 400)));
      constexpr int kFewestEvents = 25;
      constexpr int kMostEvents = 110;
      ResumablePath path{"c" + std::to_string(number) + "-" + std::to_string(stream),
                         Draw(kFewestEvents, kMostEvents)};
      co_await RunStream(std::move(path));
    }
  }
  /// One stream, with its take-ups.
  Awaitable<void> RunStream(ResumablePath path) {
    ResumableStream stream(std::move(path), platform_.models().front(), checker_);
    const Deadline deadline = BootClock::now() + kDeadline;
    int tries_left = 1 + kTakeUps;
    while (!stream.complete() && tries_left > 0 && BootClock::now() < deadline)
      co_await RunTries(stream, deadline, tries_left);
  }
  /// Tries until an event has come.
  Awaitable<void> RunTries(ResumableStream& stream, Deadline deadline, int& tries_left) {
    const bool take_up = stream.begun();
    const std::int64_t second =
        std::chrono::duration_cast<seconds>(BootClock::now().time_since_epoch()).count();
    const auto counts = [&] {
      return Serving(stream.version()).size() >= static_cast<std::size_t>(kServersOfVersion);
    };
    const bool counted_at_start = counts();
    bool only_refusals = true;
    int events = 0;
    while (events == 0 && tries_left > 0 && BootClock::now() < deadline) {
      GatewayAddress* gateway = PickGateway();
      if (gateway == nullptr) {
        co_await Sleep(milliseconds(20));
        continue;
      }
      --tries_left;
      const int number = static_cast<int>(gateway - files_.addresses().data());
      platform_.checker().Sent(stream.name() + "-" + std::to_string(stream.tries() + 1),
                               RequestKind::kRepeatable);
      const Endpoint to = gateway->front;
      const StreamTry result = co_await stream.Try(client_, to, number, deadline);
      events = result.events;
      only_refusals = only_refusals && PromiseChecker::Promises(result.status);
      if (events == 0) co_await Sleep(milliseconds(Draw(50, 300)));
    }
    if (!take_up) {
      checker_.Asked(events > 0, second);
      co_return;
    }
    using TakeUp = VersionChecker::TakeUp;
    const TakeUp result = events > 0      ? TakeUp::kWentOn
                          : only_refusals ? TakeUp::kRefused
                                          : TakeUp::kFailed;
    if (counted_at_start && (events > 0 || counts()))
      checker_.TookUp(result, second);
    else
      ++take_ups_without_servers_;
  }

  int Report() const {
    const VersionChecker::Summary& summary = checker_.summary();
    for (const std::string& violation : checker_.violations())
      std::cout << "event=violation seed=" << options_.seed << " what=\"" << violation << "\""
                << std::endl;
    std::cout << "versions: streams " << summary.streams << ", take-ups " << summary.take_ups
              << ", went on " << summary.went_on << ", refused " << summary.refused << ", joined "
              << summary.joined() << " (inside answers " << summary.joined_inside << ", over tries "
              << summary.joined_over << "), missing or double events " << summary.misnumbered
              << ", foreign events " << summary.foreign_events
              << ", take-ups without two servers of their version " << take_ups_without_servers_
              << std::endl;
    const double relative = summary.GoOnShare() / checker_.BeginShareBesideTakeUps();
    const bool enough = relative >= kLeastRelativeShare;
    std::cout << "take-ups: share that go on " << summary.GoOnShare()
              << ", share of new streams that begin in the same seconds "
              << checker_.BeginShareBesideTakeUps() << " (" << summary.new_begun << " of "
              << summary.new_streams << " in all); relative " << relative << ", rule of "
              << kLeastRelativeShare << (enough ? " met" : " broken") << ", target of "
              << kTargetRelativeShare << (relative >= kTargetRelativeShare ? " met" : " not met")
              << std::endl;
    return checker_.violations().empty() && enough && summary.take_ups > 0 ? kExitDone
                                                                           : kExitFailed;
  }

  VersionPlayOptions options_;
  ClosableContext context_{1};
  EmulatedPlatform platform_;
  GatewayFiles files_;
  std::mt19937_64 random_;
  HttpClient client_;
  VersionChecker checker_;
  std::unique_ptr<EmulatedClients> entry_;
  std::uint64_t take_ups_without_servers_ = 0;
  bool stopped_ = false;
};

}  // namespace

int RunVersionPlay(const VersionPlayOptions& options, const std::string& folder) {
  return VersionPlay(options, folder).Run();
}

}  // namespace moorfold
