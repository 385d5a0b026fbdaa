// What a leader that begins knows of demand, and what it does not take away.

#include "fleet/demand_record.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <thread>

#include "fake_key_value_store.h"
#include "fleet/fleet_demand.h"
#include "fleet/placement_planner.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BootClock::time_point kNow{seconds(1000)};

DemandReport Arrivals(const std::string& model, std::uint32_t count) {
  DemandReport report;
  report.sender = "d";
  report.entries = {{"s", {model, ""}, 0, 0, count}};
  return report;
}

EngineDescription MakeEngine() {
  EngineDescription engine;
  engine.weights_mb = 100;
  for (const char* name : {"often", "new"})
    engine.models.push_back(
        {name, 90, 5, milliseconds(13'000), milliseconds(1'200), milliseconds(600)});
  return engine;
}

/// One server, full with a model that is asked for five times a second; another model is waited for
/// by one request, and its weights lie on the disk.
std::vector<PlacementStep> PlanAtFullServer(FleetDemand& demand, bool may_evict) {
  static const EngineDescription kEngine = MakeEngine();
  PlannedServer server;
  server.id = "i";
  server.orderable = server.serving = true;
  server.models = {{"often", {}}};
  server.on_disk = {"often", "new"};
  DemandReport waiting;
  waiting.sender = "d";
  waiting.entries = {{"s", {"new", ""}, 1, 0, 1}};
  demand.Add(waiting, kNow);
  return PlacementPlanner(kEngine, demand.Of("s", kNow), {server}, {10, 20, may_evict}, kNow)
      .Plan();
}

FleetDemand OldLeader() {
  FleetDemand demand;
  for (int second = 30; second > 0; --second)
    demand.Add(Arrivals("often", 5), kNow - seconds(second));
  return demand;
}

TEST_CASE(
    "A leader that knows no demand would take away what is asked for; one that was told does not") {
  FleetDemand unknowing;
  CHECK(PlanAtFullServer(unknowing, true).size() == 1);  // The harm.
  FleetDemand cautious;
  CHECK(PlanAtFullServer(cautious, false).empty());
  FleetDemand told;
  told.Restore(OldLeader().Usual(kNow), kNow);
  CHECK(PlanAtFullServer(told, true).empty());
}

TEST_CASE("Usual rates go on from what was learned, and decay like any other") {
  FleetDemand old = OldLeader();
  const UsualDemand usual = old.Usual(kNow);
  REQUIRE(usual.rates.size() == 1);
  CHECK(usual.rates[0].arrivals_per_second == Approx(5).epsilon(0.3));
  FleetDemand demand;
  demand.Restore(usual, kNow);
  const double restored = demand.Of("s", kNow)[{"often", ""}].usual_arrivals_per_second;
  CHECK(restored == Approx(usual.rates[0].arrivals_per_second));
  CHECK(demand.Of("s", kNow + seconds(20))[{"often", ""}].usual_arrivals_per_second ==
        Approx(restored / std::exp(1)));
  demand.Restore(usual, kNow + seconds(20));
  demand.Restore(usual, kNow + seconds(20));  // Twice is not more.
  CHECK(demand.Of("s", kNow + seconds(20))[{"often", ""}].usual_arrivals_per_second ==
        Approx(restored));
}

TEST_CASE("Adapters count for their models, and what is hardly asked for is left out") {
  FleetDemand demand;
  DemandReport report;
  report.sender = "d";
  report.entries = {{"s", {"m", "a1"}, 0, 0, 10}, {"s", {"m", "a2"}, 0, 0, 10}};
  demand.Add(report, kNow);
  const UsualDemand usual = demand.Usual(kNow);
  REQUIRE(usual.rates.size() == 1);
  CHECK(usual.rates[0].model == "m");
  CHECK(usual.rates[0].arrivals_per_second == Approx(1));
  CHECK(demand.Usual(kNow + seconds(200)).rates.empty());
}

struct StoreFixture {
  boost::asio::io_context context;
  KeyValueTable table;
  FakeKeyValueStore store{context, table};
  EventLog log{-1, {}};
  DemandRecord record{store, log, "demand"};

  /// @return the rates read; nothing where the read did not succeed.
  std::optional<std::size_t> Read() {
    std::optional<std::size_t> rates;
    record.Read([&](const UsualDemand& demand) { rates = demand.rates.size(); });
    context.restart();
    context.run();
    return rates;
  }
  void Write(std::size_t rates) {
    record.Write([rates] { return UsualDemand{std::vector<UsualRate>(rates)}; });
    context.restart();
    context.run();
  }
};

TEST_CASE("What one leader writes the next one reads; nothing written is no demand") {
  StoreFixture fixture;
  CHECK(fixture.Read() == 0U);
  fixture.Write(3);
  CHECK(fixture.Read() == 3U);
  fixture.Write(5);  // Too soon after the last.
  CHECK(fixture.Read() == 3U);
}

TEST_CASE("A store that does not answer is asked again, not at once") {
  StoreFixture fixture;
  fixture.store.unreachable = true;
  CHECK(fixture.Read() == std::nullopt);
  fixture.store.unreachable = false;
  CHECK(fixture.Read() == std::nullopt);
  std::this_thread::sleep_for(milliseconds(520));
  CHECK(fixture.Read() == 0U);
}

TEST_CASE("An entry of another version is no demand, and is replaced") {
  StoreFixture fixture;
  Transaction transaction;
  transaction.operations.emplace_back(PutOperation{"demand", "\x01\xff\xff\xff\xff", 0});
  fixture.store.Transact(std::move(transaction), [](const Outcome<TransactionResult>&) {});
  CHECK(fixture.Read() == 0U);
  fixture.Write(2);
  CHECK(fixture.Read() == 2U);
}

}  // namespace
}  // namespace moorfold
