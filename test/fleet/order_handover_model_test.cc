// Explores every interleaving of a small model: three machines that lead in turn, leases that
// lapse, renewals whose answers are lost, orders in flight, planned stops, restarts, and a store
// that is restored from an older copy. The production classes OrderWindow, OrderHistory,
// StoreRestoreWait and FencingToken decide. Each safety rule is also left out in turn, and the
// model must then find a violation.

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
constexpr milliseconds kOrderSeparation{3'000};
constexpr milliseconds kWaitAfterOtherLeader{2'400};  // Separation + 600 + 300 - half of the lease.
constexpr milliseconds kOwnHandoverWait{400};
constexpr const char* kServer = "i-1";
constexpr std::array<milliseconds, 4> kTimeSteps = {milliseconds(0), milliseconds(600),
                                                    milliseconds(1'499), milliseconds(3'000)};
constexpr int kMachines = 3;
constexpr int kSteps = 5;

/// The rules that keep orders of different machines apart. The tests leave out one at a time to
/// show that each is needed.
struct Rules {
  bool stop_at_half_lease = true;
  bool bound_orders = true;
  /// A leader without an inherited order history waits before its first order.
  bool wait_after_win = true;
  /// A leader avoids the servers that the previous leader's record lists.
  bool avoid_recently_ordered_servers = true;
  /// Leadership is released only when no order is in flight.
  bool release_after_orders = true;
  /// A lease is revoked only after its key is detached. Otherwise the key disappears too early.
  bool revoke_only_released_leases = true;
  /// The next leader waits for unknown orders of an earlier process.
  bool wait_for_own_earlier_process = true;
  /// A leader that is still waiting passes the rest of its wait on.
  bool hand_over_remaining_wait = true;
  /// A restarted leader skips the wait only if nothing inherited matters.
  bool settle_after_expiry = true;
  /// A claim is dropped if the key changed after the decision.
  bool claim_on_decided_revision = true;
  /// A leader of a later era waits for orders of the previous one.
  bool wait_after_restore = true;
  /// A renewal fails in a later era. Otherwise it renews another machine's lease of the same
  /// number.
  bool renewals_check_era = true;
  /// A restored record does not describe the current leader.
  bool ignore_records_of_past_eras = true;
  /// Tokens include the era. Otherwise they are bare revisions, which are issued again.
  bool tokens_include_era = true;
};

/// A lease granted for a claim that the store may carry out later.
struct PendingClaim {
  Time granted{};
  LeadershipClaim claim{StoreRevision{}};
};

std::string Name(int index) { return {static_cast<char>('a' + index)}; }

struct Machine {
  explicit Machine(int index) : history(Name(index), kOrderSeparation, milliseconds(5'000)) {}
  OrderWindow window{kLease};
  OrderHistory history;
  std::int64_t token = 0;
  Time orders_in_flight_until{};
  Time others_may_order_from{};
  bool resigned = false;
  std::optional<PendingClaim> pending;
  StoreRestoreWait restore_wait{kLease / 2 + milliseconds(600) + kOrderSeparation +
                                milliseconds(300)};
  std::int64_t lease_era = 0;
};

/// The leader key as the store holds it.
struct Key {
  int owner = -1;  ///< -1: the key does not exist.
  std::int64_t token = 0;
  Time lease_ends{};
  bool settled = false;
  std::optional<OrderHistoryRecord> released;
  Time written{};
  StoreRevision revision;       ///< Of the newest change; number 0 if there is none.
  std::int64_t written_in = 0;  ///< The era in which the record was written.
};

struct Arrival {
  int sender = 0;
  std::int64_t token = 0;
  Time at;
};

struct ModelState {
  std::array<Machine, kMachines> machines = {Machine(0), Machine(1), Machine(2)};
  Time now{std::chrono::seconds(1'000)};
  Key key;
  std::int64_t era = 0;
  std::int64_t revision = 1;
  StoreRevision NextRevision() { return {era, ++revision}; }
  std::vector<Key> copies;  ///< Copies of the key, of which one may be restored, once.
  std::vector<Arrival> arrivals;
};

class Explorer {
 public:
  explicit Explorer(Rules rules) : rules_(rules) {}

  /// @return a violation, or nothing if no schedule of that many steps causes one.
  std::optional<std::string> Explore(const ModelState& state, int steps) {
    ++visited_;
    if (steps == 0) return violation_;
    for (const milliseconds time_step : kTimeSteps) {
      if (violation_) break;
      ModelState later = state;
      later.now += time_step;
      if (later.key.owner >= 0 && !later.key.released && later.now >= later.key.lease_ends)
        later.key = Key{};
      Step(later, steps - 1);
    }
    return violation_;
  }
  std::uint64_t visited() const { return visited_; }

  /// "a" has led for a long time and handed leadership over to "b", which has just sent an order.
  /// Copies of the key from all three phases may be restored.
  ModelState StateAfterHandover() {
    ModelState state = StateAfterFirstOrder(milliseconds(0));
    state.key.settled = true;
    state.copies = {Key{}, state.key};
    state.now += milliseconds(5'000);
    Machine& resigning_machine = At(state, 0);
    state.key.released =
        resigning_machine.history.ToRecord(state.now, resigning_machine.window.order_from());
    state.key.written = state.now;
    state.key.revision = state.NextRevision();
    resigning_machine.window.Lose();
    state.copies.push_back(state.key);
    BeginTerm(state, 1);
    state.now += milliseconds(4'000);
    At(state, 1).window.Renew(state.now);
    state.key.lease_ends = state.now + kLease;
    Send(state, 1, milliseconds(0));
    return state;
  }

  /// The store was restored without the key while "b" led. "b" has not learned of it, and "c" has
  /// won. If renewals only check the lease number, those of "b" have kept succeeding.
  ModelState StateWithUnawareLeader() {
    ModelState state = StateAfterHandover();
    state.copies.clear();
    ++state.era;
    state.key = Key{};
    for (Machine& machine : state.machines) machine.restore_wait.NoteEra(state.era, state.now);
    BeginTerm(state, 2);
    for (int renewal = 0; renewal < 3; ++renewal) {
      state.now += milliseconds(1'499);
      if (!rules_.renewals_check_era) At(state, 1).window.Renew(state.now);
      At(state, 2).window.Renew(state.now);
    }
    state.key.lease_ends = state.now + kLease;
    return state;
  }

  /// "a" led and lost its key when its lease lapsed. "a" and "b" were both granted leases for a
  /// claim, and the claim of "a" has been carried out.
  ModelState StateWithTwoCandidates() {
    ModelState state = StateAfterFirstOrder(milliseconds(0));
    state.now += kLease;
    state.key = Key{};
    At(state, 0).window.Lose();
    for (const int index : {0, 1})
      At(state, index).pending = PendingClaim{state.now, *ConditionOf(state, index)};
    CarryOutClaim(state, 0);
    return state;
  }

  /// "a" has led for a long time and has just sent an order that arrives after `delay`.
  ModelState StateAfterFirstOrder(milliseconds delay) {
    ModelState state;
    Win(state, 0, state.now);
    state.now += milliseconds(10'000);
    At(state, 0).window.Renew(state.now);
    state.key.lease_ends = state.now + kLease;
    Send(state, 0, delay);
    return state;
  }

 private:
  static Machine& At(ModelState& state, int index) {
    return state.machines[static_cast<std::size_t>(index)];
  }

  /// Restores the key from a copy, with or without its lease. Revisions are issued again.
  void RestoreCopy(const ModelState& before, const Key& copy, int steps) {
    ModelState state = before;
    state.copies.clear();
    ++state.era;
    state.revision = std::max<std::int64_t>(1, copy.revision.number);
    state.key = copy;
    if (copy.owner >= 0) state.key.revision.era = state.era;
    state.key.lease_ends = state.now + kLease;
    for (Machine& machine : state.machines) machine.restore_wait.NoteEra(state.era, state.now);
    Explore(state, steps);
  }

  void Step(const ModelState& state, int steps) {
    for (const Key& copy : state.copies) RestoreCopy(state, copy, steps);
    bool never_led_machine_claimed = false;
    for (int index = 0; index < kMachines && !violation_; ++index) {
      const Machine& machine = state.machines[static_cast<std::size_t>(index)];
      if (machine.window.leading()) {
        Renew(state, index, steps);
        for (const milliseconds delay : Delays())
          if (MaySend(state, machine)) {
            ModelState sent = state;
            Send(sent, index, delay);
            Explore(sent, steps);
          }
        Release(state, index, steps);
        Restart(state, index, steps);
        WriteSettledRecord(state, index, steps);
      }
      // Machines that have not led are interchangeable, so one of them is enough.
      const bool never_led = machine.token == 0;
      if (MayClaim(state, index) && !(never_led && never_led_machine_claimed)) {
        never_led_machine_claimed = never_led_machine_claimed || never_led;
        Claim(state, index, steps);
      }
      ClaimLater(state, index, steps);
    }
  }

  /// Returns the current key state as a machine would see it.
  static LeaderKeyState KeyStateOf(const ModelState& state) {
    if (state.key.owner < 0) return {std::nullopt, {state.era, 0}, false};
    LeaderRecord record;
    record.name = Name(state.key.owner);
    record.released = state.key.released.has_value();
    return {record, state.key.revision, false};
  }

  static std::optional<LeadershipClaim> ConditionOf(const ModelState& state, int index) {
    const auto condition = LeadershipClaim::Condition(KeyStateOf(state), Name(index));
    if (!condition) return std::nullopt;
    return LeadershipClaim(*condition);
  }

  /// Carries out a claim after a delay: its lease was granted late, or the claim was in flight for
  /// long.
  void ClaimLater(const ModelState& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    if (!machine.pending || machine.window.leading()) return;
    if (before.now >= machine.pending->granted + kLease) return;  // The lease has lapsed.
    ModelState state = before;
    PendingClaim& pending = *At(state, index).pending;
    if (!rules_.claim_on_decided_revision)
      pending.claim =
          LeadershipClaim(state.key.owner < 0 ? StoreRevision{state.era, 0} : state.key.revision);
    const StoreRevision current_condition =
        state.key.owner < 0 ? StoreRevision{state.era, 0} : state.key.revision;
    if (pending.claim.condition() != current_condition) return;
    CarryOutClaim(state, index);
    Explore(state, steps);
  }

  void CarryOutClaim(ModelState& state, int index) {
    Machine& machine = At(state, index);
    const Time granted = machine.pending->granted;
    machine.pending.reset();
    BeginTerm(state, index);
    machine.window.Win(granted, machine.window.order_from());
    state.key.lease_ends = granted + kLease;
  }

  std::vector<milliseconds> Delays() const {
    if (rules_.bound_orders) return {milliseconds(0), milliseconds(600)};
    return {milliseconds(0), milliseconds(5'000)};
  }

  bool MaySend(const ModelState& state, const Machine& machine) const {
    const bool in_time = rules_.stop_at_half_lease ? machine.window.MayOrder(state.now)
                                                   : machine.window.InitialWaitOver(state.now) &&
                                                         !machine.window.Lapsed(state.now);
    const bool free = !rules_.avoid_recently_ordered_servers ||
                      state.now >= machine.history.SafeToOrderFrom(kServer);
    return in_time && free && !machine.resigned;
  }

  void Send(ModelState& state, int index, milliseconds delay) {
    Machine& machine = At(state, index);
    const Time arrives = state.now + delay;
    machine.orders_in_flight_until = std::max(machine.orders_in_flight_until, arrives);
    machine.history.NoteOrder(kServer, arrives);
    RecordArrival(state, {index, machine.token, arrives});
  }

  /// The lease can still be renewed after another machine has taken the key.
  void Renew(const ModelState& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    if (rules_.renewals_check_era && machine.lease_era != before.era) return;
    const bool holds_key = before.key.owner == index && before.key.token == machine.token;
    const bool overwritten =
        before.key.owner >= 0 && !holds_key && !machine.window.Lapsed(before.now);
    if (before.key.released || (!holds_key && !overwritten)) return;
    ModelState answered = before;
    if (holds_key) answered.key.lease_ends = before.now + kLease;
    ModelState lost = answered;
    At(answered, index).window.Renew(before.now);
    Explore(answered, steps);
    Explore(lost, steps);
  }

  void Release(const ModelState& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    if (rules_.release_after_orders && before.now < machine.orders_in_flight_until) return;
    ModelState state = before;
    Machine& resigning_machine = At(state, index);
    OrderHistoryRecord record = resigning_machine.history.ToRecord(
        state.now,
        std::max(resigning_machine.window.order_from(), resigning_machine.others_may_order_from));
    if (!rules_.hand_over_remaining_wait) record.quiet_ms = 0;
    resigning_machine.window.Lose();
    resigning_machine.resigned = true;
    const bool holds_key = state.key.owner == index && state.key.token == resigning_machine.token &&
                           resigning_machine.lease_era == state.era;
    if (!holds_key) {
      Explore(state, steps);
      return;
    }
    ModelState not_written = state;
    if (!rules_.revoke_only_released_leases) not_written.key = Key{};
    Explore(not_written, steps);
    state.key.released = record;
    state.key.written = state.now;
    state.key.revision = state.NextRevision();
    state.key.written_in = state.era;
    Explore(state, steps);
  }

  void Restart(const ModelState& before, int index, int steps) {
    ModelState state = before;
    At(state, index) = Machine(index);
    At(state, index).restore_wait.NoteEra(state.era, state.now);
    Explore(state, steps);
  }

  void WriteSettledRecord(const ModelState& before, int index, int steps) {
    const Machine& machine = before.machines[static_cast<std::size_t>(index)];
    const bool holds_key = before.key.owner == index && before.key.token == machine.token &&
                           machine.lease_era == before.era;
    const bool clear =
        !rules_.settle_after_expiry || machine.history.InheritedOrdersExpired(before.now);
    if (!holds_key || before.key.settled || !machine.window.InitialWaitOver(before.now) || !clear)
      return;
    ModelState state = before;
    state.key.settled = true;
    state.key.revision = state.NextRevision();
    Explore(state, steps);
  }

  static bool MayClaim(const ModelState& state, int index) {
    const Machine& machine = state.machines[static_cast<std::size_t>(index)];
    if (machine.window.leading() || machine.resigned) return false;
    return ConditionOf(state, index).has_value();
  }

  void Claim(const ModelState& before, int index, int steps) {
    ModelState state = before;
    BeginTerm(state, index);
    Explore(state, steps);
  }

  void BeginTerm(ModelState& state, int index) {
    Machine& machine = At(state, index);
    const bool record_is_current =
        !rules_.ignore_records_of_past_eras || state.key.written_in == state.era;
    const bool own = state.key.owner == index && !state.key.released;
    if (record_is_current && state.key.owner >= 0) machine.restore_wait.NoteRecord(RecordOf(state));
    const bool follows_own = !(record_is_current && state.key.released) &&
                             machine.window.ContinuesOwnTerm(state.now, kWaitAfterOtherLeader);
    const Time covered = state.now + kOrderSeparation + milliseconds(900);
    machine.others_may_order_from = own && rules_.wait_for_own_earlier_process ? covered : Time{};
    milliseconds wait = rules_.wait_after_win ? kWaitAfterOtherLeader : milliseconds(0);
    if (record_is_current && state.key.released) {
      // Seeing the record at the earliest time is the worst case.
      machine.history.Inherit(*state.key.released, state.key.written);
      const Time wait_ends = state.key.written + milliseconds(state.key.released->quiet_ms);
      wait = std::chrono::ceil<milliseconds>(std::max(wait_ends, state.now) - state.now);
    } else if (record_is_current && state.key.owner == index && state.key.settled) {
      machine.history.Reset();
      wait = kOwnHandoverWait;
    } else if (machine.window.ContinuesOwnTerm(state.now, kWaitAfterOtherLeader)) {
      wait = kOwnHandoverWait;
    } else {
      machine.history.Reset();
    }
    Time order_from = state.now + wait;
    if (rules_.wait_after_restore && !follows_own)
      order_from = std::max(order_from, machine.restore_wait.quiet_until());
    Win(state, index, order_from);
  }

  LeaderRecord RecordOf(const ModelState& state) const {
    LeaderRecord record;
    record.era = rules_.ignore_records_of_past_eras ? state.key.written_in : state.era;
    return record;
  }

  void Win(ModelState& state, int index, Time order_from) {
    Machine& machine = At(state, index);
    const StoreRevision claimed = state.NextRevision();
    machine.token = rules_.tokens_include_era ? FencingToken(claimed) : claimed.number;
    machine.lease_era = state.era;
    machine.window.Win(state.now, order_from);
    state.key = Key{};
    state.key.owner = index;
    state.key.token = machine.token;
    state.key.lease_ends = state.now + kLease;
    state.key.written = state.now;
    state.key.revision = claimed;
    state.key.written_in = state.era;
    for (int other = 0; other < kMachines; ++other)
      if (other != index) At(state, other).window.NoteOtherLeader();
  }

  void RecordArrival(ModelState& state, const Arrival& arrival) {
    for (const Arrival& other : state.arrivals) {
      const auto apart = arrival.at > other.at ? arrival.at - other.at : other.at - arrival.at;
      if (other.sender != arrival.sender && apart < kOrderSeparation)
        violation_ = "orders of two machines are too close together";
      const Arrival& first = arrival.at < other.at ? arrival : other;
      const Arrival& second = arrival.at < other.at ? other : arrival;
      if (apart.count() > 0 && second.token < first.token)
        violation_ = "an older token arrived after a newer one";
    }
    state.arrivals.push_back(arrival);
  }

  Rules rules_;
  std::optional<std::string> violation_;
  std::uint64_t visited_ = 0;
};

std::optional<std::string> ExploreFromFirstOrder(const Rules& rules, milliseconds delay,
                                                 int steps = kSteps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.StateAfterFirstOrder(delay), steps);
}

TEST_CASE("No schedule sends orders of two machines to one server too close together") {
  CHECK(ExploreFromFirstOrder({}, milliseconds(0)) == std::nullopt);
  CHECK(ExploreFromFirstOrder({}, milliseconds(600)) == std::nullopt);
}

std::optional<std::string> ExploreTwoCandidates(const Rules& rules, int steps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.StateWithTwoCandidates(), steps);
}

TEST_CASE(
    "No schedule causes a violation after two machines were each granted a lease for a claim") {
  CHECK(ExploreTwoCandidates({}, kSteps) == std::nullopt);
}

TEST_CASE("A claim on a key that changed after the decision causes a violation") {
  CHECK(ExploreTwoCandidates({.claim_on_decided_revision = false}, kSteps).has_value());
}

TEST_CASE("If any one rule is left out, some schedule causes a violation") {
  struct Case {
    const char* name;
    Rules rules;
    milliseconds first_order_takes;
    int steps = kSteps;
  };
  const milliseconds immediate(0);
  const milliseconds delayed(600);
  const std::vector<Case> cases = {
      {"orders sent until the lease lapses", {.stop_at_half_lease = false}, immediate},
      {"orders that take long", {.bound_orders = false}, milliseconds(5'000)},
      {"no wait after a won claim", {.wait_after_win = false}, immediate},
      {"recently ordered servers are not avoided",
       {.avoid_recently_ordered_servers = false},
       immediate},
      {"leadership released while an order is in flight",
       {.release_after_orders = false},
       delayed,
       kSteps + 1},
      {"a lease revoked while its key is attached",
       {.revoke_only_released_leases = false},
       immediate},
      {"orders of an earlier process of this machine",
       {.wait_for_own_earlier_process = false},
       immediate},
      {"a remaining wait that is not handed over", {.hand_over_remaining_wait = false}, delayed},
      {"settled while an inherited order still matters",
       {.settle_after_expiry = false},
       immediate,
       kSteps + 1},
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    CHECK(ExploreFromFirstOrder(each.rules, each.first_order_takes, each.steps).has_value());
  }
}

std::optional<std::string> ExploreRestores(const Rules& rules, int steps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.StateAfterHandover(), steps);
}

std::optional<std::string> ExploreUnawareLeader(const Rules& rules, int steps) {
  Explorer explorer(rules);
  return explorer.Explore(explorer.StateWithUnawareLeader(), steps);
}

TEST_CASE(
    "No schedule causes a violation if the store is restored from an older copy at any step") {
  CHECK(ExploreRestores({}, 4) == std::nullopt);
  CHECK(ExploreUnawareLeader({}, 4) == std::nullopt);
}

TEST_CASE("If any one rule for a restored store is left out, some schedule causes a violation") {
  CHECK(ExploreRestores({.wait_after_restore = false}, 4).has_value());
  CHECK(ExploreUnawareLeader({.renewals_check_era = false}, 4).has_value());
  CHECK(ExploreRestores({.ignore_records_of_past_eras = false}, 4).has_value());
  CHECK(ExploreRestores({.tokens_include_era = false}, 4).has_value());
}

}  // namespace
}  // namespace moorfold
