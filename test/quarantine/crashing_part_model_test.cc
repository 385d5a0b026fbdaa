// Simulates whole fleets with the production CrashTracker in virtual time, while requests of which
// no two are alike share a prompt part that crashes servers. Datagrams are lost or delayed.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "quarantine/crash_tracker.h"
#include "quarantine/part_trials.h"

namespace moorfold {
namespace {

using quarantine::CasesReceived;
using quarantine::ConnectionClosed;
using quarantine::CrashTracker;
using quarantine::Effects;
using quarantine::PartTrials;
using quarantine::QuarantineState;
using quarantine::RequestSucceeded;
using quarantine::ServerEnded;
using quarantine::Tick;
using quarantine::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kVersion = "v1";
constexpr milliseconds kStep{10};

struct PartModelOptions {
  int daemons = 7;
  int servers = 18;
  double requests_per_second = 30;
  double guilty_per_second = 4;
  bool leader = true;
  bool restart_all = false;  ///< After the verdict; the leader has stored the quarantined cases.
  /// Until then there are guilty requests only, all with the same companion part.
  seconds sound_from{0};
};

/// What became of the requests.
struct PartModelResult {
  int crashes = 0;
  int late_sends = 0;  ///< Of guilty requests, 3 s after the fifth crash or later.
  int sound = 0;
  int sound_refused = 0;
  int sound_delayed = 0;  ///< Not sent while a trial was to decide on one of their parts.
};

class PartModel {
 public:
  PartModel(PartModelOptions options, std::uint64_t seed) : options_(options), random_(seed) {
    daemons_.resize(static_cast<std::size_t>(options.daemons));
    for (int server = 0; server < options.servers; ++server) servers_.push_back(NewServer());
  }

  PartModelResult Run(seconds length) {
    const Time end = now_ + length;
    sound_from_ = now_ + options_.sound_from;
    const Time restart_at = now_ + length / 2;
    for (int step = 0; now_ < end; ++step) {
      now_ += kStep;
      Deliver();
      Send();
      RunServers();
      if (step % 30 == 0) TickAll();
      if (options_.restart_all && now_ >= restart_at && now_ < restart_at + kStep) RestartAll();
    }
    return result_;
  }

 private:
  struct Daemon {
    CrashTracker tracker{quarantine::Settings{}};
    std::size_t sync_cursor = 0;
  };
  struct Running {
    std::size_t daemon = 0;
    Fingerprint request;
    std::vector<Fingerprint> parts;
    std::vector<Fingerprint> trial_parts = {};
    bool guilty = false;
    Time ends_at{};
  };
  struct Server {
    std::string id;
    Time starts_at{};
    std::vector<Running> running;
  };
  struct Datagram {
    std::size_t to = 0;
    CasesReceived cases;
  };

  Server NewServer() { return {"i-" + std::to_string(next_server_++), now_, {}}; }
  int Draw(int most) { return std::uniform_int_distribution<int>(0, most)(random_); }
  bool Chance(double probability) { return std::bernoulli_distribution(probability)(random_); }

  Running NewRequest(bool guilty) {
    Running request;
    request.daemon = static_cast<std::size_t>(Draw(options_.daemons - 1));
    request.request = FingerprintOf({"host", "/p", "", std::to_string(next_request_++)});
    const std::string second = guilty ? "guilty" : "topic-" + std::to_string(Draw(40));
    const int caller = guilty && now_ < sound_from_ ? 0 : Draw(8);
    request.parts = {PartFingerprintOf("s", "first"),
                     PartFingerprintOf("s", "caller-" + std::to_string(caller)),
                     PartFingerprintOf("s", second)};
    request.guilty = guilty;
    request.ends_at = now_ + (guilty ? milliseconds(100) : milliseconds(300 + Draw(400)));
    return request;
  }

  void Send() {
    const auto count = [&](double per_second) {
      return std::poisson_distribution<int>(per_second * kStep.count() / 1'000)(random_);
    };
    if (now_ >= sound_from_)
      for (int sound = count(options_.requests_per_second); sound > 0; --sound)
        SendOne(NewRequest(false));
    for (int guilty = count(options_.guilty_per_second); guilty > 0; --guilty)
      SendOne(NewRequest(true));
  }

  void SendOne(Running request) {
    const CrashTracker& tracker = daemons_[request.daemon].tracker;
    const QuarantineState state = tracker.StateOfParts(request.parts, kVersion);
    if (!request.guilty) ++result_.sound;
    if (state == QuarantineState::kQuarantined) {
      result_.sound_refused += request.guilty ? 0 : 1;
      return;
    }
    if (state == QuarantineState::kUnproven && !BeginTrial(request)) {
      result_.sound_delayed += request.guilty ? 0 : 1;
      return;
    }
    if (request.guilty && result_.crashes >= 5 && now_ - fifth_crash_at_ > seconds(3))
      ++result_.late_sends;
    Server& server = servers_[static_cast<std::size_t>(Draw(options_.servers - 1))];
    if (now_ >= server.starts_at)
      server.running.push_back(std::move(request));
    else
      trials_.End(request.trial_parts, false);
  }

  /// Only the first daemon leads and sends trials.
  bool BeginTrial(Running& request) {
    if (!options_.leader || request.daemon != 0) return false;
    std::vector<Fingerprint> quarantined;
    std::copy_if(
        request.parts.begin(), request.parts.end(), std::back_inserter(quarantined),
        [&](const Fingerprint& part) { return daemons_[0].tracker.IsQuarantined(part, kVersion); });
    if (!trials_.MayBegin(quarantined)) return false;
    trials_.Begin(quarantined);
    request.trial_parts = std::move(quarantined);
    return true;
  }

  void RunServers() {
    for (Server& server : servers_) {
      const bool crashes = std::any_of(
          server.running.begin(), server.running.end(),
          [&](const Running& running) { return running.guilty && now_ >= running.ends_at; });
      if (crashes) {
        Crash(server);
        continue;
      }
      std::vector<Running> ended;
      std::erase_if(server.running, [&](const Running& running) {
        if (now_ >= running.ends_at) ended.push_back(running);
        return now_ >= running.ends_at;
      });
      for (const Running& running : ended) {
        trials_.End(running.trial_parts, false);
        Apply(running.daemon, RequestSucceeded{running.request, kVersion, running.parts}, true);
      }
    }
  }

  void Crash(Server& server) {
    if (++result_.crashes == 5) fifth_crash_at_ = now_;
    for (const Running& running : server.running)
      Apply(running.daemon,
            ConnectionClosed{running.request, "s", server.id, kVersion, running.parts}, true);
    for (const Running& running : server.running) {
      trials_.End(running.trial_parts, true);
      Apply(running.daemon, ServerEnded{server.id}, true);
    }
    server = NewServer();
    server.starts_at = now_ + seconds(2);
  }

  void Apply(std::size_t daemon, const quarantine::Event& event, bool local) {
    const Effects effects = daemons_[daemon].tracker.Reduce(event, now_);
    if (effects.updated_cases.empty()) return;
    Datagram datagram;
    for (const Fingerprint& updated : effects.updated_cases)
      datagram.cases.cases.push_back(daemons_[daemon].tracker.ExportCase(updated, now_));
    // The first daemon leads and passes on to all.
    const bool leads = options_.leader && daemon == 0;
    const int fan_out = leads ? options_.daemons : local ? 8 : 3;
    for (int copy = 0; copy < fan_out; ++copy) {
      datagram.to = static_cast<std::size_t>(leads ? copy : Draw(options_.daemons - 1));
      SendDatagram(datagram);
    }
    if (!options_.leader || leads) return;
    datagram.to = 0;
    SendDatagram(datagram);
  }

  void SendDatagram(const Datagram& datagram) {
    constexpr double kLoss = 0.2;
    if (!Chance(kLoss)) in_flight_.emplace(now_ + milliseconds(10 + Draw(20)), datagram);
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now_) {
      const Datagram datagram = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      Apply(datagram.to, datagram.cases, false);
    }
  }

  void TickAll() {
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) Apply(daemon, Tick{}, true);
    if (!options_.leader) return;
    for (std::size_t daemon = 1; daemon < daemons_.size(); ++daemon) {
      if (daemons_[daemon].tracker.Digest() == daemons_[0].tracker.Digest()) continue;
      SendCases(daemon, 0);
      SendCases(0, daemon);
    }
  }

  void SendCases(std::size_t from, std::size_t to) {
    constexpr std::size_t kMaxCases = 32;
    Daemon& sender = daemons_[from];
    Datagram datagram;
    datagram.to = to;
    for (const Fingerprint& part : sender.tracker.NextCasesToSync(kMaxCases, sender.sync_cursor))
      datagram.cases.cases.push_back(sender.tracker.ExportCase(part, now_));
    SendDatagram(datagram);
  }

  void RestartAll() {
    CasesReceived stored;
    for (const auto& listed : daemons_[0].tracker.List(now_))
      stored.cases.push_back(daemons_[0].tracker.ExportCase(listed.fingerprint, now_));
    in_flight_.clear();
    for (Daemon& daemon : daemons_) daemon = Daemon();
    for (std::size_t daemon = 0; daemon < daemons_.size(); ++daemon) Apply(daemon, stored, false);
  }

  PartModelOptions options_;
  std::mt19937_64 random_;
  Time now_{std::chrono::hours(100)};
  Time sound_from_{};
  Time fifth_crash_at_{};
  PartTrials trials_;
  std::vector<Daemon> daemons_;
  std::vector<Server> servers_;
  std::multimap<Time, Datagram> in_flight_;
  int next_server_ = 0;
  int next_request_ = 0;
  PartModelResult result_;
};

TEST_CASE("In fleets of any size a crashing part is kept from servers and sound requests are not") {
  const PartModelOptions options =
      GENERATE(PartModelOptions{2, 6, 15}, PartModelOptions{7, 18, 30},
               PartModelOptions{7, 18, 30, 4, false}, PartModelOptions{7, 18, 30, 4, true, true},
               PartModelOptions{58, 90, 170}, PartModelOptions{58, 90, 170, 4, false},
               PartModelOptions{295, 160, 360}, PartModelOptions{295, 160, 360, 4, false});
  CAPTURE(options.daemons, options.leader, options.restart_all);
  const int seeds = options.daemons > 100 ? 1 : 8;
  for (int seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    PartModel model(options, static_cast<std::uint64_t>(seed));
    const PartModelResult result = model.Run(seconds(12));
    CHECK(result.crashes >= 3);
    CHECK(result.late_sends <= 3);
    CHECK(result.sound_refused * 10 <= result.sound);
  }
}

TEST_CASE(
    "A sound part that came only with a crashing one at first is soon served in large fleets") {
  PartModelOptions options =
      GENERATE(PartModelOptions{2, 6, 15}, PartModelOptions{7, 18, 30},
               PartModelOptions{58, 90, 170}, PartModelOptions{295, 160, 360});
  options.restart_all = GENERATE(false, true);
  options.sound_from = seconds(7);
  CAPTURE(options.daemons, options.restart_all);
  const int seeds = options.daemons > 100 ? 1 : 8;
  for (int seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    PartModel model(options, static_cast<std::uint64_t>(seed));
    const PartModelResult result = model.Run(seconds(30));
    CHECK(result.crashes >= 5);
    CHECK(result.late_sends <= 3);
    CHECK(result.sound_refused * 10 <= result.sound);
    CHECK((result.sound_refused + result.sound_delayed) * 2 <= result.sound);
  }
}

}  // namespace
}  // namespace moorfold
