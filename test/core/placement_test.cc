#include "core/placement/placement.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

constexpr MebiBytes kServerMemory = 1000;
const ModelVersion kModel{"m", 1};
const PermitKey kFirst{kModel, 0};

ServerView MakeServer(const ServerName& name, Incarnation incarnation) {
  ServerView server;
  server.machine.name = name;
  server.machine.zone = "z";
  server.listed = true;
  server.report = ServerReport{};
  server.report->server = name;
  server.report->incarnation = incarnation;
  server.report->memory_total = kServerMemory;
  return server;
}

ServerViews TwoServers() { return {{"a", MakeServer("a", 10)}, {"b", MakeServer("b", 20)}}; }

Intent IntentFor(std::uint32_t replicas, std::uint32_t version = 1) {
  Intent intent;
  ModelIntent model;
  model.name = "m";
  model.version = version;
  model.memory = 400;
  model.replicas["z"] = replicas;
  intent.models["m"] = model;
  return intent;
}

Ledger LedgerWith(PermitPhase phase, Incarnation incarnation = 10) {
  Ledger ledger;
  ledger.revision = 5;
  ledger.configuration_revision = 1;
  ledger.permits[kFirst] = {kFirst, "a", incarnation, phase, 3, 400};
  return ledger;
}

/// What a reconciliation must leave for the first permit.
struct Expected {
  bool changes;
  bool permit_left;
  PermitPhase phase;
  ServerName home;
  Incarnation incarnation;
};

struct Case {
  const char* name;
  Ledger ledger;
  Intent intent;
  ServerViews servers;
  ProvenReleases releases;
  Expected expected;
};

ServerViews With(ServerViews servers, const std::function<void(ServerViews&)>& change) {
  change(servers);
  return servers;
}

std::vector<Case> Cases() {
  const Ledger empty;
  const Ledger held = LedgerWith(PermitPhase::kHeld);
  const Ledger moving = LedgerWith(PermitPhase::kMoving);
  const auto leave = [](ServerViews& servers) { servers.at("a").machine.leaving = true; };
  const auto unlist = [](ServerViews& servers) { servers.at("a").listed = false; };
  const auto restart = [](ServerViews& servers) { servers.at("a").report->incarnation = 11; };
  return {
      {"a missing permit gets a home",
       empty,
       IntentFor(1),
       TwoServers(),
       {},
       {true, true, PermitPhase::kHeld, "a", 10}},
      {"what is right stays",
       held,
       IntentFor(1),
       TwoServers(),
       {},
       {false, true, PermitPhase::kHeld, "a", 10}},
      {"a surplus permit is moved away first",
       held,
       IntentFor(0),
       TwoServers(),
       {},
       {true, true, PermitPhase::kMoving, "a", 10}},
      {"a moving permit waits for its release",
       moving,
       IntentFor(1),
       TwoServers(),
       {},
       {false, true, PermitPhase::kMoving, "a", 10}},
      {"a release under an older fence proves nothing",
       moving,
       IntentFor(1),
       TwoServers(),
       {{kFirst, 2}},
       {false, true, PermitPhase::kMoving, "a", 10}},
      {"a proven release frees the permit for a new home",
       moving,
       IntentFor(1),
       With(TwoServers(), leave),
       {{kFirst, 3}},
       {true, true, PermitPhase::kHeld, "b", 20}},
      {"a proven release ends a surplus permit",
       moving,
       IntentFor(0),
       TwoServers(),
       {{kFirst, 3}},
       {true, false, PermitPhase::kHeld, "", 0}},
      {"a leaving home is moved from",
       held,
       IntentFor(1),
       With(TwoServers(), leave),
       {},
       {true, true, PermitPhase::kMoving, "a", 10}},
      {"a home that is listed no more is moved from",
       held,
       IntentFor(1),
       With(TwoServers(), unlist),
       {},
       {true, true, PermitPhase::kMoving, "a", 10}},
      {"a moving permit whose home is gone needs no release",
       moving,
       IntentFor(1),
       With(TwoServers(), unlist),
       {},
       {true, true, PermitPhase::kHeld, "b", 20}},
      {"a restarted home is admitted with its new incarnation",
       held,
       IntentFor(1),
       With(TwoServers(), restart),
       {},
       {true, true, PermitPhase::kHeld, "a", 11}},
      {"an unreachable home keeps its permit",
       held,
       IntentFor(1),
       With(TwoServers(), [](ServerViews& servers) { servers.at("a").report.reset(); }),
       {},
       {false, true, PermitPhase::kHeld, "a", 10}},
  };
}

TEST_CASE("The ledger follows the intent and the machines, one safe step at a time") {
  for (const Case& each : Cases()) {
    DYNAMIC_SECTION(each.name) {
      const ZoneName zone = "z";
      const LedgerReconciler reconciler(zone, each.intent, 1, each.servers, each.releases);
      const std::optional<Ledger> next = reconciler.Reconcile(each.ledger);
      REQUIRE(next.has_value() == each.expected.changes);
      const Ledger& after = next ? *next : each.ledger;
      if (next) REQUIRE(next->revision == each.ledger.revision + 1);
      REQUIRE(after.permits.contains(kFirst) == each.expected.permit_left);
      if (!each.expected.permit_left) continue;
      const Permit& permit = after.permits.at(kFirst);
      CHECK(permit.phase == each.expected.phase);
      CHECK(permit.home == each.expected.home);
      CHECK(permit.incarnation == each.expected.incarnation);
    }
  }
}

TEST_CASE("A daemon with an older configuration leaves the ledger alone") {
  Ledger ledger = LedgerWith(PermitPhase::kHeld);
  ledger.configuration_revision = 9;
  const ZoneName zone = "z";
  const Intent intent = IntentFor(0);
  const ServerViews servers = TwoServers();
  CHECK_FALSE(LedgerReconciler(zone, intent, 8, servers, {}).Reconcile(ledger).has_value());
}

TEST_CASE("Two permits of one model never share a home") {
  const ZoneName zone = "z";
  const Intent intent = IntentFor(3);
  const ServerViews servers = TwoServers();
  const auto next = LedgerReconciler(zone, intent, 1, servers, {}).Reconcile(Ledger{});
  REQUIRE(next.has_value());
  REQUIRE(next->permits.size() == 2);  // The third has no place and waits for one.
  CHECK(next->permits.begin()->second.home != next->permits.rbegin()->second.home);
}

TEST_CASE("An old version keeps its permit while the new one is not ready") {
  ServerViews servers = TwoServers();
  servers.at("a").report->replicas.push_back({kModel, ReplicaState::kReady, 0, 0, {}});
  const ZoneName zone = "z";
  const Intent intent = IntentFor(1, 2);
  const Ledger held = LedgerWith(PermitPhase::kHeld);
  auto next = LedgerReconciler(zone, intent, 2, servers, {}).Reconcile(held);
  REQUIRE(next.has_value());
  CHECK(next->permits.at(kFirst).phase == PermitPhase::kHeld);
  servers.at("b").report->replicas.push_back({{"m", 2}, ReplicaState::kReady, 0, 0, {}});
  next = LedgerReconciler(zone, intent, 2, servers, {}).Reconcile(held);
  REQUIRE(next.has_value());
  CHECK(next->permits.at(kFirst).phase == PermitPhase::kMoving);
}

}  // namespace
}  // namespace moorfold
