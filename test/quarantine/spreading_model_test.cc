// Simulates many daemons with the production CrashTracker in virtual time. Datagrams are lost or
// delayed while one request crashes servers. Checks how many servers crash and when all daemons
// quarantine the request.

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "quarantine/crash_tracker.h"

namespace moorfold {
namespace {

using quarantine::CasesReceived;
using quarantine::CrashTracker;
using quarantine::Effects;
using quarantine::QuarantineState;
using quarantine::Time;
using std::chrono::milliseconds;

constexpr const char* kVersion = "v1";

struct ModelSettings {
  int daemons = 7;
  double loss = 0.2;          ///< Probability that a datagram is lost.
  bool leader = true;         ///< If false, no daemon leads during the whole run.
  bool repeats = true;        ///< Recent evidence is repeated twice a second.
  bool forwards = true;       ///< New evidence that was received is forwarded.
  bool compares = true;       ///< Digests are compared with the leader.
  std::uint32_t servers = 3;  ///< 0 disables quarantine.
  int restarts = 0;           ///< Daemons that restart during the run and lose their state.
  int healthy_requests = 4;   ///< Other requests on each server that runs the crashing request.
};

/// The fan-out matches QuarantineService.
class PropagationModel {
 public:
  PropagationModel(const ModelSettings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed) {
    quarantine::Settings tracker_settings;
    tracker_settings.servers = settings.servers;
    for (int daemon = 0; daemon < settings.daemons; ++daemon)
      daemons_.push_back({CrashTracker(tracker_settings)});
  }

  /// Sends the crashing request to a random daemon every `pause`, for a duration of `length`.
  void Run(milliseconds pause, milliseconds length) {
    const Time end = now_ + length;
    Time next = now_;
    Time tick = now_;
    while (now_ < end) {
      Deliver();
      if (now_ >= next) {
        next = now_ + pause;
        SendCrashingRequest();
      }
      if (now_ >= tick) {
        tick = now_ + milliseconds(500);
        Tick();
      }
      now_ += milliseconds(10);
    }
  }
  int crashed_servers() const { return crashed_servers_; }
  int sent_late() const { return sent_late_; }
  int healthy_refused() const { return healthy_refused_; }
  std::size_t DaemonsQuarantining() const {
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [&](const Daemon& daemon) {
          return daemon.tracker.StateFor(crashing_request_, kVersion, now_) ==
                 QuarantineState::kQuarantined;
        }));
  }

 private:
  struct Daemon {
    CrashTracker tracker;
    std::map<Fingerprint, Time> recent = {};
    std::size_t cursor = 0;
    Time started = {};
  };
  struct Datagram {
    Time at;
    std::size_t to;
    std::vector<CaseUpdate> cases;
    std::uint64_t digest = 0;  ///< Valid if `from` is set: a report whose digest is compared.
    int from = -1;
    bool answer = false;  ///< Response of the leader, with its own digest.
  };

  std::size_t Draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  void Send(std::size_t to, std::vector<CaseUpdate> cases, std::uint64_t digest = 0, int from = -1,
            bool answer = false) {
    if (std::bernoulli_distribution(settings_.loss)(random_)) return;
    in_flight_.push_back(
        {now_ + milliseconds(1 + Draw(40)), to, std::move(cases), digest, from, answer});
  }
  void Apply(std::size_t number, const Effects& effects, bool own) {
    Daemon& daemon = daemons_[number];
    if (effects.updated_cases.empty()) return;
    if (own)
      for (const Fingerprint& fingerprint : effects.updated_cases)
        daemon.recent[fingerprint] = now_;
    if (!own && !settings_.forwards) return;
    const std::vector<CaseUpdate> exported = ExportCases(daemon, effects.updated_cases);
    for (std::size_t peer = 0; peer < (own ? 8 : 3); ++peer) Send(Draw(daemons_.size()), exported);
    if (settings_.leader && number == 0)
      for (std::size_t to = 1; to < daemons_.size(); ++to) Send(to, exported);
    if (settings_.leader && number != 0) Send(0, exported);
  }
  std::vector<CaseUpdate> ExportCases(const Daemon& daemon,
                                      const std::vector<Fingerprint>& fingerprints) const {
    std::vector<CaseUpdate> exported;
    for (const Fingerprint& fingerprint : fingerprints)
      exported.push_back(daemon.tracker.ExportCase(fingerprint, now_));
    return exported;
  }
  void Deliver() {
    std::vector<Datagram> due;
    std::erase_if(in_flight_, [&](const Datagram& datagram) {
      if (datagram.at > now_) return false;
      due.push_back(datagram);
      return true;
    });
    for (const Datagram& datagram : due) {
      Daemon& daemon = daemons_[datagram.to];
      if (datagram.from >= 0 && datagram.digest != daemon.tracker.Digest())
        Send(static_cast<std::size_t>(datagram.from),
             ExportCases(daemon, daemon.tracker.NextCasesToSync(32, daemon.cursor)));
      if (datagram.from >= 0 && !datagram.answer)
        Send(static_cast<std::size_t>(datagram.from), {}, daemon.tracker.Digest(), 0, true);
      if (!datagram.cases.empty())
        Apply(datagram.to, daemon.tracker.Reduce(CasesReceived{datagram.cases}, now_), false);
    }
  }
  void Tick() {
    for (std::size_t number = 0; number < daemons_.size(); ++number) {
      Daemon& daemon = daemons_[number];
      Apply(number, daemon.tracker.Reduce(quarantine::Tick{}, now_), true);
      if (settings_.compares && settings_.leader && number != 0)
        Send(0, {}, daemon.tracker.Digest(), static_cast<int>(number));
      if (!settings_.repeats) continue;
      std::vector<Fingerprint> recent;
      for (const auto& [fingerprint, at] : daemon.recent)
        if (now_ - at < milliseconds(10'000)) recent.push_back(fingerprint);
      if (recent.empty()) continue;
      for (int peer = 0; peer < 2; ++peer) Send(Draw(daemons_.size()), ExportCases(daemon, recent));
      if (settings_.leader && number != 0) Send(0, ExportCases(daemon, recent));
    }
  }
  /// Sends the crashing request to a random daemon. If the daemon forwards it, the server crashes
  /// together with all requests it runs.
  void SendCrashingRequest() {
    if (restart_count_ < settings_.restarts) {
      ++restart_count_;
      quarantine::Settings tracker_settings;
      tracker_settings.servers = settings_.servers;
      Daemon& restarted = daemons_[Draw(daemons_.size())];
      restarted = {CrashTracker(tracker_settings)};
      restarted.started = now_;
    }
    const std::size_t number = Draw(daemons_.size());
    if (daemons_[number].tracker.StateFor(crashing_request_, kVersion, now_) ==
        QuarantineState::kQuarantined)
      return;
    // A daemon that has just started has not received the cases yet.
    const bool synchronized = now_ - daemons_[number].started > milliseconds(3'000);
    if (synchronized && crashed_servers_ >= 3 && now_ - third_crash_at_ > milliseconds(3'000))
      ++sent_late_;
    const std::string server = "i-" + std::to_string(crashed_servers_);
    if (++crashed_servers_ == 3) third_crash_at_ = now_;
    daemons_[number].tracker.Reduce(
        quarantine::ConnectionClosed{crashing_request_, "s", server, kVersion}, now_);
    for (int each = 0; each < settings_.healthy_requests; ++each) {
      // A safe request whose connection broke is retried and may run on the next crashing server as
      // well.
      const Fingerprint other = HealthyRequest(crashed_servers_ / 2 * 10 + each);
      const std::size_t at = Draw(daemons_.size());
      if (daemons_[at].tracker.StateFor(other, kVersion, now_) == QuarantineState::kQuarantined)
        ++healthy_refused_;
      daemons_[at].tracker.Reduce(quarantine::ConnectionClosed{other, "s", server, kVersion}, now_);
    }
    for (std::size_t each = 0; each < daemons_.size(); ++each)
      Apply(each, daemons_[each].tracker.Reduce(quarantine::ServerEnded{server}, now_), true);
  }
  static Fingerprint HealthyRequest(int number) {
    return FingerprintOf({"host", "/p", "", "innocent " + std::to_string(number)});
  }

  ModelSettings settings_;
  std::mt19937_64 random_;
  std::vector<Daemon> daemons_;
  std::vector<Datagram> in_flight_;
  Fingerprint crashing_request_ = FingerprintOf({"host", "/p", "", "guilty"});
  Time now_ = Time(std::chrono::hours(1));
  Time third_crash_at_{};
  int crashed_servers_ = 0;
  int sent_late_ = 0;
  int healthy_refused_ = 0;
  int restart_count_ = 0;
};

struct WorstResult {
  int crashed_servers = 0;
  int sent_late = 0;
  int healthy_refused = 0;
  /// Runs at the end of which some daemon did not quarantine the request.
  int incomplete_runs = 0;
};

WorstResult RunModel(const ModelSettings& settings, int runs,
                     milliseconds pause = milliseconds(700)) {
  WorstResult worst;
  for (int run = 0; run < runs; ++run) {
    PropagationModel model(settings, static_cast<std::uint64_t>(run) + 1);
    model.Run(pause, milliseconds(8'000));
    worst.crashed_servers = std::max(worst.crashed_servers, model.crashed_servers());
    worst.sent_late += model.sent_late();
    worst.healthy_refused += model.healthy_refused();
    if (model.DaemonsQuarantining() < static_cast<std::size_t>(settings.daemons))
      ++worst.incomplete_runs;
  }
  return worst;
}

TEST_CASE(
    "At most three servers crash under one request, despite datagram loss, with and without a "
    "leader") {
  for (const bool leader : {true, false}) {
    CAPTURE(leader);
    ModelSettings settings;
    settings.leader = leader;
    const WorstResult worst = RunModel(settings, 200);
    CHECK(worst.crashed_servers <= 3);
    CHECK(worst.sent_late == 0);
    CHECK(worst.healthy_refused == 0);
    CHECK(worst.incomplete_runs == 0);
  }
}

TEST_CASE(
    "In a fleet of 295 no daemon sends the request once the quarantine must be known, despite "
    "loss") {
  for (const bool leader : {true, false}) {
    CAPTURE(leader);
    ModelSettings settings;
    settings.daemons = 295;
    settings.leader = leader;
    const WorstResult worst = RunModel(settings, 5);
    CHECK(worst.crashed_servers <= 4);
    CHECK(worst.sent_late == 0);
    CHECK(worst.healthy_refused == 0);
  }
}

TEST_CASE("Restarted daemons receive the cases they lack") {
  ModelSettings settings;
  settings.restarts = 8;
  const WorstResult worst = RunModel(settings, 100);
  CHECK(worst.sent_late == 0);
  CHECK(worst.incomplete_runs == 0);
}

TEST_CASE("The model detects failures when one of the propagation mechanisms is disabled") {
  ModelSettings no_quarantine;
  no_quarantine.servers = 0;
  CHECK(RunModel(no_quarantine, 10).sent_late > 0);
  ModelSettings no_forwarding;
  no_forwarding.leader = false;
  no_forwarding.repeats = false;
  no_forwarding.forwards = false;
  no_forwarding.loss = 0.6;
  no_forwarding.daemons = 30;
  CHECK(RunModel(no_forwarding, 30).incomplete_runs > 0);
  // Restarted daemons receive cases only through the digest comparison.
  ModelSettings no_comparison;
  no_comparison.compares = false;
  no_comparison.repeats = false;
  no_comparison.restarts = 8;
  CHECK(RunModel(no_comparison, 100).incomplete_runs > 0);
}

}  // namespace
}  // namespace moorfold
