#include "core/reducer.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MebiBytes kServerMemory = 1000;

ModelIntent MakeModel(const ModelName& name, MebiBytes memory) {
  ModelIntent model;
  model.name = name;
  model.memory = memory;
  model.deadline = seconds(30);
  model.replicas["z"] = 1;
  return model;
}

/// One daemon alone in its zone, with one server that holds nothing.
class Zone {
 public:
  Zone() : state(MakeState({"a", "z", 100}, Settings(), now)) {
    auto machines = std::make_shared<std::vector<Machine>>();
    Machine server;
    server.name = "s";
    server.zone = "z";
    server.kind = MachineKind::kEngine;
    machines->push_back(server);
    Feed(MachineListRead{machines});
  }
  static CoreSettings Settings() {
    CoreSettings settings;
    settings.policy = PolicyKind::kFixedKeepAlive;
    settings.keep_alive = seconds(60);
    return settings;
  }

  Effects Feed(EventBody body) {
    Effects effects = Reduce(state, {now, 1, std::move(body)});
    for (const Effect& effect : effects) {
      if (const auto* swap = std::get_if<SwapLedger>(&effect)) swaps.push_back(*swap);
      if (const auto* order = std::get_if<SendOrder>(&effect)) orders.push_back(order->order);
    }
    return effects;
  }
  void Wait(Duration length) {
    for (const Timestamp end = now + length; now < end;) {
      now += milliseconds(500);
      Feed(Tick{});
    }
  }
  void Report(std::vector<ReplicaReport> replicas, MebiBytes used, Incarnation incarnation = 1) {
    ServerReport report;
    report.server = "s";
    report.incarnation = incarnation;
    report.sequence = ++sequence;
    report.memory_total = kServerMemory;
    report.memory_used = used;
    report.replicas = std::move(replicas);
    Feed(ServerReported{report});
  }
  /// Commits swaps until no more are asked for.
  void CommitSwaps() {
    while (!swaps.empty()) {
      const SwapLedger swap = swaps.front();
      swaps.erase(swaps.begin());
      Feed(LedgerSwapFinished{swap.proposed, SwapOutcome::kCommitted});
    }
  }
  /// Leads the zone with `models` in force, nothing loaded.
  void Establish(const std::vector<ModelIntent>& models) {
    Intent intent;
    for (const ModelIntent& model : models) intent.models[model.name] = model;
    Feed(ConfigurationSnapshotRead{1, intent});
    Feed(LedgerRead{std::nullopt});
    Wait(seconds(1));
    Report({}, 0);
    Wait(seconds(10));
    CommitSwaps();
    orders.clear();
  }
  void Ask(const ModelName& model, std::uint32_t waiting) {
    Feed(DemandObserved{{{model, "", waiting, 0, waiting, Duration{0}}}});
  }

  Timestamp now{seconds(1'000'000)};
  State state;
  std::vector<SwapLedger> swaps;
  std::vector<Order> orders;
  Revision sequence = 0;
};

TEST_CASE("A burst for a cold model makes one load order, at its permit's home") {
  Zone zone;
  zone.Establish({MakeModel("m", 400)});
  for (int request = 0; request < 5; ++request) zone.Ask("m", 3);
  REQUIRE(zone.orders.size() == 1);
  CHECK(zone.orders[0].kind == OrderKind::kLoad);
  CHECK(zone.orders[0].server == "s");
  CHECK(zone.orders[0].fence == zone.state.ledger.ledger.revision);
  CHECK(zone.orders[0].incarnation == 1);
}

TEST_CASE("Memory is reserved from the order on") {
  struct Case {
    const char* name;
    OrderOutcome outcome;
    std::size_t later_orders;  ///< For the second model, which does not fit beside the first.
  };
  const std::vector<Case> cases = {
      {"a refused load gives it back", OrderOutcome::kFailed, 1},
      {"a load whose fate is unknown keeps it", OrderOutcome::kUnknown, 0},
  };
  for (const Case& each : cases) {
    DYNAMIC_SECTION(each.name) {
      Zone zone;
      zone.Establish({MakeModel("m", 600), MakeModel("n", 600)});
      zone.Ask("m", 1);
      zone.Ask("n", 1);
      REQUIRE(zone.orders.size() == 1);
      const Order first = zone.orders[0];
      zone.orders.clear();
      zone.Ask("m", 0);
      zone.Feed(OrderFinished{first, each.outcome, std::nullopt});
      zone.Ask("n", 1);
      const auto loads = std::count_if(zone.orders.begin(), zone.orders.end(), [](const Order& o) {
        return o.kind == OrderKind::kLoad && o.servable.model == "n";
      });
      CHECK(static_cast<std::size_t>(loads) == each.later_orders);
    }
  }
}

TEST_CASE("An idle model makes room for one that is waited for, and only after its release") {
  Zone zone;
  zone.Establish({MakeModel("m", 600), MakeModel("n", 600)});
  zone.Report({{{"m", 1}, ReplicaState::kReady, 0, 0, {}}}, 600);
  zone.Ask("n", 1);
  REQUIRE(zone.orders.size() == 1);
  CHECK(zone.orders[0].kind == OrderKind::kRelease);
  CHECK(zone.orders[0].servable.model == "m");
  const Order release = zone.orders[0];
  zone.orders.clear();
  ServerReport empty;
  empty.server = "s";
  empty.incarnation = 1;
  empty.sequence = ++zone.sequence;
  empty.memory_total = kServerMemory;
  zone.Feed(OrderFinished{release, OrderOutcome::kDone, empty});
  REQUIRE(zone.orders.size() == 1);
  CHECK(zone.orders[0].kind == OrderKind::kLoad);
  CHECK(zone.orders[0].servable.model == "n");
}

TEST_CASE("A busy model is never evicted") {
  Zone zone;
  zone.Establish({MakeModel("m", 600), MakeModel("n", 600)});
  zone.Report({{{"m", 1}, ReplicaState::kReady, 1, 0, {}}}, 600);
  zone.Ask("n", 1);
  CHECK(zone.orders.empty());
}

TEST_CASE("An idle replica is released after its keep-alive") {
  Zone zone;
  zone.Establish({MakeModel("m", 400)});
  zone.Ask("m", 1);
  zone.Report({{{"m", 1}, ReplicaState::kReady, 0, 0, {}}}, 400);
  zone.orders.clear();
  zone.Ask("m", 0);
  zone.Wait(seconds(50));
  CHECK(zone.orders.empty());
  zone.Wait(seconds(30));
  REQUIRE_FALSE(zone.orders.empty());
  CHECK(zone.orders[0].kind == OrderKind::kRelease);
}

TEST_CASE("A restarted server is ordered nothing until the ledger admits it") {
  Zone zone;
  zone.Establish({MakeModel("m", 400)});
  zone.Report({}, 0, 2);
  zone.Ask("m", 1);
  CHECK(zone.orders.empty());
  zone.CommitSwaps();
  zone.Ask("m", 1);
  REQUIRE(zone.orders.size() == 1);
  CHECK(zone.orders[0].incarnation == 2);
}

TEST_CASE("A swap whose answer was lost is read back, not repeated") {
  Zone zone;
  zone.Feed(ConfigurationSnapshotRead{1, {}});
  zone.Feed(LedgerRead{std::nullopt});
  zone.Wait(seconds(5));
  REQUIRE(zone.swaps.size() == 1);
  const Effects effects =
      zone.Feed(LedgerSwapFinished{zone.swaps[0].proposed, SwapOutcome::kUnknown});
  CHECK(std::any_of(effects.begin(), effects.end(), [](const Effect& effect) {
    return std::holds_alternative<ReadLedger>(effect);
  }));
  zone.Feed(LedgerRead{zone.swaps[0].proposed});
  CHECK(zone.state.ledger.ledger.epoch == 1);
}

TEST_CASE("The configuration never goes back, whatever arrives in whatever order") {
  rc::check("revisions only rise", [](const std::vector<std::uint8_t>& revisions) {
    Zone zone;
    Revision highest = 0;
    for (const std::uint8_t revision : revisions) {
      if (revision % 2 == 0)
        zone.Feed(ConfigurationSnapshotRead{revision, {}});
      else
        zone.Feed(ConfigurationDeltaRead{
            {static_cast<Revision>(revision - 1), revision, {}, {}, {}, {}}});
      RC_ASSERT(zone.state.configuration.revision >= highest);
      highest = zone.state.configuration.revision;
    }
  });
}

TEST_CASE("A delta with a gap asks for what is missing") {
  Zone zone;
  zone.Feed(ConfigurationSnapshotRead{3, {}});
  const Effects effects = zone.Feed(ConfigurationDeltaRead{{4, 5, {}, {}, {}, {}}});
  CHECK(zone.state.configuration.revision == 3);
  CHECK(std::any_of(effects.begin(), effects.end(), [](const Effect& effect) {
    return std::holds_alternative<ReadConfiguration>(effect);
  }));
}

}  // namespace
}  // namespace moorfold
