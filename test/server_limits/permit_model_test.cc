// Simulates many daemons that share one server with a rate limit, in virtual time. Uses the
// production PermitAllocator, FallbackPermits and ServerAdvisoryState over a network that delays
// and loses messages, with changing leaders.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "fleet/server_advisory.h"
#include "server_limits/fallback_permits.h"
#include "server_limits/limit_shares.h"
#include "server_limits/permit_allocator.h"

namespace moorfold::limits {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

const Time kStart{std::chrono::hours(1)};
constexpr milliseconds kStartupTime{3'000};
constexpr milliseconds kLimitKnownDelay{500};
constexpr double kAllowedExcess = 5;
constexpr milliseconds kUnresponsiveLeaderPause{500};
constexpr milliseconds kFallbackRetryPause{100};

struct Faults {
  double loss = 0;
  bool leaders_change = false;  ///< The leader is killed; another one takes over 3 s later.
  bool two_leaders = false;  ///< Half of the daemons keep following a leader that lost its lease.
  bool restart_all = false;
  bool no_leader = false;
};

class Model {
 public:
  Model(std::uint64_t seed, int daemons, double limit, double wanted_per_second, Faults faults)
      : random_(seed), limit_(limit), faults_(faults), demand_per_second_(wanted_per_second) {
    for (int number = 0; number < daemons; ++number) daemons_.push_back(MakeDaemon(number));
    for (int number = 0; number < daemons; ++number)
      Schedule(Draw(1'000), [this, number] { ArriveRequest(number); });
    if (faults_.leaders_change) Schedule(milliseconds(6'000), [this] { KillLeader(); });
    if (faults_.two_leaders) Schedule(milliseconds(5'000), [this] { SplitLeaders(); });
    if (faults_.restart_all) Schedule(milliseconds(9'000), [this] { RestartAll(); });
    if (faults_.no_leader) leader_ = -1;
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
      return each.advisory_state.limit_per_second.has_value();
    }));
  }

 private:
  struct Daemon {
    ServerAdvisoryState advisory_state;
    std::optional<Time> limit_learned_at;
    Time at_limit_until{};
    Time leader_unresponsive_until{};
    FallbackPermits fallback{0};
    PermitAllocator allocator;
    int leader = 0;  ///< The leader known to this daemon.
    int incarnation = 0;
  };
  struct Event {
    Time at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.number) < std::tie(at, number);
    }
  };

  Daemon MakeDaemon(int number) {
    Daemon daemon;
    daemon.fallback = FallbackPermits(random_() + static_cast<std::uint64_t>(number));
    daemon.leader = leader_;
    return daemon;
  }
  microseconds Draw(int most_ms) {
    return microseconds(std::uniform_int_distribution<int>(0, most_ms * 1000)(random_));
  }
  bool Chance(double share) { return std::bernoulli_distribution(share)(random_); }
  void Schedule(BootClock::duration after, std::function<void()> action) {
    events_.push({now_ + after, next_event_++, std::move(action)});
  }

  AllocatorRole RoleOf(int number) const {
    if (number == leader_) return AllocatorRole::kLeader;
    return number == deputy_ ? AllocatorRole::kDeputy : AllocatorRole::kNone;
  }
  void KillLeader() {
    leader_ = -1;
    Schedule(milliseconds(3'000), [this] {
      leader_ = static_cast<int>(random_() % daemons_.size());
      for (Daemon& daemon : daemons_) daemon.leader = leader_;
      Schedule(milliseconds(4'000), [this] { KillLeader(); });
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
      const int incarnation = daemons_[number].incarnation + 1;
      daemons_[number] = MakeDaemon(static_cast<int>(number));
      daemons_[number].incarnation = incarnation;
    }
  }

  /// A request arrives for which the limited server would be selected.
  void ArriveRequest(int number) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const double mean_s = static_cast<double>(daemons_.size()) / demand_per_second_;
    const double pause = std::exponential_distribution<double>(1 / mean_s)(random_);
    Schedule(std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(pause)),
             [this, number] { ArriveRequest(number); });
    if (!daemon.advisory_state.limit_per_second) {
      Send(number);
      return;
    }
    if (now_ >= daemon.at_limit_until) RequestPermit(number);
  }
  void RequestPermit(int number) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const int leader = daemon.leader;
    if (leader < 0 || now_ < daemon.leader_unresponsive_until) {
      TryFallbackPermit(number);
      return;
    }
    const PermitRequest request{
        std::chrono::duration_cast<microseconds>(now_.time_since_epoch()).count(),
        "i",
        0,
        true,
        *daemon.advisory_state.limit_per_second,
        std::chrono::duration_cast<microseconds>(now_ - daemon.advisory_state.limit_requested_at)
            .count(),
        0};
    const int incarnation = daemon.incarnation;
    const auto completed = std::make_shared<bool>(false);
    Schedule(kResponseTimeout, [this, number, incarnation, completed] {
      Daemon& asker = daemons_[static_cast<std::size_t>(number)];
      if (*completed || asker.incarnation != incarnation) return;
      *completed = true;
      asker.leader_unresponsive_until = now_ + kUnresponsiveLeaderPause;
      TryFallbackPermit(number);
    });
    if (Chance(faults_.loss)) return;
    Schedule(Draw(10), [this, number, incarnation, completed, request, leader] {
      Daemon& allocator = daemons_[static_cast<std::size_t>(leader)];
      if (leader_ < 0) return;  // The leader has been killed.
      const PermitResponse response = allocator.allocator.Allocate(request, RoleOf(leader), now_);
      if (Chance(faults_.loss)) return;
      Schedule(Draw(10), [this, number, incarnation, completed, response] {
        if (*completed || daemons_[static_cast<std::size_t>(number)].incarnation != incarnation)
          return;
        *completed = true;
        HandleResponse(number, response);
      });
    });
  }
  void HandleResponse(int number, const PermitResponse& response) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    if (response.verdict == PermitVerdict::kNotAllocator) {
      daemon.leader_unresponsive_until = now_ + kUnresponsiveLeaderPause;
      TryFallbackPermit(number);
    } else if (response.verdict == PermitVerdict::kDenied) {
      daemon.at_limit_until = now_ + microseconds(response.wait_us);
    } else {
      if (response.verdict == PermitVerdict::kUnlimited)
        daemon.advisory_state.limit_per_second.reset();
      Send(number);
    }
  }
  void TryFallbackPermit(int number) {
    Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const auto fleet = static_cast<std::uint32_t>(daemons_.size());
    if (!daemon.advisory_state.limit_per_second) return;
    if (daemon.fallback.TryAcquire("i", *daemon.advisory_state.limit_per_second, fleet, now_))
      Send(number);
    else
      daemon.at_limit_until = now_ + kFallbackRetryPause;
  }
  void Send(int number) {
    const Time sent_at = now_;
    Schedule(Draw(20), [this, number, sent_at] {
      ++sent_;
      Count(number);
      ServerAdvisory statement;
      statement.limit_per_second = limit_;
      const int incarnation = daemons_[static_cast<std::size_t>(number)].incarnation;
      Schedule(Draw(300), [this, number, incarnation, sent_at, statement] {
        Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
        if (daemon.incarnation != incarnation) return;
        const bool limited = daemon.advisory_state.limit_per_second.has_value();
        daemon.advisory_state.Take(statement, sent_at, now_, true);
        if (statement.limit_per_second && !daemon.limit_learned_at) daemon.limit_learned_at = now_;
        if (limited && !daemon.advisory_state.limit_per_second) ReportLimitRemoved(number);
      });
    });
  }
  void ReportLimitRemoved(int number) {
    const int leader = daemons_[static_cast<std::size_t>(number)].leader;
    if (leader < 0 || Chance(faults_.loss)) return;
    Schedule(Draw(10), [this, leader] {
      daemons_[static_cast<std::size_t>(leader)].allocator.Allocate({0, "i", 0, false, 0, 0, -1},
                                                                    RoleOf(leader), now_);
    });
  }
  /// Counts a request that reaches the server and compares the total with the limit that the server
  /// has stated and the allowed overshoot.
  void Count(int number) {
    const Daemon& daemon = daemons_[static_cast<std::size_t>(number)];
    const bool limit_known =
        daemon.limit_learned_at && now_ - *daemon.limit_learned_at >= kLimitKnownDelay;
    if (!limit_ || !limit_known || now_ < kStart + kStartupTime) return;
    recent_arrivals_.push_back(now_);
    while (recent_arrivals_.front() <= now_ - kLimitWindow) recent_arrivals_.pop_front();
    const double seconds = std::chrono::duration<double>(kLimitWindow).count();
    const double allowed = kMaxOvershootFactor * *limit_ * seconds + kAllowedExcess;
    worst_excess_ = std::max(worst_excess_, static_cast<double>(recent_arrivals_.size()) - allowed);
  }

  std::mt19937_64 random_;
  std::optional<double> limit_;
  Faults faults_;
  double demand_per_second_;
  Time now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t next_event_ = 0;
  std::vector<Daemon> daemons_;
  int leader_ = 0;
  int deputy_ = -1;
  std::deque<Time> recent_arrivals_;
  int sent_ = 0;
  double worst_excess_ = -1e9;
};

constexpr milliseconds kRunTime{40'000};

TEST_CASE("The total rate stays within the limit for any number of daemons and under faults") {
  const int daemons = GENERATE(2, 6, 40, 300);
  const double limit = GENERATE(0.5, 1.0, 12.0);
  const std::vector<Faults> fault_sets = {{},
                                          {.loss = 0.1},
                                          {.leaders_change = true},
                                          {.two_leaders = true},
                                          {.loss = 0.1, .two_leaders = true, .restart_all = true},
                                          {.leaders_change = true, .restart_all = true},
                                          {.no_leader = true}};
  for (std::size_t kind = 0; kind < fault_sets.size(); ++kind)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(daemons, limit, kind, seed);
      Model model(seed, daemons, limit, 6 * limit + daemons, fault_sets[kind]);
      model.Run(kRunTime);
      CHECK(model.worst_excess() <= 0);
    }
}

TEST_CASE("A limited server receives most of the rate it allows, however many daemons share it") {
  const int daemons = GENERATE(2, 6, 40, 300);
  const double limit = GENERATE(1.0, 12.0);
  CAPTURE(daemons, limit);
  Model model(3, daemons, limit, 4 * limit + daemons, {});
  model.Run(milliseconds(10'000));
  const int before = model.sent();
  model.Run(kRunTime);
  const double seconds = std::chrono::duration<double>(kRunTime).count();
  CHECK(model.sent() - before >= 0.75 * limit * seconds);
}

TEST_CASE("When a server removes its limit, all daemons learn of it soon") {
  const int daemons = GENERATE(2, 6, 40, 300);
  CAPTURE(daemons);
  Model model(5, daemons, 1.0, 4.0 + daemons, {.loss = 0.05});
  model.Run(milliseconds(10'000));
  model.EndLimit();
  // Each daemon sends about one request per second; a daemon that sends nothing learns nothing.
  model.Run(milliseconds(12'000));
  CHECK(model.StillLimited() == 0);
}

}  // namespace
}  // namespace moorfold::limits
