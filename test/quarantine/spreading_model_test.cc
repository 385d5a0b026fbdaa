// Many daemons with the shipped case book, datagrams that are lost or late, and one request that
// ends servers: how many it takes, and when all know. Virtual time.

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
  double loss = 0.2;          ///< Of datagrams.
  bool leader = true;         ///< Otherwise there is none all along.
  bool repeats = true;        ///< Young news are told again twice a second.
  bool forwards = true;       ///< What was heard anew is passed on.
  bool compares = true;       ///< Digests are compared with the leader.
  std::uint32_t servers = 3;  ///< 0: no quarantine.
  int restarts = 0;           ///< Daemons that lose their memory on the way.
  int innocents = 4;          ///< Beside the guilty one on each server.
};

/// Fan-out as in QuarantineService.
class SpreadingModel {
 public:
  SpreadingModel(const ModelSettings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed) {
    quarantine::Settings tracker;
    tracker.servers = settings.servers;
    for (int daemon = 0; daemon < settings.daemons; ++daemon)
      daemons_.push_back({CrashTracker(tracker)});
  }

  /// The guilty request comes again each `pause` at any daemon, for `length`.
  void Run(milliseconds pause, milliseconds length) {
    const Time end = now_ + length;
    Time next = now_;
    Time tick = now_;
    while (now_ < end) {
      Deliver();
      if (now_ >= next) {
        next = now_ + pause;
        TryGuilty();
      }
      if (now_ >= tick) {
        tick = now_ + milliseconds(500);
        Tick();
      }
      now_ += milliseconds(10);
    }
  }
  int ended() const { return ended_; }
  int sent_late() const { return sent_late_; }
  int innocents_refused() const { return innocents_refused_; }
  std::size_t Knowing() const {
    return static_cast<std::size_t>(
        std::count_if(daemons_.begin(), daemons_.end(), [&](const Daemon& daemon) {
          return daemon.tracker.StateFor(guilty_, kVersion, now_) == QuarantineState::kQuarantined;
        }));
  }

 private:
  struct Daemon {
    CrashTracker tracker;
    std::map<Fingerprint, Time> young = {};
    std::size_t cursor = 0;
    Time started = {};
  };
  struct Datagram {
    Time at;
    std::size_t to;
    std::vector<CaseUpdate> cases;
    std::uint64_t digest = 0;  ///< With `from`: a report, to be compared.
    int from = -1;
    bool answer = false;  ///< The leader's, with its own digest.
  };

  std::size_t Draw(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }
  void Send(std::size_t to, std::vector<CaseUpdate> cases, std::uint64_t digest = 0, int from = -1,
            bool answer = false) {
    if (std::bernoulli_distribution(settings_.loss)(random_)) return;
    under_way_.push_back(
        {now_ + milliseconds(1 + Draw(40)), to, std::move(cases), digest, from, answer});
  }
  void Apply(std::size_t number, const Effects& effects, bool own) {
    Daemon& daemon = daemons_[number];
    if (effects.news.empty()) return;
    if (own)
      for (const Fingerprint& news : effects.news) daemon.young[news] = now_;
    if (!own && !settings_.forwards) return;
    const std::vector<CaseUpdate> told = Tell(daemon, effects.news);
    for (std::size_t peer = 0; peer < (own ? 8 : 3); ++peer) Send(Draw(daemons_.size()), told);
    if (settings_.leader && number == 0)
      for (std::size_t to = 1; to < daemons_.size(); ++to) Send(to, told);
    if (settings_.leader && number != 0) Send(0, told);
  }
  std::vector<CaseUpdate> Tell(const Daemon& daemon, const std::vector<Fingerprint>& which) const {
    std::vector<CaseUpdate> told;
    for (const Fingerprint& fingerprint : which)
      told.push_back(daemon.tracker.Tell(fingerprint, now_));
    return told;
  }
  void Deliver() {
    std::vector<Datagram> due;
    std::erase_if(under_way_, [&](const Datagram& datagram) {
      if (datagram.at > now_) return false;
      due.push_back(datagram);
      return true;
    });
    for (const Datagram& datagram : due) {
      Daemon& daemon = daemons_[datagram.to];
      if (datagram.from >= 0 && datagram.digest != daemon.tracker.Digest())
        Send(static_cast<std::size_t>(datagram.from),
             Tell(daemon, daemon.tracker.NextCasesToSync(32, daemon.cursor)));
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
      std::vector<Fingerprint> young;
      for (const auto& [fingerprint, at] : daemon.young)
        if (now_ - at < milliseconds(10'000)) young.push_back(fingerprint);
      if (young.empty()) continue;
      for (int peer = 0; peer < 2; ++peer) Send(Draw(daemons_.size()), Tell(daemon, young));
      if (settings_.leader && number != 0) Send(0, Tell(daemon, young));
    }
  }
  /// The guilty request at some daemon; if it is sent on, its server ends with all that it runs.
  void TryGuilty() {
    if (restarted_ < settings_.restarts) {
      ++restarted_;
      quarantine::Settings tracker;
      tracker.servers = settings_.servers;
      Daemon& restarted = daemons_[Draw(daemons_.size())];
      restarted = {CrashTracker(tracker)};
      restarted.started = now_;
    }
    const std::size_t number = Draw(daemons_.size());
    if (daemons_[number].tracker.StateFor(guilty_, kVersion, now_) == QuarantineState::kQuarantined)
      return;
    // Who has just started is not in touch yet.
    const bool in_touch = now_ - daemons_[number].started > milliseconds(3'000);
    if (in_touch && ended_ >= 3 && now_ - third_ > milliseconds(3'000)) ++sent_late_;
    const std::string server = "i-" + std::to_string(ended_);
    if (++ended_ == 3) third_ = now_;
    daemons_[number].tracker.Reduce(quarantine::LinkEnded{guilty_, "s", server, kVersion}, now_);
    for (int each = 0; each < settings_.innocents; ++each) {
      // A safe request that broke off comes again, and may share the next server as well.
      const Fingerprint other = Innocent(ended_ / 2 * 10 + each);
      const std::size_t at = Draw(daemons_.size());
      if (daemons_[at].tracker.StateFor(other, kVersion, now_) == QuarantineState::kQuarantined)
        ++innocents_refused_;
      daemons_[at].tracker.Reduce(quarantine::LinkEnded{other, "s", server, kVersion}, now_);
    }
    for (std::size_t each = 0; each < daemons_.size(); ++each)
      Apply(each, daemons_[each].tracker.Reduce(quarantine::ServerEnded{server}, now_), true);
  }
  static Fingerprint Innocent(int number) {
    return FingerprintOf({"host", "/p", "", "innocent " + std::to_string(number)});
  }

  ModelSettings settings_;
  std::mt19937_64 random_;
  std::vector<Daemon> daemons_;
  std::vector<Datagram> under_way_;
  Fingerprint guilty_ = FingerprintOf({"host", "/p", "", "guilty"});
  Time now_ = Time(std::chrono::hours(1));
  Time third_{};
  int ended_ = 0;
  int sent_late_ = 0;
  int innocents_refused_ = 0;
  int restarted_ = 0;
};

struct Worst {
  int ended = 0;
  int sent_late = 0;
  int innocents_refused = 0;
  int unknowing = 0;  ///< Runs after which some daemon did not know.
};

Worst Explore(const ModelSettings& settings, int runs, milliseconds pause = milliseconds(700)) {
  Worst worst;
  for (int run = 0; run < runs; ++run) {
    SpreadingModel model(settings, static_cast<std::uint64_t>(run) + 1);
    model.Run(pause, milliseconds(8'000));
    worst.ended = std::max(worst.ended, model.ended());
    worst.sent_late += model.sent_late();
    worst.innocents_refused += model.innocents_refused();
    if (model.Knowing() < static_cast<std::size_t>(settings.daemons)) ++worst.unknowing;
  }
  return worst;
}

TEST_CASE(
    "Three servers at most end under one request, through losses, with and without a leader") {
  for (const bool leader : {true, false}) {
    CAPTURE(leader);
    ModelSettings settings;
    settings.leader = leader;
    const Worst worst = Explore(settings, 200);
    CHECK(worst.ended <= 3);
    CHECK(worst.sent_late == 0);
    CHECK(worst.innocents_refused == 0);
    CHECK(worst.unknowing == 0);
  }
}

TEST_CASE("In a fleet of 295 nothing is sent once it must be known, through losses") {
  for (const bool leader : {true, false}) {
    CAPTURE(leader);
    ModelSettings settings;
    settings.daemons = 295;
    settings.leader = leader;
    const Worst worst = Explore(settings, 5);
    CHECK(worst.ended <= 4);
    CHECK(worst.sent_late == 0);
    CHECK(worst.innocents_refused == 0);
  }
}

TEST_CASE("Daemons that lose their memory are told what they lack") {
  ModelSettings settings;
  settings.restarts = 8;
  const Worst worst = Explore(settings, 100);
  CHECK(worst.sent_late == 0);
  CHECK(worst.unknowing == 0);
}

TEST_CASE("Without any one of the ways of telling the model finds the harm") {
  ModelSettings none;
  none.servers = 0;
  CHECK(Explore(none, 10).sent_late > 0);
  ModelSettings mute;
  mute.leader = false;
  mute.repeats = false;
  mute.forwards = false;
  mute.loss = 0.6;
  mute.daemons = 30;
  CHECK(Explore(mute, 30).unknowing > 0);
  ModelSettings forgetful;  // Whoever lost its memory hears only by comparing.
  forgetful.compares = false;
  forgetful.repeats = false;
  forgetful.restarts = 8;
  CHECK(Explore(forgetful, 100).unknowing > 0);
}

}  // namespace
}  // namespace moorfold
