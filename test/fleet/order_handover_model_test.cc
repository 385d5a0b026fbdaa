// Every interleaving of a small world: three machines that lead in turn, leases that lapse,
// renewals whose answers are lost, orders under way, planned stops, restarts, a store that comes
// back from an older copy. The shipped OrderWindow, OrderHistory, StoreRestoreWait and FencingToken
// decide; each rule is also left out in turn, and harm is found.

#include <array>
#include <catch2/catch.hpp>
#include <optional>

#include "fleet/fencing_token.h"
#include "fleet/leader_election.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using Time = OrderHistory::Time;

constexpr milliseconds kLease{3'000};
constexpr milliseconds kApart{3'000};
constexpr milliseconds kWaitAfterOther{2'400};  // Apart + 600 + 300 - half of the lease.
constexpr milliseconds kOwnWait{400};
constexpr const char* kServer = "i-1";
constexpr std::array<milliseconds, 4> kGaps = {milliseconds(0), milliseconds(600),
                                               milliseconds(1'499), milliseconds(3'000)};
constexpr int kMachines = 3;
constexpr int kSteps = 5;

/// The rules that keep orders apart; one of them is left out to show that it is needed.
struct Rules {
  bool stop_at_half_lease = true;
  bool bound_orders = true;
  bool wait_after_win = true;        ///< Where the leader before left nothing.
  bool keep_away = true;             ///< From servers that the leader before left as ordered.
  bool release_after_orders = true;  ///< Leadership is given up only when no order is under way.
  bool end_only_released_leases = true;  ///< Else the key is gone before its time.
  bool own_process_unknown = true;       ///< Others wait for what an earlier process here ordered.
  bool hand_on_quiet = true;             ///< A leader that still waits hands its wait on.
  bool settle_when_clear = true;  ///< A restarted leader does without the wait only if all is past.
  bool claim_as_decided = true;   ///< A claim is dropped when the key changed since it was decided.
  bool wait_after_return =
      true;  ///< A leader of a later era waits out the orders of the one before.
  bool renewals_name_era = true;  ///< Else a renewal succeeds on a number that is another's by now.
  bool copies_tell_the_past = true;  ///< What a copy says of its leader is not taken for what is.
  bool tokens_count_returns = true;  ///< Else tokens are bare revisions, which are given out again.
};

/// A lease that was granted for a claim which the store carries out later, if at all.
struct PendingClaim {
  Time granted{};
  LeadershipClaim claim{StoreRevision{}};
};

std::string Name(int index) { return {static_cast<char>('a' + index)}; }

struct Machine {
  explicit Machine(int index) : history(Name(index), kApart, milliseconds(5'000)) {}
  OrderWindow window{kLease};
  OrderHistory history;
  std::int64_t token = 0;
  Time busy_until{};
  Time others_from{};
  bool resigned = false;
  std::optional<PendingClaim> pending;
  StoreRestoreWait era_wait{kLease / 2 + milliseconds(600) + kApart + milliseconds(300)};
  std::int64_t lease_era = 0;
};

/// The leader key as the store has it.
struct Key {
  int owner = -1;  ///< -1: there is none.
  std::int64_t token = 0;
  Time lease_ends{};
  bool settled = false;
  std::optional<OrderHistoryRecord> released;
  Time written{};
  StoreRevision revision;       ///< Of its newest change; number 0: there is none.
  std::int64_t written_in = 0;  ///< The era in which its record was written.
};

struct Arrival {
  int sender = 0;
  std::int64_t token = 0;
  Time at;
};

struct World {
  std::array<Machine, kMachines> machines = {Machine(0), Machine(1), Machine(2)};
  Time now{std::chrono::seconds(1'000)};
  Key key;
  std::int64_t era = 0;
  std::int64_t revision = 1;
  StoreRevision NextRevision() { return {era, ++revision}; }
  std::vector<Key> copies;  ///< Of the key, of which one may come back, once.
  std::vector<Arrival> arrivals;
};

class Explorer {
 public:
  explicit Explorer(Rules rules) : rules_(rules) {}

  /// @return a harm, or nothing when no schedule of that many steps does any.
  std::optional<std::string> Explore(const World& world, int steps) {
    ++visited_;
    if (steps == 0) return harm_;
    for (const milliseconds gap : kGaps) {
      if (harm_) break;
      World later = world;
      later.now += gap;
      if (later.key.owner >= 0 && !later.key.released && later.now >= later.key.lease_ends)
        later.key = Key{};
      Step(later, steps - 1);
    }
    return harm_;
  }
  std::uint64_t visited() const { return visited_; }

  /// "a" has led for long and handed its lead to "b", which has just ordered. Copies of all three
  /// times may come back.
  World HandedOver() {
    World world = FirstOrder(milliseconds(0));
    world.key.settled = true;
    world.copies = {Key{}, world.key};
    world.now += milliseconds(5'000);
    Machine& leaver = At(world, 0);
    world.key.released = leaver.history.Write(world.now, leaver.window.order_from());
    world.key.written = world.now;
    world.key.revision = world.NextRevision();
    leaver.window.Lose();
    world.copies.push_back(world.key);
    BeginTerm(world, 1);
    world.now += milliseconds(4'000);
    At(world, 1).window.Renew(world.now);
    world.key.lease_ends = world.now + kLease;
    Send(world, 1, milliseconds(0));
    return world;
  }

  /// The store has come back without the key while "b" led, who has not heard of it; "c" has won.
  /// Where renewals succeed by number, those of "b" have gone on since.
  World LeaderUnaware() {
    World world = HandedOver();
    world.copies.clear();
    ++world.era;
    world.key = Key{};
    for (Machine& machine : world.machines) machine.era_wait.NoteEra(world.era, world.now);
    BeginTerm(world, 2);
    for (int renewal = 0; renewal < 3; ++renewal) {
      world.now += milliseconds(1'499);
      if (!rules_.renewals_name_era) At(world, 1).window.Renew(world.now);
      At(world, 2).window.Renew(world.now);
    }
    world.key.lease_ends = world.now + kLease;
    return world;
  }

  /// "a" led and lost its key after its lease; "a" and "b" have both been granted leases to claim
  /// it, and the claim of "a" is done.
  World TwoCandidates() {
    World world = FirstOrder(milliseconds(0));
    world.now += kLease;
    world.key = Key{};
    At(world, 0).window.Lose();
    for (const int index : {0, 1})
      At(world, index).pending = PendingClaim{world.now, *ConditionOf(world, index)};
    CarryOutClaim(world, 0);
    return world;
  }

  /// "a" leads for long, and has just sent an order that arrives after `delay`.
  World FirstOrder(milliseconds delay) {
    World world;
    Win(world, 0, world.now);
    world.now += milliseconds(10'000);
    At(world, 0).window.Renew(world.now);
    world.key.lease_ends = world.now + kLease;
    Send(world, 0, delay);
    return world;
  }

 private:
  static Machine& At(World& world, int index) {
    return world.machines[static_cast<std::size_t>(index)];
  }

  /// The key is as it was in a copy; its lease is there or not, and revisions are given out again.
  void ComeBack(const World& before, const Key& copy, int steps) {
    World world = before;
    world.copies.clear();
    ++world.era;
    world.revision = std::max<std::int64_t>(1, copy.revision.number);
    world.key = copy;
    if (copy.owner >= 0) world.key.revision.era = world.era;
    world.key.lease_ends = world.now + kLease;
    for (Machine& machine : world.machines) machine.era_wait.NoteEra(world.era, world.now);
    Explore(world, steps);
  }

  void Step(const World& world, int steps) {
    for (const Key& copy : world.copies) ComeBack(world, copy, steps);
    bool claimed_by_new = false;
    for (int index = 0; index < kMachines && !harm_; ++index) {
      const Machine& machine = world.machines[static_cast<std::size_t>(index)];
      if (machine.window.leading()) {
        Renew(world, index, steps);
        for (const milliseconds delay : Delays())
          if (MaySend(world, machine)) {
            World sent = world;
            Send(sent, index, delay);
            Explore(sent, steps);
          }
        Release(world, index, steps);
        Restart(world, index, steps);
        Settle(world, index, steps);
      }
      // Machines that have not led are alike: one of them is enough.
      const bool fresh = machine.token == 0;
      if (MayClaim(world, index) && !(fresh && claimed_by_new)) {
        claimed_by_new = claimed_by_new || fresh;
        Claim(world, index, steps);
      }
      ClaimLater(world, index, steps);
    }
  }

  /// What the machine would see of the key now.
  static LeaderKeyState SightOf(const World& world) {
    if (world.key.owner < 0) return {std::nullopt, {world.era, 0}, false};
    LeaderRecord record;
    record.name = Name(world.key.owner);
    record.released = world.key.released.has_value();
    return {record, world.key.revision, false};
  }

  static std::optional<LeadershipClaim> ConditionOf(const World& world, int index) {
    const auto condition = LeadershipClaim::Condition(SightOf(world), Name(index));
    if (!condition) return std::nullopt;
    return LeadershipClaim(*condition);
  }

  /// The lease that was asked for earlier has come, or the claim was on its way for long.
  void ClaimLater(const World& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    if (!machine.pending || machine.window.leading()) return;
    if (before.now >= machine.pending->granted + kLease) return;  // No such lease.
    World world = before;
    PendingClaim& pending = *At(world, index).pending;
    if (!rules_.claim_as_decided)
      pending.claim =
          LeadershipClaim(world.key.owner < 0 ? StoreRevision{world.era, 0} : world.key.revision);
    const StoreRevision now_there =
        world.key.owner < 0 ? StoreRevision{world.era, 0} : world.key.revision;
    if (pending.claim.condition() != now_there) return;
    CarryOutClaim(world, index);
    Explore(world, steps);
  }

  void CarryOutClaim(World& world, int index) {
    Machine& machine = At(world, index);
    const Time granted = machine.pending->granted;
    machine.pending.reset();
    BeginTerm(world, index);
    machine.window.Win(granted, machine.window.order_from());
    world.key.lease_ends = granted + kLease;
  }

  std::vector<milliseconds> Delays() const {
    if (rules_.bound_orders) return {milliseconds(0), milliseconds(600)};
    return {milliseconds(0), milliseconds(5'000)};
  }

  bool MaySend(const World& world, const Machine& machine) const {
    const bool in_time = rules_.stop_at_half_lease ? machine.window.MayOrder(world.now)
                                                   : machine.window.Settled(world.now) &&
                                                         !machine.window.Lapsed(world.now);
    const bool free = !rules_.keep_away || world.now >= machine.history.SafeToOrderFrom(kServer);
    return in_time && free && !machine.resigned;
  }

  void Send(World& world, int index, milliseconds delay) {
    Machine& machine = At(world, index);
    const Time arrives = world.now + delay;
    machine.busy_until = std::max(machine.busy_until, arrives);
    machine.history.NoteOrder(kServer, arrives);
    Arrive(world, {index, machine.token, arrives});
  }

  /// The lease of a key that another has taken can be renewed as well as any.
  void Renew(const World& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    if (rules_.renewals_name_era && machine.lease_era != before.era) return;
    const bool ours = before.key.owner == index && before.key.token == machine.token;
    const bool overwritten = before.key.owner >= 0 && !ours && !machine.window.Lapsed(before.now);
    if (before.key.released || (!ours && !overwritten)) return;
    World answered = before;
    if (ours) answered.key.lease_ends = before.now + kLease;
    World lost = answered;
    At(answered, index).window.Renew(before.now);
    Explore(answered, steps);
    Explore(lost, steps);
  }

  void Release(const World& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    if (rules_.release_after_orders && before.now < machine.busy_until) return;
    World world = before;
    Machine& leaver = At(world, index);
    OrderHistoryRecord record =
        leaver.history.Write(world.now, std::max(leaver.window.order_from(), leaver.others_from));
    if (!rules_.hand_on_quiet) record.quiet_ms = 0;
    leaver.window.Lose();
    leaver.resigned = true;
    const bool ours = world.key.owner == index && world.key.token == leaver.token &&
                      leaver.lease_era == world.era;
    if (!ours) {
      Explore(world, steps);
      return;
    }
    World not_written = world;
    if (!rules_.end_only_released_leases) not_written.key = Key{};
    Explore(not_written, steps);
    world.key.released = record;
    world.key.written = world.now;
    world.key.revision = world.NextRevision();
    world.key.written_in = world.era;
    Explore(world, steps);
  }

  void Restart(const World& before, int index, int steps) {
    World world = before;
    At(world, index) = Machine(index);
    At(world, index).era_wait.NoteEra(world.era, world.now);
    Explore(world, steps);
  }

  void Settle(const World& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    const bool ours = before.key.owner == index && before.key.token == machine.token &&
                      machine.lease_era == before.era;
    const bool clear = !rules_.settle_when_clear || machine.history.Clear(before.now);
    if (!ours || before.key.settled || !machine.window.Settled(before.now) || !clear) return;
    World world = before;
    world.key.settled = true;
    world.key.revision = world.NextRevision();
    Explore(world, steps);
  }

  static bool MayClaim(const World& world, int index) {
    const Machine& machine = world.machines[static_cast<std::size_t>(index)];
    if (machine.window.leading() || machine.resigned) return false;
    return ConditionOf(world, index).has_value();
  }

  void Claim(const World& before, int index, int steps) {
    World world = before;
    BeginTerm(world, index);
    Explore(world, steps);
  }

  void BeginTerm(World& world, int index) {
    Machine& machine = At(world, index);
    const bool tells_now = !rules_.copies_tell_the_past || world.key.written_in == world.era;
    const bool own = world.key.owner == index && !world.key.released;
    if (tells_now && world.key.owner >= 0) machine.era_wait.NoteRecord(RecordOf(world));
    const bool follows_own = !(tells_now && world.key.released) &&
                             machine.window.ContinuesOwnTerm(world.now, kWaitAfterOther);
    const Time covered = world.now + kApart + milliseconds(900);
    machine.others_from = own && rules_.own_process_unknown ? covered : Time{};
    milliseconds wait = rules_.wait_after_win ? kWaitAfterOther : milliseconds(0);
    if (tells_now &&
        world.key.released) {  // The earliest sight of the record is the most dangerous.
      machine.history.Inherit(*world.key.released, world.key.written);
      const Time quiet = world.key.written + milliseconds(world.key.released->quiet_ms);
      wait = std::chrono::ceil<milliseconds>(std::max(quiet, world.now) - world.now);
    } else if (tells_now && world.key.owner == index && world.key.settled) {
      machine.history.Begin();
      wait = kOwnWait;
    } else if (machine.window.ContinuesOwnTerm(world.now, kWaitAfterOther)) {
      wait = kOwnWait;
    } else {
      machine.history.Begin();
    }
    Time order_from = world.now + wait;
    if (rules_.wait_after_return && !follows_own)
      order_from = std::max(order_from, machine.era_wait.quiet_until());
    Win(world, index, order_from);
  }

  LeaderRecord RecordOf(const World& world) const {
    LeaderRecord record;
    record.era = rules_.copies_tell_the_past ? world.key.written_in : world.era;
    return record;
  }

  void Win(World& world, int index, Time order_from) {
    Machine& machine = At(world, index);
    const StoreRevision claimed = world.NextRevision();
    machine.token = rules_.tokens_count_returns ? FencingToken(claimed) : claimed.number;
    machine.lease_era = world.era;
    machine.window.Win(world.now, order_from);
    world.key = Key{};
    world.key.owner = index;
    world.key.token = machine.token;
    world.key.lease_ends = world.now + kLease;
    world.key.written = world.now;
    world.key.revision = claimed;
    world.key.written_in = world.era;
    for (int other = 0; other < kMachines; ++other)
      if (other != index) At(world, other).window.NoteOtherLeader();
  }

  void Arrive(World& world, const Arrival& arrival) {
    for (const Arrival& other : world.arrivals) {
      const auto apart = arrival.at > other.at ? arrival.at - other.at : other.at - arrival.at;
      if (other.sender != arrival.sender && apart < kApart)
        harm_ = "orders of two machines lie too close together";
      const Arrival& first = arrival.at < other.at ? arrival : other;
      const Arrival& second = arrival.at < other.at ? other : arrival;
      if (apart.count() > 0 && second.token < first.token)
        harm_ = "an older token arrived after a newer one";
    }
    world.arrivals.push_back(arrival);
  }

  Rules rules_;
  std::optional<std::string> harm_;
  std::uint64_t visited_ = 0;
};

std::optional<std::string> ExploreFromFirstOrder(const Rules& rules, milliseconds delay,
                                                 int steps = kSteps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.FirstOrder(delay), steps);
}

TEST_CASE("No schedule brings orders of two machines to one server too close together") {
  CHECK(ExploreFromFirstOrder({}, milliseconds(0)) == std::nullopt);
  CHECK(ExploreFromFirstOrder({}, milliseconds(600)) == std::nullopt);
}

std::optional<std::string> ExploreTwoCandidates(const Rules& rules, int steps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.TwoCandidates(), steps);
}

TEST_CASE("No schedule does harm after two machines were granted leases for one claim each") {
  CHECK(ExploreTwoCandidates({}, kSteps) == std::nullopt);
}

TEST_CASE("A claim that is sent on a key which changed since it was decided does harm") {
  CHECK(ExploreTwoCandidates({.claim_as_decided = false}, kSteps).has_value());
}

TEST_CASE("Without any one of the rules, some schedule does harm") {
  struct Case {
    const char* name;
    Rules rules;
    milliseconds first_order_takes;
    int steps = kSteps;
  };
  const milliseconds soon(0);
  const milliseconds late(600);
  const std::vector<Case> cases = {
      {"orders until the lease ends", {.stop_at_half_lease = false}, soon},
      {"orders that take long", {.bound_orders = false}, milliseconds(5'000)},
      {"no wait after a win", {.wait_after_win = false}, soon},
      {"servers left as ordered are not kept away from", {.keep_away = false}, soon},
      {"leadership released under an order", {.release_after_orders = false}, late, kSteps + 1},
      {"a lease that is ended under its key", {.end_only_released_leases = false}, soon},
      {"orders of an earlier process of this machine", {.own_process_unknown = false}, soon},
      {"a wait that is not handed on", {.hand_on_quiet = false}, late},
      {"settled while something inherited matters", {.settle_when_clear = false}, soon, kSteps + 1},
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    CHECK(ExploreFromFirstOrder(each.rules, each.first_order_takes, each.steps).has_value());
  }
}

std::optional<std::string> ExploreReturns(const Rules& rules, int steps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.HandedOver(), steps);
}

std::optional<std::string> ExploreUnaware(const Rules& rules, int steps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.LeaderUnaware(), steps);
}

TEST_CASE("No schedule does harm where the store comes back from an older copy at any step") {
  CHECK(ExploreReturns({}, 4) == std::nullopt);
  CHECK(ExploreUnaware({}, 4) == std::nullopt);
}

TEST_CASE("Without any one of the rules for a store that comes back, some schedule does harm") {
  CHECK(ExploreReturns({.wait_after_return = false}, 4).has_value());
  CHECK(ExploreUnaware({.renewals_name_era = false}, 4).has_value());
  CHECK(ExploreReturns({.copies_tell_the_past = false}, 4).has_value());
  CHECK(ExploreReturns({.tokens_count_returns = false}, 4).has_value());
}

}  // namespace
}  // namespace moorfold
