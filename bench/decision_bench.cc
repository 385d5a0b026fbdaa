// The decisions on the path of a request and in the core, one at a time.

#include <benchmark/benchmark.h>

#include "core/reducer.h"
#include "quarantine/crash_tracker.h"
#include "request/admission_queue.h"
#include "request/claims/claim_node.h"
#include "request/replica_picker.h"
#include "request/routing_table.h"

namespace moorfold {
namespace {

void PickAmongReplicas(benchmark::State& state) {
  std::vector<std::string> names;
  for (int index = 0; index < state.range(0); ++index) names.push_back("s" + std::to_string(index));
  std::vector<ReplicaCandidate> candidates;
  for (const std::string& name : names) candidates.push_back({name, 1, 1, 16, false});
  std::uint64_t prefix = 0;
  for (auto _ : state) benchmark::DoNotOptimize(PickReplica(candidates, ++prefix));
}
BENCHMARK(PickAmongReplicas)->Arg(1)->Arg(4)->Arg(16);

void EnterAndLeaveQueue(benchmark::State& state) {
  AdmissionQueue queue;
  constexpr std::size_t kLimit = 1'000'000;
  for (std::int64_t index = 0; index < state.range(0); ++index)
    queue.Enter(Priority::kInteractive, index, kLimit);
  std::int64_t deadline = 0;
  for (auto _ : state) queue.Leave(*queue.Enter(Priority::kInteractive, ++deadline, kLimit));
}
BENCHMARK(EnterAndLeaveQueue)->Arg(0)->Arg(100)->Arg(1000);

void ReadTable(benchmark::State& state) {
  static RoutingTablePublisher publisher;
  RoutingTablePublisher::Reader reader(publisher);
  for (auto _ : state) benchmark::DoNotOptimize(reader.Get().get());
}
BENCHMARK(ReadTable)->Threads(1)->Threads(4);

void ReadTableWithoutVersion(benchmark::State& state) {
  static std::atomic<RoutingTableConstPtr> table{std::make_shared<RoutingTable>()};
  for (auto _ : state) benchmark::DoNotOptimize(table.load());
}
BENCHMARK(ReadTableWithoutVersion)->Threads(1)->Threads(4);

/// What each request pays while that many others are quarantined: its fingerprint and one look-up.
void LookUpQuarantined(benchmark::State& state) {
  quarantine::CrashTracker tracker({});
  const auto now = BootClock::now();
  quarantine::CasesReceived heard;
  for (std::int64_t index = 0; index < state.range(0); ++index)
    heard.cases.push_back({FingerprintOf({"host", "/p", "model", std::to_string(index)}),
                           "service",
                           {{"a", "v1", 1}, {"b", "v1", 1}, {"c", "v1", 1}},
                           {},
                           {"v1"}});
  tracker.Reduce(heard, now);
  const std::string body(static_cast<std::size_t>(state.range(1)), 'x');
  for (auto _ : state)
    benchmark::DoNotOptimize(tracker.HasCase(FingerprintOf({"host", "/p", "model", body})));
  state.counters["quarantined"] = static_cast<double>(tracker.quarantined());
}
BENCHMARK(LookUpQuarantined)->Args({0, 800})->Args({10'000, 0})->Args({10'000, 800});

State ZoneState(std::int64_t models) {
  State state = MakeState({"d", "z", 1}, {}, Timestamp{});
  for (std::int64_t index = 0; index < models; ++index) {
    ModelIntent model;
    model.name = "model-" + std::to_string(index);
    model.replicas["z"] = 1;
    for (int adapter = 0; adapter < 4; ++adapter)
      model.adapters.push_back({model.name + "-" + std::to_string(adapter), 1});
    state.configuration.intent.models[model.name] = model;
  }
  return state;
}

void BuildTable(benchmark::State& state) {
  const State zone = ZoneState(state.range(0));
  RoutingTableBuilder builder;
  for (auto _ : state) benchmark::DoNotOptimize(builder.Build(zone));
}
BENCHMARK(BuildTable)->Arg(60)->Arg(270);

void ClaimAtThreeOwners(benchmark::State& state) {
  ClaimView view{1, {{"a", "za", 1}, {"b", "zb", 1}, {"c", "zc", 1}}, {}};
  ClaimNode node("a", 1);
  ClaimOutput output;
  const Timestamp now{std::chrono::seconds(1)};
  node.SetView(view, now, output);
  std::uint64_t call = 0;
  for (auto _ : state) {
    output = {};
    ++call;
    node.Claim(call, "key" + std::to_string(call), "h", now, output);
    node.OnMessage("b", ClaimReply{call, ClaimVerdict::kGranted, {}}, now, output);
  }
}
BENCHMARK(ClaimAtThreeOwners);

}  // namespace
}  // namespace moorfold

BENCHMARK_MAIN();
