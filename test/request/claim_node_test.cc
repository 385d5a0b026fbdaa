#include "request/claims/claim_node.h"

#include <catch2/catch.hpp>
#include <random>

namespace moorfold {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

/// Daemons with claims, and a network that delays, reorders, loses and doubles messages.
class ClaimWorld {
 public:
  explicit ClaimWorld(std::uint64_t seed) : random_(seed) {}

  void Start(const DaemonName& name, Incarnation boot) {
    nodes_.insert_or_assign(name, ClaimNode(name, boot));
  }
  void Crash(const DaemonName& name) { nodes_.erase(name); }
  void SetView(const DaemonName& name, const ClaimView& view) {
    Do(name, [&](ClaimNode& node, ClaimOutput& output) { node.SetView(view, now, output); });
  }
  void Claim(const DaemonName& name, std::uint64_t call, const std::string& holder) {
    Do(name,
       [&](ClaimNode& node, ClaimOutput& output) { node.Claim(call, "key", holder, now, output); });
  }
  void Finish(const DaemonName& name, const std::string& holder) {
    Do(name, [&](ClaimNode& node, ClaimOutput& output) {
      node.Finish("key", holder, {200, "", "answer"}, now, output);
    });
  }
  void Tick() {
    for (auto& [name, node] : nodes_)
      Do(name, [&](ClaimNode& each, ClaimOutput& output) { each.Tick(now, output); });
  }
  /// Delivers one message at random. @return whether there was one.
  bool DeliverOne() {
    if (in_flight_.empty()) return false;
    const std::size_t index = random_() % in_flight_.size();
    const Message message = in_flight_[index];
    const bool lost = random_() % 100 < loss_percent;
    const bool doubled = random_() % 10 == 0;
    if (!doubled) in_flight_.erase(in_flight_.begin() + static_cast<std::ptrdiff_t>(index));
    if (lost || cut.contains(message.from) != cut.contains(message.to)) return true;
    Do(message.to, [&](ClaimNode& node, ClaimOutput& output) {
      node.OnMessage(message.from, message.body, now, output);
    });
    return true;
  }
  void Settle() {
    for (int round = 0; round < 20; ++round) {
      for (int step = 0; step < 400 && DeliverOne(); ++step) {
      }
      now += std::chrono::milliseconds(500);
      Tick();
    }
  }
  bool Serving(const DaemonName& name) { return nodes_.at(name).serving(); }
  std::size_t Granted() const {
    std::size_t granted = 0;
    for (const auto& [call, result] : results)
      if (result.end == ClaimEnd::kGranted) ++granted;
    return granted;
  }

  Timestamp now{seconds(1'000'000)};
  std::map<std::uint64_t, ClaimResult> results;
  std::set<DaemonName> cut;  ///< They and the others cannot reach each other.
  std::uint64_t loss_percent = 0;

 private:
  struct Message {
    DaemonName from;
    DaemonName to;
    ClaimMessage body;
  };
  template <typename Action>
  void Do(const DaemonName& name, Action action) {
    const auto node = nodes_.find(name);
    if (node == nodes_.end()) return;
    ClaimOutput output;
    action(node->second, output);
    for (auto& [to, message] : output.messages) in_flight_.push_back({name, to, message});
    for (const auto& [call, result] : output.finished) results[call] = result;
  }

  std::mt19937_64 random_;
  std::map<DaemonName, ClaimNode> nodes_;
  std::vector<Message> in_flight_;
};

ClaimView View(std::uint64_t number, std::vector<ClaimOwner> owners,
               std::vector<std::vector<ClaimOwner>> history) {
  return {number, std::move(owners), std::move(history)};
}

const ClaimOwner kA{"a", "za", 1};
const ClaimOwner kB{"b", "zb", 1};
const ClaimOwner kC{"c", "zc", 1};
const ClaimOwner kD{"d", "zc", 1};

ClaimWorld ThreeOwners(std::uint64_t seed) {
  ClaimWorld world(seed);
  for (const DaemonName& name : {"a", "b", "c"}) world.Start(name, 1);
  for (const DaemonName& name : {"a", "b", "c"}) world.SetView(name, View(1, {kA, kB, kC}, {}));
  return world;
}

TEST_CASE("One of many rivals is granted a key, and the others get its answer") {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    CAPTURE(seed);
    ClaimWorld world = ThreeOwners(seed);
    world.Claim("a", 1, "h1");
    world.Claim("b", 2, "h2");
    world.Claim("c", 3, "h3");
    world.Settle();
    REQUIRE(world.Granted() <= 1);
    REQUIRE(world.results.size() == 3);
    if (world.Granted() == 0) continue;  // Each owner had given it to another: all may try again.
    for (const auto& [call, result] : world.results)
      if (result.end == ClaimEnd::kGranted)
        world.Finish(call == 1 ? "a" : call == 2 ? "b" : "c", "h" + std::to_string(call));
    world.Settle();
    world.Claim("a", 4, "h4");
    world.Settle();
    CHECK(world.results.at(4).end == ClaimEnd::kFinished);
    CHECK(world.results.at(4).answer.body == "answer");
  }
}

TEST_CASE("Without a majority nothing is granted") {
  ClaimWorld world = ThreeOwners(1);
  world.Crash("b");
  world.Crash("c");
  world.Claim("a", 1, "h1");
  world.Settle();
  CHECK(world.results.at(1).end == ClaimEnd::kNoMajority);
}

TEST_CASE("A claim survives the loss of one owner and a change of view") {
  for (std::uint64_t seed = 0; seed < 200; ++seed) {
    CAPTURE(seed);
    ClaimWorld world = ThreeOwners(seed);
    world.Claim("a", 1, "h1");
    world.Settle();
    REQUIRE(world.results.at(1).end == ClaimEnd::kGranted);
    world.Crash("c");
    world.Start("d", 1);
    const ClaimView second = View(2, {kA, kB, kD}, {{kA, kB, kC}});
    for (const DaemonName& name : {"a", "b", "d"}) world.SetView(name, second);
    world.Settle();
    REQUIRE(world.Serving("d"));
    world.Claim("d", 2, "h2");
    world.Settle();
    CHECK(world.results.at(2).end == ClaimEnd::kInUse);
  }
}

TEST_CASE("An owner of a new view serves nothing while two zones of the old one are out of reach") {
  ClaimWorld world = ThreeOwners(1);
  world.Start("d", 1);
  world.cut = {"a", "b"};
  world.SetView("d", View(2, {kD}, {{kA, kB, kC}}));
  world.Settle();
  CHECK_FALSE(world.Serving("d"));
  world.now += minutes(30);  // They may still be granting: time alone changes nothing.
  world.Settle();
  CHECK_FALSE(world.Serving("d"));
  world.cut.clear();
  world.Settle();
  CHECK(world.Serving("d"));
}

TEST_CASE("When old owners are gone for good, their claims are waited out") {
  ClaimWorld world = ThreeOwners(1);
  world.Crash("a");
  world.Crash("b");
  world.Start("a", 2);  // They answer that they are others now.
  world.Start("b", 2);
  world.Start("d", 1);
  world.SetView("d", View(2, {kD}, {{kA, kB, kC}}));
  world.Settle();
  CHECK_FALSE(world.Serving("d"));
  world.now += kClaimRetention;
  world.Settle();
  CHECK(world.Serving("d"));
}

/// Random schedules of claims, crashes, restarts, cuts and view changes.
TEST_CASE("No schedule grants a key twice while it is remembered") {
  const std::vector<ClaimOwner> first = {kA, kB, kC};
  const std::vector<ClaimOwner> second = {kA, kB, kD};
  const std::vector<ClaimOwner> third = {{"a", "za", 2}, kB, kD};
  const std::vector<ClaimView> views = {View(1, first, {}), View(2, second, {first}),
                                        View(3, third, {second, first})};
  std::size_t granted_runs = 0;
  for (std::uint64_t seed = 0; seed < 4000; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    ClaimWorld world(seed);
    world.loss_percent = random() % 30;
    const std::vector<DaemonName> names = {"a", "b", "c", "d"};
    for (const DaemonName& name : names) world.Start(name, 1);
    for (const DaemonName& name : names) world.SetView(name, views[0]);
    bool restarted = false;
    std::uint64_t call = 1;
    for (int step = 0; step < 120; ++step) {
      const DaemonName& name = names[random() % names.size()];
      switch (random() % 12) {
        case 0:
          if (call <= 4) {
            world.Claim(name, call, "h" + std::to_string(call));
            ++call;
          }
          break;
        case 1:
          world.SetView(name, views[random() % (restarted ? 3 : 2)]);
          break;
        case 2:
          if (!restarted && random() % 4 == 0) {
            restarted = true;
            world.Crash("a");
            world.Start("a", 2);
          }
          break;
        case 3:
          world.now += std::chrono::milliseconds(200);
          world.Tick();
          break;
        case 4:
          world.cut = random() % 3 == 0 ? std::set<DaemonName>{name} : std::set<DaemonName>{};
          break;
        default:
          world.DeliverOne();
      }
    }
    world.cut.clear();
    world.Settle();
    REQUIRE(world.Granted() <= 1);
    granted_runs += world.Granted();
  }
  CHECK(granted_runs > 500);  // The schedules are not so harsh that nothing ever happens.
}

TEST_CASE("Owners of a key stand in different zones where there are three") {
  const ClaimView view = View(1, {kA, kB, kC, kD, {"e", "za", 1}, {"f", "zb", 1}}, {});
  for (int index = 0; index < 50; ++index) {
    std::set<ZoneName> zones;
    for (const ClaimOwner& owner : OwnersOf(view, "key" + std::to_string(index)))
      zones.insert(owner.zone);
    CHECK(zones.size() == 3);
  }
}

}  // namespace
}  // namespace moorfold
