// Many daemons before one server that names a limit, in virtual time: the shipped pool, own turns
// and standing, over a network that delays and loses, with leaders that go and come.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "fleet/server_statement.h"
#include "server_limits/fallback_permits.h"
#include "server_limits/limit_shares.h"
#include "server_limits/permit_allocator.h"

namespace moorfold::limits {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const Time kStart{std::chrono::hours(1)};
constexpr milliseconds kContact{3'000};
constexpr milliseconds kToldFor{500};
constexpr double kFreeRequests = 5;
constexpr milliseconds kAskSilentAgain{500};
constexpr milliseconds kOwnTurnPause{100};

struct Trouble {
  double loss = 0;
  bool leaders_change = false;  ///< Killed, and followed by another 3 s later.
  bool two_leaders = false;     ///< Half of the daemons go on with a leader that lost its lease.
  bool all_restart = false;
  bool nobody_leads = false;
};

class Model {
 public:
  Model(std::uint64_t seed, int daemons, double limit, double wanted_per_second, Trouble trouble)
      : random_(seed), limit_(limit), trouble_(trouble), wanted_(wanted_per_second) {
    for (int number = 0; number < daemons; ++number) daemons_.push_back(Fresh(number));
    for (int number = 0; number < daemons; ++number)
      Later(Draw(1'000), [this, number] { Want(number); });
    if (trouble_.leaders_change) Later(milliseconds(6'000), [this] { KillLeader(); });
    if (trouble_.two_leaders) Later(milliseconds(5'000), [this] { SplitLeaders(); });
    if (trouble_.all_restart) Later(milliseconds(9'000), [this] { RestartAll(); });
    if (trouble_.nobody_leads) leader_ = -1;
  }

  void Run(milliseconds time) {
    const Time end = now_ + time;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = end;
  }
  void EndLimit() { limit_.reset(); }
  int sent() const { return sent_; }
  double worst_excess() const { return worst_excess_; }
  int StillLimited() const {
    return static_cast<int>(std::count_if(daemons_.begin(), daemons_.end(), [](const Daemon& each) {
      return each.standing.limit_per_second.has_value();
    }));
  }

 private:
  struct Daemon {
    ServerStanding standing;
    std::optional<Time> told_at;
    Time at_limit_until{};
    Time silent_until{};
    FallbackPermits own{0};
    PermitAllocator pool;
    int leader = 0;  ///< As it knows.
    int life = 0;
  };
  struct Event {
    Time at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  Daemon Fresh(int number) {
    Daemon daemon;
    daemon.own = FallbackPermits(random_() + static_cast<std::uint64_t>(number));
    daemon.leader = leader_;
    return daemon;
  }
  microseconds Draw(int most_ms) {
    return microseconds(std::uniform_int_distribution<int>(0, most_ms * 1000)(random_));
  }
  bool Chance(double share) { return std::bernoulli_distribution(share)(random_); }
  void Later(BootClock::duration after, std::function<void()> action) {
    events_.push({now_ + after, next_event_++, std::move(action)});
  }

  AllocatorRole RoleOf(int number) const {
    if (number == leader_) return AllocatorRole::kLeader;
    return number == deputy_ ? AllocatorRole::kDeputy : AllocatorRole::kNone;
  }
  void KillLeader() {
    leader_ = -1;
    Later(milliseconds(3'000), [this] {
      leader_ = static_cast<int>(random_() % daemons_.size());
      for (Daemon& daemon : daemons_) daemon.leader = leader_;
      Later(milliseconds(4'000), [this] { KillLeader(); });
    });
  }
  void SplitLeaders() {
    deputy_ = leader_;
    leader_ = (leader_ + 1) % static_cast<int>(daemons_.size());
    for (std::size_t number = 0; number < daemons_.size(); number += 2)
      daemons_[number].leader = leader_;
  }
  void RestartAll() {
    for (std::size_t number = 0; number < daemons_.size(); ++number) {
      const int life = daemons_[number].life + 1;
      daemons_[number] = Fresh(static_cast<int>(number));
      daemons_[number].life = life;
    }
  }

  /// A request comes for which the server would be chosen.
  void Want(int number) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const double mean_s = static_cast<double>(daemons_.size()) / wanted_;
    const double pause = std::exponential_distribution<double>(1 / mean_s)(random_);
    Later(std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(pause)),
          [this, number] { Want(number); });
    if (!daemon.standing.limit_per_second) {
      Send(number);
      return;
    }
    if (now_ >= daemon.at_limit_until) Ask(number);
  }
  void Ask(int number) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const int leader = daemon.leader;
    if (leader < 0 || now_ < daemon.silent_until) {
      TakeOwnTurn(number);
      return;
    }
    const PermitRequest question{
        std::chrono::duration_cast<microseconds>(now_.time_since_epoch()).count(),
        "i",
        0,
        true,
        *daemon.standing.limit_per_second,
        std::chrono::duration_cast<microseconds>(now_ - daemon.standing.limit_as_of).count(),
        0};
    const int life = daemon.life;
    const auto answered = std::make_shared<bool>(false);
    Later(kAnswerTimeout, [this, number, life, answered] {
      Daemon& asker = daemons_[static_cast<std::size_t>(number)];
      if (*answered || asker.life != life) return;
      *answered = true;
      asker.silent_until = now_ + kAskSilentAgain;
      TakeOwnTurn(number);
    });
    if (Chance(trouble_.loss)) return;
    Later(Draw(10), [this, number, life, answered, question, leader] {
      Daemon& pool = daemons_[static_cast<std::size_t>(leader)];
      if (leader_ < 0) return;  // Killed.
      const PermitResponse answer = pool.pool.Answer(question, RoleOf(leader), now_);
      if (Chance(trouble_.loss)) return;
      Later(Draw(10), [this, number, life, answered, answer] {
        if (*answered || daemons_[static_cast<std::size_t>(number)].life != life) return;
        *answered = true;
        TakeAnswer(number, answer);
      });
    });
  }
  void TakeAnswer(int number, const PermitResponse& answer) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    if (answer.verdict == PermitVerdict::kNotAllocator) {
      daemon.silent_until = now_ + kAskSilentAgain;
      TakeOwnTurn(number);
    } else if (answer.verdict == PermitVerdict::kDenied) {
      daemon.at_limit_until = now_ + microseconds(answer.wait_us);
    } else {
      if (answer.verdict == PermitVerdict::kUnlimited) daemon.standing.limit_per_second.reset();
      Send(number);
    }
  }
  void TakeOwnTurn(int number) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const auto fleet = static_cast<std::uint32_t>(daemons_.size());
    if (!daemon.standing.limit_per_second) return;
    if (daemon.own.Take("i", *daemon.standing.limit_per_second, fleet, now_))
      Send(number);
    else
      daemon.at_limit_until = now_ + kOwnTurnPause;
  }
  void Send(int number) {
    const Time sent_at = now_;
    Later(Draw(20), [this, number, sent_at] {
      ++sent_;
      Count(number);
      ServerStatement statement;
      statement.limit_per_second = limit_;
      const int life = daemons_[static_cast<std::size_t>(number)].life;
      Later(Draw(300), [this, number, life, sent_at, statement] {
        Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
        if (daemon.life != life) return;
        const bool limited = daemon.standing.limit_per_second.has_value();
        daemon.standing.Take(statement, sent_at, now_, true);
        if (statement.limit_per_second && !daemon.told_at) daemon.told_at = now_;
        if (limited && !daemon.standing.limit_per_second) ReportLimitRemoved(number);
      });
    });
  }
  void ReportLimitRemoved(int number) {
    const int leader = daemons_[static_cast<std::size_t>(number)].leader;
    if (leader < 0 || Chance(trouble_.loss)) return;
    Later(Draw(10), [this, leader] {
      daemons_[static_cast<std::size_t>(leader)].pool.Answer({0, "i", 0, false, 0, 0, -1},
                                                             RoleOf(leader), now_);
    });
  }
  /// Counts a request at the server against what it has named, as the promise says.
  void Count(int number) {
    const Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const bool told = daemon.told_at && now_ - *daemon.told_at >= kToldFor;
    if (!limit_ || !told || now_ < kStart + kContact) return;
    arrivals_.push_back(now_);
    while (arrivals_.front() <= now_ - kLimitWindow) arrivals_.pop_front();
    const double seconds = std::chrono::duration<double>(kLimitWindow).count();
    const double allowed = kMaxOvershootFactor * *limit_ * seconds + kFreeRequests;
    worst_excess_ = std::max(worst_excess_, static_cast<double>(arrivals_.size()) - allowed);
  }

  std::mt19937_64 random_;
  std::optional<double> limit_;
  Trouble trouble_;
  double wanted_;
  Time now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<Daemon> daemons_;
  int leader_ = 0;
  int deputy_ = -1;
  std::deque<Time> arrivals_;
  int sent_ = 0;
  double worst_excess_ = -1e9;
};

constexpr milliseconds kDay{40'000};

TEST_CASE("However many daemons share a limit, and whatever befalls them, its sum holds") {
  const int daemons = GENERATE(2, 6, 40, 300);
  const double limit = GENERATE(0.5, 1.0, 12.0);
  const std::vector<Trouble> troubles = {{},
                                         {.loss = 0.1},
                                         {.leaders_change = true},
                                         {.two_leaders = true},
                                         {.loss = 0.1, .two_leaders = true, .all_restart = true},
                                         {.leaders_change = true, .all_restart = true},
                                         {.nobody_leads = true}};
  for (std::size_t kind = 0; kind < troubles.size(); ++kind)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(daemons, limit, kind, seed);
      Model model(seed, daemons, limit, 6 * limit + daemons, troubles[kind]);
      model.Run(kDay);
      CHECK(model.worst_excess() <= 0);
    }
}

TEST_CASE("A limited server gets most of what it takes, whichever daemons want it") {
  const int daemons = GENERATE(2, 6, 40, 300);
  const double limit = GENERATE(1.0, 12.0);
  CAPTURE(daemons, limit);
  Model model(3, daemons, limit, 4 * limit + daemons, {});
  model.Run(milliseconds(10'000));
  const int before = model.sent();
  model.Run(kDay);
  const double seconds = std::chrono::duration<double>(kDay).count();
  CHECK(model.sent() - before >= 0.75 * limit * seconds);
}

TEST_CASE("When a server names its limit no more, all daemons hear of it soon") {
  const int daemons = GENERATE(2, 6, 40, 300);
  CAPTURE(daemons);
  Model model(5, daemons, 1.0, 4.0 + daemons, {.loss = 0.05});
  model.Run(milliseconds(10'000));
  model.EndLimit();
  // Each wants to send about once a second; who sends nothing hears nothing.
  model.Run(milliseconds(12'000));
  CHECK(model.StillLimited() == 0);
}

}  // namespace
}  // namespace moorfold::limits
