// The contracts of the ports, run against every implementation.

#include <catch2/catch.hpp>

#include "../platform/users_platform_environment.h"
#include "contract_environment.h"
#include "ports/document_store.h"

namespace moorfold {
namespace {

using std::chrono::seconds;

/// Calls a port and waits for its one answer.
template <typename T, typename Start>
T Await(ContractEnvironment& environment, Start start) {
  std::optional<T> answer;
  int answers = 0;
  start([&](T result) {
    answer = std::move(result);
    ++answers;
  });
  REQUIRE(answers == 0);  // Never from within the call.
  REQUIRE(environment.RunUntil([&] { return answer.has_value(); }));
  REQUIRE(answers == 1);
  return std::move(*answer);
}

Outcome<TransactionResult> Put(ContractEnvironment& environment, const std::string& key,
                               const std::string& value, StoreRevision expected_revision,
                               LeaseId lease = {}) {
  Transaction transaction;
  transaction.comparisons.push_back({key, expected_revision});
  transaction.operations.emplace_back(PutOperation{key, value, lease});
  return Await<Outcome<TransactionResult>>(
      environment, [&](auto done) { environment.key_value().Transact(transaction, done); });
}

Outcome<RangeResult> Get(ContractEnvironment& environment, const KeyRange& range) {
  return Await<Outcome<RangeResult>>(
      environment, [&](auto done) { environment.key_value().Range(range, done); });
}

/// The condition that a key does not exist, in the store's era.
StoreRevision Absent(ContractEnvironment& environment) {
  return {Get(environment, {"any", ""}).value().revision.era, 0};
}

TEMPLATE_TEST_CASE("KeyValueStore: compare-and-swap decides by the key's last change", "",
                   NetworkEnvironment, SimulatedEnvironment, UsersPlatformEnvironment) {
  TestType environment;
  const auto created = Put(environment, "k", "one", Absent(environment));
  REQUIRE(created.ok());
  REQUIRE(created.value().succeeded);
  struct Case {
    const char* name;
    StoreRevision revision;
    bool succeeds;
  };
  const StoreRevision current = created.value().revision;
  for (const Case& each : {Case{"as if absent", Absent(environment), false},
                           Case{"an old change", {current.era, current.number - 1}, false},
                           Case{"the last change", current, true}}) {
    CAPTURE(each.name);
    const auto result = Put(environment, "k", each.name, each.revision);
    REQUIRE(result.ok());
    CHECK(result.value().succeeded == each.succeeds);
  }
  const auto read = Get(environment, {"k", ""});
  REQUIRE(read.ok());
  REQUIRE(read.value().entries.size() == 1);
  CHECK(read.value().entries[0].value == "the last change");
  CHECK(read.value().entries[0].mod_revision > current);
}

TEMPLATE_TEST_CASE("KeyValueStore: a transaction takes effect whole or not at all", "",
                   NetworkEnvironment, SimulatedEnvironment, UsersPlatformEnvironment) {
  TestType environment;
  REQUIRE(Put(environment, "p/a", "1", Absent(environment)).value().succeeded);
  Transaction transaction;
  const StoreRevision absent = Absent(environment);
  transaction.comparisons = {{"p/a", {absent.era, 999}}, {"p/b", absent}};
  transaction.operations.emplace_back(PutOperation{"p/b", "2", {}});
  transaction.operations.emplace_back(DeleteOperation{"p/a"});
  const auto refused = Await<Outcome<TransactionResult>>(
      environment, [&](auto done) { environment.key_value().Transact(transaction, done); });
  CHECK_FALSE(refused.value().succeeded);
  const auto read = Get(environment, PrefixRange("p/"));
  REQUIRE(read.value().entries.size() == 1);
  CHECK(read.value().entries[0].key == "p/a");
}

TEMPLATE_TEST_CASE("KeyValueStore: faults are told apart", "", NetworkEnvironment,
                   SimulatedEnvironment, UsersPlatformEnvironment) {
  TestType environment;
  SECTION("an outage") {
    const StoreRevision absent = Absent(environment);
    environment.SetKeyValueDown(true);
    const auto result = Put(environment, "k", "v", absent);
    REQUIRE_FALSE(result.ok());
    environment.SetKeyValueDown(false);
    CHECK(Get(environment, {"k", ""}).value().entries.empty());
  }
  SECTION("an answer that is lost after the write took effect") {
    const StoreRevision absent = Absent(environment);
    environment.LoseNextAnswer();
    const auto result = Put(environment, "k", "v", absent);
    REQUIRE_FALSE(result.ok());
    CHECK(result.failure().fault == PlatformFault::kNoAnswer);
    CHECK(Get(environment, {"k", ""}).value().entries.size() == 1);
  }
}

TEMPLATE_TEST_CASE("KeyValueStore: a lapsed lease takes its keys along", "", NetworkEnvironment,
                   SimulatedEnvironment, UsersPlatformEnvironment) {
  TestType environment;
  const auto lease = Await<Outcome<LeaseId>>(
      environment, [&](auto done) { environment.key_value().GrantLease(seconds(1), done); });
  REQUIRE(lease.ok());
  REQUIRE(Put(environment, "k", "v", Absent(environment), lease.value()).value().succeeded);
  const auto alive = Await<Outcome<Duration>>(
      environment, [&](auto done) { environment.key_value().KeepLeaseAlive(lease.value(), done); });
  CHECK(alive.ok());
  CHECK(Get(environment, {"k", ""}).value().entries.size() == 1);
  REQUIRE(environment.RunUntil([&] {
    return Get(environment, {"k", ""}).value().entries.empty();
  }));
  const auto lapsed = Await<Outcome<Duration>>(
      environment, [&](auto done) { environment.key_value().KeepLeaseAlive(lease.value(), done); });
  REQUIRE_FALSE(lapsed.ok());
  CHECK(lapsed.failure().fault == PlatformFault::kRejected);
}

TEMPLATE_TEST_CASE("KeyValueStore: a watch delivers in order, from where it starts, until it ends",
                   "", NetworkEnvironment, SimulatedEnvironment, UsersPlatformEnvironment) {
  TestType environment;
  const auto first = Put(environment, "w/1", "a", Absent(environment));
  std::vector<std::string> seen;
  bool ended = false;
  auto handle = environment.key_value().Watch(
      PrefixRange("w/"), first.value().revision,
      [&](const WatchBatch& batch) {
        for (const WatchEvent& event : batch.events) seen.push_back(event.entry.key);
      },
      [&](const PlatformFailure&) { ended = true; });
  REQUIRE(environment.RunUntil([&] { return seen.size() == 1; }));
  Put(environment, "other", "x", Absent(environment));
  Put(environment, "w/2", "b", Absent(environment));
  Put(environment, "w/3", "c", Absent(environment));
  REQUIRE(environment.RunUntil([&] { return seen.size() == 3; }));
  CHECK(seen == std::vector<std::string>{"w/1", "w/2", "w/3"});
  environment.SetKeyValueDown(true);
  CHECK(environment.RunUntil([&] { return ended; }));
}

TEMPLATE_TEST_CASE("MachineList: lists machines with their kinds", "", NetworkEnvironment,
                   SimulatedEnvironment) {
  TestType environment;
  const auto listed = Await<Outcome<MachineListing>>(
      environment, [&](auto done) { environment.machine_list().List(done); });
  REQUIRE(listed.ok());
  REQUIRE(listed.value()->size() == 1);
  CHECK(listed.value()->front().kind == MachineKind::kEngine);
  CHECK(listed.value()->front().memory == 1000);
}

Order MakeOrder(ContractEnvironment& environment, OrderKind kind, Revision fence) {
  Order order;
  order.id = "order-" + std::to_string(fence);
  order.kind = kind;
  order.server = "z-engine-0";
  order.incarnation = environment.engine_incarnation();
  order.fence = fence;
  order.servable = {"m", 1};
  order.memory = 600;
  return order;
}

OrderResult Execute(ContractEnvironment& environment, const Order& order) {
  return Await<OrderResult>(environment, [&](auto done) {
    environment.engines().Execute(environment.engine_machine(), order, done);
  });
}

TEMPLATE_TEST_CASE("ModelEngine: orders are fenced and bounded by memory", "", NetworkEnvironment,
                   SimulatedEnvironment) {
  TestType environment;
  struct Step {
    const char* name;
    std::function<void(Order&)> change;
    OrderKind kind;
    Revision fence;
    OrderOutcome expected;
    std::size_t replicas;
  };
  const auto same = [](Order&) {};
  const std::vector<Step> steps = {
      {"an order for another boot", [](Order& order) { ++order.incarnation; }, OrderKind::kLoad, 5,
       OrderOutcome::kWrongIncarnation, 0},
      {"a load", same, OrderKind::kLoad, 5, OrderOutcome::kDone, 1},
      {"the same load again", same, OrderKind::kLoad, 5, OrderOutcome::kDone, 1},
      {"an order under an older fence", same, OrderKind::kRelease, 4, OrderOutcome::kStaleFence, 1},
      {"a model that does not fit beside it", [](Order& order) { order.servable.model = "n"; },
       OrderKind::kLoad, 5, OrderOutcome::kNoMemory, 1},
      {"an adapter", [](Order& order) { order.adapter = "x"; }, OrderKind::kLoadAdapter, 6,
       OrderOutcome::kDone, 1},
      {"a release", same, OrderKind::kRelease, 7, OrderOutcome::kDone, 0},
      {"the same release again", same, OrderKind::kRelease, 7, OrderOutcome::kDone, 0},
      {"a delayed load from before the release", same, OrderKind::kLoad, 6,
       OrderOutcome::kStaleFence, 0},
  };
  for (const Step& step : steps) {
    CAPTURE(step.name);
    Order order = MakeOrder(environment, step.kind, step.fence);
    step.change(order);
    OrderResult result = Execute(environment, order);
    // A simulated answer may be lost on purpose; the order is then sent again, as in use.
    while (result.outcome == OrderOutcome::kUnknown) result = Execute(environment, order);
    REQUIRE(result.outcome == step.expected);
    REQUIRE(result.report.has_value());
    CHECK(result.report->replicas.size() == step.replicas);
  }
}

TEMPLATE_TEST_CASE("ModelEngine: a dead engine reports nothing and carries out nothing", "",
                   NetworkEnvironment, SimulatedEnvironment) {
  TestType environment;
  const Order order = MakeOrder(environment, OrderKind::kLoad, 1);
  environment.KillEngine();
  const auto report = Await<Outcome<ServerReport>>(environment, [&](auto done) {
    environment.engines().Report(environment.engine_machine(), done);
  });
  CHECK_FALSE(report.ok());
  CHECK(Execute(environment, order).outcome != OrderOutcome::kDone);
}

Plan PlanFrom(Revision base, const std::string& model) {
  Plan plan;
  plan.base_revision = base;
  plan.intent.models[model].name = model;
  plan.id = PlanId(base, plan.intent);
  return plan;
}

ConfirmResult Confirm(ContractEnvironment& environment, DocumentStore& documents,
                      const std::string& plan_id) {
  return Await<ConfirmResult>(environment,
                              [&](auto done) { documents.ConfirmPlan(plan_id, done); });
}

TEMPLATE_TEST_CASE("Confirmation happens once, from the plan's own base", "", NetworkEnvironment,
                   SimulatedEnvironment) {
  TestType environment;
  DocumentStore documents(environment.key_value());
  const auto store = [&](const Plan& plan) {
    const auto failure = Await<std::optional<PlatformFailure>>(
        environment, [&](auto done) { documents.StorePlan(plan, done); });
    REQUIRE_FALSE(failure.has_value());
  };
  CHECK(Confirm(environment, documents, "none").outcome == ConfirmOutcome::kUnknownPlan);
  const Plan first = PlanFrom(0, "m");
  const Plan rival = PlanFrom(0, "n");
  Plan impossible = PlanFrom(0, "o");
  impossible.refusals = {"too large"};
  store(first);
  store(rival);
  store(impossible);
  CHECK(Confirm(environment, documents, impossible.id).outcome == ConfirmOutcome::kRefused);
  SECTION("answers arrive") {
    CHECK(Confirm(environment, documents, first.id).outcome == ConfirmOutcome::kConfirmed);
  }
  SECTION("the answer is lost after the write took effect") {
    environment.LoseNextAnswer();
    const ConfirmResult result = Confirm(environment, documents, first.id);
    CHECK(result.outcome == ConfirmOutcome::kConfirmed);
    CHECK(result.revision == 1);
  }
  const ConfirmResult again = Confirm(environment, documents, first.id);
  CHECK(again.outcome == ConfirmOutcome::kAlreadyConfirmed);
  CHECK(again.revision == 1);
  CHECK(Confirm(environment, documents, rival.id).outcome == ConfirmOutcome::kStaleBase);
  const auto read = Await<Outcome<std::optional<ConfigurationSnapshot>>>(
      environment, [&](auto done) { documents.ReadConfiguration(0, done); });
  REQUIRE(read.ok());
  CHECK(read.value()->intent.models.contains("m"));
}

TEMPLATE_TEST_CASE("A ledger is swapped only from the revision that it stands at", "",
                   NetworkEnvironment, SimulatedEnvironment) {
  TestType environment;
  DocumentStore mine(environment.key_value());
  DocumentStore theirs(environment.key_value());
  const auto swap = [&](DocumentStore& documents, Revision expected, const DaemonName& leader) {
    Ledger ledger;
    ledger.revision = expected + 1;
    ledger.leader = leader;
    return Await<SwapOutcome>(
        environment, [&](auto done) { documents.SwapLedger("z", expected, ledger, done); });
  };
  CHECK(swap(mine, 0, "a") == SwapOutcome::kCommitted);
  CHECK(swap(theirs, 0, "b") == SwapOutcome::kConflict);
  CHECK(swap(theirs, 1, "b") == SwapOutcome::kCommitted);  // Learned from a peer, not read here.
  CHECK(swap(mine, 1, "a") == SwapOutcome::kConflict);
  environment.LoseNextAnswer();
  CHECK(swap(mine, 2, "a") == SwapOutcome::kUnknown);
  const auto read = Await<Outcome<std::optional<Ledger>>>(
      environment, [&](auto done) { mine.ReadLedger("z", done); });
  CHECK(read.value()->revision == 3);
}

}  // namespace
}  // namespace moorfold
