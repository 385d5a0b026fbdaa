#include <catch2/catch.hpp>

#include "request/admission_queue.h"
#include "request/replica_picker.h"
#include "request/retry_policy.h"
#include "request/routing_table.h"

namespace moorfold {
namespace {

TEST_CASE("A replica is chosen by load and by the prompt's prefix") {
  struct Case {
    const char* name;
    std::vector<ReplicaCandidate> candidates;
    std::vector<std::size_t> allowed;  ///< Empty: none may be chosen.
  };
  const std::vector<Case> cases = {
      {"none", {}, {}},
      {"all full", {{"a", 8, 0, 8, false}, {"b", 8, 0, 8, false}}, {}},
      {"all set aside", {{"a", 0, 0, 8, true}}, {}},
      {"only one has room", {{"a", 8, 0, 8, false}, {"b", 7, 0, 8, false}}, {1}},
      {"a crowded favourite is passed over", {{"a", 7, 0, 8, false}, {"b", 0, 0, 8, false}}, {1}},
      {"what others report counts, too", {{"a", 0, 9, 16, false}, {"b", 0, 0, 16, false}}, {1}},
      {"close loads leave it to the prefix",
       {{"a", 1, 0, 8, false}, {"b", 0, 0, 8, false}},
       {0, 1}},
  };
  for (const Case& each : cases) {
    CAPTURE(each.name);
    for (std::uint64_t prefix = 0; prefix < 20; ++prefix) {
      const auto picked = PickReplica(each.candidates, prefix);
      REQUIRE(picked.has_value() == !each.allowed.empty());
      if (picked)
        CHECK(std::find(each.allowed.begin(), each.allowed.end(), *picked) != each.allowed.end());
      CHECK(PickReplica(each.candidates, prefix) == picked);  // The same prefix, the same replica.
    }
  }
}

TEST_CASE("Prefixes spread over equal replicas") {
  const std::vector<ReplicaCandidate> candidates = {{"a", 0, 0, 8, false}, {"b", 0, 0, 8, false}};
  std::size_t first = 0;
  for (std::uint64_t prefix = 0; prefix < 1000; ++prefix)
    if (*PickReplica(candidates, prefix) == 0) ++first;
  CHECK(first > 400);
  CHECK(first < 600);
}

TEST_CASE("The queue serves by priority, deadline, arrival, and is bounded") {
  AdmissionQueue queue;
  const auto batch = queue.Enter(Priority::kBatch, 10, 4);
  const auto late = queue.Enter(Priority::kInteractive, 50, 4);
  const auto soon = queue.Enter(Priority::kInteractive, 20, 4);
  const auto urgent = queue.Enter(Priority::kCritical, 90, 4);
  CHECK_FALSE(queue.Enter(Priority::kCritical, 1, 4).has_value());
  for (const auto& ticket : {urgent, soon, late, batch}) {
    CHECK(queue.IsFirst(*ticket));
    CHECK(queue.Position(*ticket) == 0);
    queue.Leave(*ticket);
  }
}

TEST_CASE("What follows an attempt") {
  struct Case {
    const char* name;
    bool repeatable;
    std::vector<AttemptEnd> ends;
    bool late;
    AfterAttempt expected;
  };
  using enum AttemptEnd;
  const std::vector<Case> cases = {
      {"answered", true, {kAnswered}, false, AfterAttempt::kDone},
      {"not run, time left", false, {kNotRun}, false, AfterAttempt::kTryAgain},
      {"not run, no time", false, {kNotRun}, true, AfterAttempt::kRefuseNotRun},
      {"may have run, repeatable", true, {kMayHaveRun}, false, AfterAttempt::kTryAgain},
      {"may have run, not repeatable", false, {kMayHaveRun}, false, AfterAttempt::kReportUnknown},
      {"a later refusal cannot unsay that it may have run",
       true,
       {kMayHaveRun, kNotRun},
       true,
       AfterAttempt::kReportUnknown},
      {"half an answer is out", true, {kBroken}, false, AfterAttempt::kReportUnknown},
      {"not without end",
       true,
       {kMayHaveRun, kMayHaveRun, kMayHaveRun, kMayHaveRun},
       false,
       AfterAttempt::kReportUnknown},
  };
  for (const Case& each : cases) {
    DYNAMIC_SECTION(each.name) {
      RetryBudget budget;
      RetryPolicy retry(each.repeatable, budget);
      AfterAttempt after = AfterAttempt::kDone;
      for (const AttemptEnd end : each.ends) after = retry.Decide(end, each.late);
      CHECK(after == each.expected);
    }
  }
}

TEST_CASE("A sick back end gets no storm of retries") {
  RetryBudget budget;
  int retries = 0;
  constexpr int kRequests = 1000;
  for (int request = 0; request < kRequests; ++request) {
    budget.Earn();
    RetryPolicy retry(true, budget);
    while (retry.Decide(AttemptEnd::kMayHaveRun, false) == AfterAttempt::kTryAgain) ++retries;
  }
  CHECK(retries <= kRequests / 5 + 20);
}

TEST_CASE("A target that fails is set aside, for longer each time, and let back") {
  TargetLoad load;
  CHECK(load.TryAcquire(1));
  CHECK_FALSE(load.TryAcquire(1));
  load.Release();
  load.RecordFailure(0);
  load.RecordFailure(0);
  CHECK_FALSE(load.SetAside(1));
  load.RecordFailure(0);
  CHECK(load.SetAside(1));
  CHECK_FALSE(load.SetAside(600'000));
  load.RecordFailure(0);
  CHECK(load.SetAside(600'000));
  load.RecordSuccess();
  load.RecordLeaving(0);
  CHECK(load.SetAside(60'000'000));
}

/// A zone with model m (version 2 declared) and servers a and b.
State RoutedState() {
  State state = MakeState({"d", "z", 1}, {}, Timestamp{});
  ModelIntent model;
  model.name = "m";
  model.version = 2;
  model.replicas["z"] = 2;
  model.adapters.push_back({"x", 1});
  state.configuration.intent.models["m"] = model;
  for (const auto& [name, version] : {std::pair("a", 1), std::pair("b", 2)}) {
    ServerView server;
    server.listed = true;
    server.machine.name = name;
    server.report = ServerReport{};
    server.report->replicas.push_back(
        {{"m", static_cast<std::uint32_t>(version)}, ReplicaState::kReady, 0, 0, {}});
    state.servers[name] = server;
    const PermitKey key{{"m", static_cast<std::uint32_t>(version)}, 0};
    state.ledger.ledger.permits[key] = {key, name, 0, PermitPhase::kHeld, 0, 0};
  }
  return state;
}

TEST_CASE("Routes lead to replicas that may get work") {
  struct Case {
    const char* name;
    std::function<void(State&)> change;
    AdapterName adapter;
    std::vector<std::string> targets;
  };
  const std::vector<Case> cases = {
      {"the declared version", [](State&) {}, "", {"b"}},
      {"an older one while the declared one is cold",
       [](State& s) { s.servers.at("b").report->replicas.clear(); },
       "",
       {"a"}},
      {"none on a leaving server",
       [](State& s) {
         s.servers.at("b").report->leaving = true;
         s.servers.at("a").machine.leaving = true;
       },
       "",
       {}},
      {"none on an unlisted server", [](State& s) { s.servers.at("b").listed = false; }, "", {"a"}},
      {"none for a moving permit",
       [](State& s) {
         s.ledger.ledger.permits.at({{"m", 2}, 0}).phase = PermitPhase::kMoving;
       },
       "",
       {"a"}},
      {"none that is still loading",
       [](State& s) { s.servers.at("b").report->replicas[0].state = ReplicaState::kLoading; },
       "",
       {"a"}},
      {"an adapter only where it is", [](State&) {}, "x", {}},
      {"an adapter that is there",
       [](State& s) { s.servers.at("b").report->replicas[0].adapters = {"x"}; },
       "x",
       {"b"}},
  };
  for (const Case& each : cases) {
    DYNAMIC_SECTION(each.name) {
      State state = RoutedState();
      each.change(state);
      RoutingTableBuilder builder;
      const auto route =
          builder.BuildRoute(state, state.configuration.intent.models.at("m"), each.adapter);
      std::vector<std::string> targets;
      for (const Target& target : route->targets) targets.push_back(target.name);
      CHECK(targets == each.targets);
    }
  }
}

}  // namespace
}  // namespace moorfold
