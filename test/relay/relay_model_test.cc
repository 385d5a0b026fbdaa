// A store, a watcher and a follower in virtual time, driven by the shipped Reduce and ChangeLog:
// datagrams that are lost, late, doubled and out of order, processes that freeze with an answer in
// hand, reads that fail or come late, daemons cut off from the store, configurations and servers
// that change all the while. Each rule of the relay is also left out in turn, and its harm is
// found.

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include "relay/change_log.h"
#include "relay/follow_state.h"

namespace moorfold {
namespace {

using follow::Time;
using std::chrono::milliseconds;

constexpr follow::Settings kSettings{milliseconds(1'650), milliseconds(300), milliseconds(375)};
constexpr milliseconds kAskEvery{500};
constexpr milliseconds kDay{40'000};
constexpr milliseconds kSlowestRead{700};
constexpr int kServers = 6;
constexpr const char* kConfiguration = "configuration";

/// One of them is left out to show that it is needed.
struct Rules {
  bool age_from_question = true;      ///< An answer's age counts from when it was asked for.
  bool watcher_states_age = true;     ///< The watcher's own knowledge may be old.
  bool configuration_is_read = true;  ///< What is not relayed is not passed over.
  bool log_tells_its_reach = true;    ///< A watcher says when it does not know what came before.
  bool older_reads_yield = true;      ///< A read's answer does not undo what was relayed meanwhile.
};

/// Revision of the newest change of each server and of the configuration, as some daemon knows it.
using Knowledge = std::map<std::string, std::int64_t>;

struct World;

struct Daemon {
  follow::State state;
  Knowledge known;
  ChangeLog log;
  bool cut_off = false;  ///< From the store.
};

struct Harm {
  bool claims_too_much = false;  ///< Something that is older than `current_at` is not known.
  bool goes_back = false;
  bool too_old = false;  ///< Knowledge older than the bound, though the store can be read.
  bool Any() const { return claims_too_much || goes_back || too_old; }
};

struct World {
  World(Rules left, std::uint32_t seed) : rules(left), random(seed) {}

  void At(Time time, std::function<void()> action) {
    actions.push({time, ++order, std::move(action)});
  }
  milliseconds Between(int least, int most) {
    return milliseconds(std::uniform_int_distribution<int>(least, most)(random));
  }
  bool Chance(double share) { return std::uniform_real_distribution<>(0, 1)(random) < share; }
  /// Of a datagram: mostly short, at times that of a frozen process or a full link.
  milliseconds Delay() { return Chance(0.05) ? Between(0, 4'000) : Between(0, 30); }

  void Change() {
    const bool configuration = Chance(0.1);
    const std::string key =
        configuration ? kConfiguration : "server-" + std::to_string(random() % kServers);
    history.emplace(++revision, std::pair(now, key));
    At(now + Between(1, 600), [this] { Change(); });
  }
  Knowledge StoreAt(std::int64_t at) const {
    Knowledge knowledge;
    for (const auto& [changed, change] : history)
      if (changed <= at) knowledge[change.second] = changed;
    return knowledge;
  }

  void Reduce(Daemon& daemon, const follow::Event& event) {
    daemon.state = follow::Reduce(kSettings, daemon.state, event, now).state;
  }
  void Learn(Daemon& daemon, const std::string& key, std::int64_t changed) {
    std::int64_t& before = daemon.known[key];
    if (changed < before) {
      // A configuration is taken with a higher version only, whoever brings it.
      if (key == kConfiguration) return;
      harm.goes_back = true;
    }
    if (key != kConfiguration && changed != before) daemon.log.Note(key, changed, false);
    before = changed;
  }

  void ReadWhenDue(Daemon& daemon) {
    const Time due = follow::NextRead(kSettings, daemon.state);
    if (due == Time::max()) return;
    At(std::max(due, now), [this, &daemon] {
      if (daemon.state.reading_since || now < follow::NextRead(kSettings, daemon.state)) return;
      Read(daemon);
    });
  }
  void Read(Daemon& daemon) {
    const bool lists = !daemon.state.listed;
    Reduce(daemon, follow::ReadBegun{lists});
    const std::int64_t after = daemon.state.revision;
    if (daemon.cut_off) {
      At(now + kSlowestRead, [this, &daemon] {
        Reduce(daemon, follow::ReadFailed{milliseconds(100)});
        ReadWhenDue(daemon);
      });
      return;
    }
    At(now + Between(0, 60), [this, &daemon, after, lists] { AnswerRead(daemon, after, lists); });
  }
  void AnswerRead(Daemon& daemon, std::int64_t after, bool lists) {
    const std::int64_t at = revision;
    At(now + (Chance(0.1) ? Between(0, 600) : Between(0, 60)), [this, &daemon, after, at, lists] {
      const std::int64_t known = daemon.state.revision;
      if (lists) daemon.log.Restart(at);
      for (const auto& [key, changed] : StoreAt(at)) {
        if (changed <= after) continue;
        const bool older = key != kConfiguration && changed <= known;
        if (older && !lists && rules.older_reads_yield) continue;
        Learn(daemon, key, changed);
      }
      daemon.log.Advance(at);
      Reduce(daemon, follow::ReadEnded{at});
      ReadWhenDue(daemon);
    });
  }

  void Ask() {
    At(now + kAskEvery, [this] { Ask(); });
    if (!follower.state.listed || Chance(0.05)) return;  // Lost, or nothing to ask yet.
    const Time asked = now;
    const std::int64_t from = follower.state.revision;
    for (int copy = Chance(0.05) ? 2 : 1; copy > 0; --copy)
      At(now + Delay(), [this, asked, from] { AnswerQuestion(asked, from); });
  }
  void AnswerQuestion(Time asked, std::int64_t from) {
    if (!watcher.state.listed) return;
    follow::Relayed answer;
    const milliseconds age = std::chrono::ceil<milliseconds>(now - watcher.state.current_at);
    answer.from_revision = from;
    answer.to_revision = from;
    answer.gap = !watcher.log.Reaches(from);
    const std::int64_t configuration = watcher.known[kConfiguration];
    std::vector<ChangeLog::Change> changes;
    if (!answer.gap || !rules.log_tells_its_reach) {
      answer.gap = false;
      changes = watcher.log.Since(from);
      answer.to_revision = watcher.log.newest();
    }
    if (Chance(0.05)) return;  // Lost.
    for (int copy = Chance(0.05) ? 2 : 1; copy > 0; --copy)
      At(now + Delay(), [this, asked, age, answer, configuration, changes] {
        TakeAnswer(asked, age, answer, configuration, changes);
      });
  }
  void TakeAnswer(Time asked, milliseconds age, follow::Relayed answer, std::int64_t configuration,
                  const std::vector<ChangeLog::Change>& changes) {
    answer.current_at = (rules.age_from_question ? asked : now) -
                        (rules.watcher_states_age ? age : milliseconds(0));
    answer.newer_configuration =
        rules.configuration_is_read && configuration > follower.known[kConfiguration];
    const std::int64_t known = follower.state.revision;
    const follow::Decision decision = follow::Reduce(kSettings, follower.state, answer, now);
    follower.state = decision.state;
    if (decision.apply) {
      for (const ChangeLog::Change& change : changes)
        if (change.revision > known) Learn(follower, change.server_id, change.revision);
      follower.log.Advance(answer.to_revision);
    }
    ReadWhenDue(follower);
  }

  /// What a daemon claims to know as of some time, it knows.
  void Check(const Daemon& daemon) {
    if (!daemon.state.listed) return;
    for (const auto& [changed, change] : history) {
      if (change.first >= daemon.state.current_at) break;
      const auto known = daemon.known.find(change.second);
      if (known == daemon.known.end() || known->second < changed) harm.claims_too_much = true;
    }
  }
  void CheckAge() {
    if (follower.cut_off || now < reachable_since + kSettings.longest_age + 2 * kSlowestRead)
      return;
    const milliseconds bound = kSettings.longest_age + 2 * kSlowestRead;
    if (now - follower.state.current_at > bound) harm.too_old = true;
  }

  /// One of the daemons is cut off from the store, or reaches it again.
  void Cut() {
    Daemon& daemon = Chance(0.7) ? watcher : follower;
    daemon.cut_off = !daemon.cut_off;
    if (!follower.cut_off && &daemon == &follower) reachable_since = now;
    At(now + Between(500, 6'000), [this] { Cut(); });
  }
  /// Something else makes the follower read.
  void News() {
    Reduce(follower, follow::NewsHeard{});
    ReadWhenDue(follower);
    At(now + Between(200, 3'000), [this] { News(); });
  }
  /// The watcher is killed and another, which has read the store only now, takes its place.
  void Replace() {
    if (!watcher.state.reading_since) {
      watcher.state = {};
      watcher.known.clear();
      watcher.log = {};
      Reduce(watcher, follow::RoleTaken{true});
      ReadWhenDue(watcher);
    }
    At(now + Between(3'000, 12'000), [this] { Replace(); });
  }

  Harm Play() {
    history.emplace(++revision, std::pair(now, std::string(kConfiguration)));
    Reduce(watcher, follow::RoleTaken{true});
    ReadWhenDue(watcher);
    ReadWhenDue(follower);
    reachable_since = now;
    const Time end = now + kDay;
    At(now + Between(1, 500), [this] { Change(); });
    At(now + Between(1, 500), [this] { Ask(); });
    At(now + Between(200, 3'000), [this] { News(); });
    At(now + Between(1'000, 9'000), [this] { Cut(); });
    At(now + Between(1'000, 9'000), [this] { Replace(); });
    while (now < end && !harm.Any()) {
      const Action next = actions.top();
      actions.pop();
      now = std::max(now, next.time);
      next.run();
      Check(follower);
      Check(watcher);
      CheckAge();
    }
    return harm;
  }

  struct Action {
    Time time;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Action& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };

  Rules rules;
  std::mt19937 random;
  Time now{std::chrono::hours(1)};
  std::priority_queue<Action> actions;
  std::uint64_t order = 0;
  std::int64_t revision = 0;
  std::map<std::int64_t, std::pair<Time, std::string>> history;
  Daemon watcher;
  Daemon follower;
  Time reachable_since{};
  Harm harm;
};

Harm PlayMany(const Rules& rules, std::uint32_t days) {
  Harm all;
  for (std::uint32_t seed = 1; seed <= days && !all.Any(); ++seed) {
    const Harm harm = World(rules, seed).Play();
    INFO("seed " << seed);
    all = harm;
  }
  return all;
}

TEST_CASE(
    "A follower knows what it claims to know, never goes back, and is never older than its bound") {
  const Harm harm = PlayMany({}, 400);
  CHECK_FALSE(harm.claims_too_much);
  CHECK_FALSE(harm.goes_back);
  CHECK_FALSE(harm.too_old);
}

TEST_CASE("Without any one of the relay's rules harm is done") {
  const std::array<bool Rules::*, 5> rules = {
      &Rules::age_from_question, &Rules::watcher_states_age, &Rules::configuration_is_read,
      &Rules::log_tells_its_reach, &Rules::older_reads_yield};
  for (std::size_t rule = 0; rule < rules.size(); ++rule) {
    Rules without;
    without.*rules[rule] = false;
    INFO("rule " << rule);
    CHECK(PlayMany(without, 400).Any());
  }
}

}  // namespace
}  // namespace moorfold
