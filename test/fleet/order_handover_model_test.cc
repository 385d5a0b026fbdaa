// Every interleaving of a small world: two machines that lead in turn, a store that loses and
// delays writes, leases that lapse at any moment, restarts, orders under way. The shipped
// OrderHistory decides; each of its rules is also left out in turn, and harm is found.

#include <catch2/catch.hpp>
#include <optional>

#include "fleet/order_history.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using Time = OrderHistory::Time;

constexpr milliseconds kApart{800};
constexpr const char* kServer = "i-1";
constexpr std::array<milliseconds, 4> kGaps = {milliseconds(0), milliseconds(700),
                                               milliseconds(1'100), milliseconds(2'800)};
constexpr std::array<milliseconds, 2> kOrderDelays = {milliseconds(0), milliseconds(600)};

/// The rules that keep orders apart; one of them is left out to show that it is needed.
struct Rules {
  bool announce_first = true;       ///< No order without an announcement that the store took.
  bool writes_need_the_key = true;  ///< A write holds only while the leader key is the writer's.
  bool writes_in_order = true;      ///< A write holds only on the record that its writer knew.
  bool read_after_win = true;       ///< A new leader reads what was announced.
  bool announcements_expire = true;
  bool keep_away = true;  ///< From servers that others announced, for a time.
};

struct Write {
  int writer = 0;
  std::int64_t token = 0;
  std::int64_t base = 0;  ///< Revision of the record that the writer knew.
  OrderHistoryRecord record;
};

struct MachineModel {
  explicit MachineModel(const std::string& name) : history(name, kApart, milliseconds(5'000)) {}
  OrderHistory history;
  bool leading = false;  ///< As far as it knows.
  bool in_doubt = false;
  std::int64_t token = 0;
  std::int64_t known_record = 0;
  std::optional<Time> last_announced;
};

struct Arrival {
  int sender = 0;
  std::int64_t token = 0;
  Time at;
};

struct World {
  std::array<MachineModel, 2> machines = {MachineModel("a"), MachineModel("b")};
  Time now{std::chrono::seconds(1'000)};
  std::int64_t revision = 1;
  std::int64_t key_token = 0;  ///< 0: nobody holds the leader key.
  OrderHistoryRecord record;
  std::int64_t record_revision = 0;
  Time record_written{};
  std::optional<Write> delayed;
  std::vector<Arrival> arrivals;
};

class Explorer {
 public:
  explicit Explorer(Rules rules) : rules_(rules) {}

  /// @return a harm, or nothing when no schedule of that many steps does any.
  std::optional<std::string> Explore(const World& world, int steps) {
    ++visited_;
    if (harm_ || steps == 0) return harm_;
    for (const milliseconds gap : kGaps) {
      World later = world;
      later.now += gap;
      Step(later, steps - 1);
      if (harm_) break;
    }
    return harm_;
  }
  std::uint64_t visited() const { return visited_; }

 private:
  void Step(const World& world, int steps) {
    if (world.key_token != 0) {
      World lapsed = world;
      lapsed.key_token = 0;
      ++lapsed.revision;
      Explore(lapsed, steps);
    }
    if (world.delayed) {
      World applied = world;
      Apply(applied, *world.delayed);
      applied.delayed.reset();
      Explore(applied, steps);
    }
    for (int index = 0; index < 2; ++index) {
      if (world.key_token == 0) Claim(world, index, steps);
      const MachineModel& machine = world.machines[static_cast<std::size_t>(index)];
      if (!machine.leading) continue;
      // Once it may send, another announcement only makes others wait for longer.
      if (!MaySend(world, machine)) Announce(world, index, steps);
      SendOrder(world, index, steps);
      Restart(world, index, steps);
    }
  }

  static MachineModel& At(World& world, int index) {
    return world.machines[static_cast<std::size_t>(index)];
  }

  void Claim(const World& before, int index, int steps) {
    World world = before;
    MachineModel& machine = At(world, index);
    world.key_token = ++world.revision;
    machine.leading = true;
    machine.in_doubt = false;
    machine.token = world.key_token;
    machine.known_record = world.record_revision;
    machine.last_announced.reset();
    const OrderHistoryRecord record = rules_.read_after_win ? world.record : OrderHistoryRecord{};
    // The earliest time at which it may have seen the record is the most dangerous.
    machine.history.TakeOver(record, world.record_written);
    Explore(world, steps);
  }

  bool Holds(const World& world, const Write& write) const {
    if (rules_.writes_need_the_key && world.key_token != write.token) return false;
    return !rules_.writes_in_order || world.record_revision == write.base;
  }

  /// @return whether the store took it.
  bool Apply(World& world, const Write& write) const {
    if (!Holds(world, write)) return false;
    world.record = write.record;
    world.record_revision = ++world.revision;
    world.record_written = world.now;
    return true;
  }

  void Announce(const World& before, int index, int steps) {
    World world = before;
    MachineModel& machine = At(world, index);
    if (machine.in_doubt) {  // It reads the keys first.
      machine.leading = world.key_token == machine.token;
      machine.in_doubt = false;
      machine.known_record = world.record_revision;
      Explore(world, steps);
      return;
    }
    machine.history.Want(kServer);
    const Write write{index, machine.token, machine.known_record,
                      machine.history.BeginWrite(world.now)};
    World answered = world;
    if (Apply(answered, write)) {
      At(answered, index).known_record = answered.record_revision;
      At(answered, index).history.ConfirmWrite();
      At(answered, index).last_announced = world.now;
    } else {
      Doubt(At(answered, index));
    }
    Explore(answered, steps);
    if (world.delayed) return;
    World delayed = world;  // No answer: it may be done later.
    Doubt(At(delayed, index));
    delayed.delayed = write;
    Explore(delayed, steps);
  }

  static void Doubt(MachineModel& machine) {
    machine.in_doubt = true;
    machine.history.AbandonWrite();
  }

  bool MaySend(const World& world, const MachineModel& machine) const {
    if (machine.in_doubt) return false;
    const bool free = !rules_.keep_away || world.now >= machine.history.FreeAt(kServer);
    if (!rules_.announce_first) return free;
    if (!rules_.announcements_expire || !rules_.keep_away) {
      if (!machine.last_announced) return false;
      const Time end = *machine.last_announced + OrderHistory::kAnnouncementLife;
      return free && (!rules_.announcements_expire || world.now < end);
    }
    return machine.history.MaySend(kServer, world.now);
  }

  void SendOrder(const World& before, int index, int steps) {
    const MachineModel& machine = before.machines[static_cast<std::size_t>(index)];
    if (!MaySend(before, machine)) return;
    for (const milliseconds delay : kOrderDelays) {
      World world = before;
      Arrive(world, {index, machine.token, world.now + delay});
      Explore(world, steps);
    }
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

  void Restart(const World& before, int index, int steps) {
    World world = before;
    At(world, index) = MachineModel(index == 0 ? "a" : "b");
    Explore(world, steps);
  }

  Rules rules_;
  std::optional<std::string> harm_;
  std::uint64_t visited_ = 0;
};

/// A world in which "a" has just won.
World FirstTerm() {
  World world;
  world.key_token = world.revision = 2;
  world.machines[0].leading = true;
  world.machines[0].token = 2;
  world.machines[0].history.TakeOver({}, world.now);
  return world;
}

constexpr int kStepsToHarm = 6;

TEST_CASE("No schedule brings orders of two machines to one server too close together") {
  Explorer explorer{Rules{}};
  CHECK(explorer.Explore(FirstTerm(), kStepsToHarm) == std::nullopt);
  CHECK(explorer.visited() > 100'000);
}

TEST_CASE("Without any one of the rules, some schedule does harm") {
  struct Case {
    const char* name;
    Rules rules;
    int steps;
  };
  const std::vector<Case> cases = {
      {"an order without an announcement", {.announce_first = false}, kStepsToHarm},
      {"a write without the leader key",
       {.writes_need_the_key = false, .writes_in_order = false},
       kStepsToHarm},
      {"a new leader that does not read", {.read_after_win = false}, kStepsToHarm},
      {"announcements that never expire", {.announcements_expire = false}, kStepsToHarm},
      {"a server that others announced", {.keep_away = false}, kStepsToHarm},
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    Explorer explorer(each.rules);
    CHECK(explorer.Explore(FirstTerm(), each.steps).has_value());
  }
}

}  // namespace
}  // namespace moorfold
