// Explores every interleaving of a small world with the shipped reconciler and the engine's order
// checks: one permit, two servers, two coordinators that may be stale at any time, orders that are
// delayed, lost or delivered twice, servers that restart. Checked: never are two replicas loaded.

#include <catch2/catch.hpp>
#include <deque>
#include <set>
#include <tuple>

#include "core/placement/placement.h"
#include "modelled/engine_model.h"

namespace moorfold {
namespace {

constexpr Revision kMaxRevision = 5;
constexpr std::uint64_t kMaxEpoch = 2;
constexpr std::uint32_t kMaxRestarts = 1;
constexpr std::size_t kMaxInFlight = 2;
constexpr MebiBytes kMemory = 100;
const ModelVersion kModel{"m", 1};
const PermitKey kKey{kModel, 0};
const std::array<ServerName, 2> kServers = {"a", "b"};

/// The part of a server that matters: its boot, its fence, and whether the model is loaded.
struct ServerState {
  Incarnation incarnation = 1;
  Revision fence = 0;
  bool loaded = false;
  auto operator<=>(const ServerState&) const = default;
};

struct CoordinatorView {
  Ledger ledger;
  bool leads = false;
  ProvenReleases releases;
  auto operator<=>(const CoordinatorView&) const = default;
};

struct SmallWorld {
  Ledger ledger;
  std::array<CoordinatorView, 2> coordinators;
  std::array<ServerState, 2> servers;
  std::set<std::pair<Order, std::size_t>> in_flight;  ///< With its sender.
  std::uint32_t restarts = 0;
  auto operator<=>(const SmallWorld&) const = default;
};

/// Which rule of the design is left out, to show that the exploration finds the harm.
enum class LeftOut { kNothing, kFence, kIncarnation, kTwoSteps };

class Explorer {
 public:
  explicit Explorer(LeftOut left_out) : left_out_(left_out) {
    intent_.models["m"].name = "m";
    intent_.models["m"].memory = kMemory;
    intent_.models["m"].replicas["z"] = 1;
  }

  /// @return whether some reachable state has two replicas loaded.
  bool FindsHarm() {
    SmallWorld first;
    Visit(first);
    while (!open_.empty()) {
      const SmallWorld world = open_.front();
      open_.pop_front();
      if (world.servers[0].loaded && world.servers[1].loaded) return true;
      for (std::size_t index = 0; index < world.coordinators.size(); ++index)
        CoordinatorSteps(world, index);
      DeliverySteps(world);
      RestartSteps(world);
    }
    return false;
  }
  std::size_t states() const { return seen_.size(); }

 private:
  void Visit(const SmallWorld& world) {
    if (seen_.insert(world).second) open_.push_back(world);
  }

  ServerViews ViewOf(const SmallWorld& world) const {
    ServerViews views;
    for (std::size_t index = 0; index < kServers.size(); ++index) {
      ServerView view;
      view.machine.name = kServers.at(index);
      view.listed = true;
      view.report = ServerReport{};
      view.report->server = kServers.at(index);
      view.report->incarnation = world.servers.at(index).incarnation;
      view.report->memory_total = 10 * kMemory;
      views[kServers.at(index)] = view;
    }
    // Always a reason to move: the current home is leaving.
    const auto permit = world.ledger.permits.find(kKey);
    if (permit != world.ledger.permits.end()) views.at(permit->second.home).machine.leaving = true;
    return views;
  }

  void CoordinatorSteps(const SmallWorld& world, std::size_t index) {
    const CoordinatorView& coordinator = world.coordinators.at(index);
    if (coordinator.ledger != world.ledger) {  // Reads the ledger.
      SmallWorld next = world;
      next.coordinators.at(index).ledger = world.ledger;
      Visit(next);
    }
    if (!coordinator.leads && world.ledger.epoch < kMaxEpoch &&
        world.ledger.revision < kMaxRevision) {
      SmallWorld next = world;
      ++next.ledger.revision;
      ++next.ledger.epoch;
      next.coordinators.at(index).ledger = next.ledger;
      next.coordinators.at(index).leads = true;
      Visit(next);
    }
    if (!coordinator.leads) return;
    SwapStep(world, index);
    OrderSteps(world, index);
  }

  void SwapStep(const SmallWorld& world, std::size_t index) {
    const CoordinatorView& coordinator = world.coordinators.at(index);
    const bool current = coordinator.ledger.revision == world.ledger.revision;
    if (!current || world.ledger.revision >= kMaxRevision) return;
    const ZoneName zone = "z";
    const ServerViews views = ViewOf(world);
    ProvenReleases releases = coordinator.releases;
    Ledger base = coordinator.ledger;
    if (left_out_ == LeftOut::kTwoSteps && base.permits.contains(kKey)) {
      // One step: the home changes at once, whatever the old one holds.
      Permit& permit = base.permits.at(kKey);
      permit.phase = PermitPhase::kMoving;
      releases[kKey] = kMaxRevision;
    }
    const auto next_ledger = LedgerReconciler(zone, intent_, 1, views, releases).Reconcile(base);
    if (!next_ledger) return;
    SmallWorld next = world;
    next.ledger = *next_ledger;
    next.coordinators.at(index).ledger = *next_ledger;
    Visit(next);
  }

  void OrderSteps(const SmallWorld& world, std::size_t index) {
    const Ledger& ledger = world.coordinators.at(index).ledger;
    const auto permit = ledger.permits.find(kKey);
    if (permit == ledger.permits.end() || world.in_flight.size() >= kMaxInFlight) return;
    Order order;
    order.kind =
        permit->second.phase == PermitPhase::kHeld ? OrderKind::kLoad : OrderKind::kRelease;
    order.server = permit->second.home;
    order.incarnation = permit->second.incarnation;
    order.fence = ledger.revision;
    order.servable = kModel;
    order.memory = kMemory;
    SmallWorld next = world;
    if (next.in_flight.insert({order, index}).second) Visit(next);
  }

  void DeliverySteps(const SmallWorld& world) {
    for (const auto& [order, sender] : world.in_flight) {
      SmallWorld lost = world;
      lost.in_flight.erase({order, sender});
      Visit(lost);
      SmallWorld delivered = world;
      Deliver(delivered, order, sender);
      Visit(delivered);  // And once more, later.
      delivered.in_flight.erase({order, sender});
      Visit(delivered);
    }
  }

  void Deliver(SmallWorld& world, const Order& order, std::size_t sender) const {
    const std::size_t at = order.server == kServers[0] ? 0 : 1;
    ServerState& server = world.servers.at(at);
    EngineBugs bugs;
    bugs.ignore_fence = left_out_ == LeftOut::kFence;
    bugs.ignore_incarnation = left_out_ == LeftOut::kIncarnation;
    EngineModel engine(order.server, 10 * kMemory, server.incarnation, bugs);
    if (server.fence > 0 || server.loaded) Replay(engine, server);
    const OrderDecision decision = engine.Begin(order);
    if (decision.finished && decision.outcome != OrderOutcome::kDone) return;
    engine.FinishLoad(kModel);
    server.fence = std::max(server.fence, order.fence);
    server.loaded = engine.Holds(kModel);
    CoordinatorView& coordinator = world.coordinators.at(sender);
    const auto permit = coordinator.ledger.permits.find(kKey);
    // As the coordinator takes an acknowledged release.
    const bool proves =
        order.kind == OrderKind::kRelease && permit != coordinator.ledger.permits.end() &&
        permit->second.phase == PermitPhase::kMoving && permit->second.home == order.server &&
        order.fence >= permit->second.since && order.incarnation == permit->second.incarnation;
    if (proves) coordinator.releases[kKey] = order.fence;
  }

  /// Brings a fresh engine to a known state.
  static void Replay(EngineModel& engine, const ServerState& server) {
    Order order;
    order.kind = OrderKind::kLoad;
    order.incarnation = server.incarnation;
    order.fence = server.fence;
    order.servable = kModel;
    order.memory = kMemory;
    engine.Begin(order);
    engine.FinishLoad(kModel);
    if (server.loaded) return;
    order.kind = OrderKind::kRelease;
    engine.Begin(order);
  }

  void RestartSteps(const SmallWorld& world) {
    if (world.restarts >= kMaxRestarts) return;
    for (std::size_t index = 0; index < world.servers.size(); ++index) {
      SmallWorld next = world;
      next.servers.at(index) = {world.servers.at(index).incarnation + 1, 0, false};
      ++next.restarts;
      Visit(next);
    }
  }

  LeftOut left_out_;
  Intent intent_;
  std::set<SmallWorld> seen_;
  std::deque<SmallWorld> open_;
};

TEST_CASE("No interleaving of the shipped rules loads a permit twice") {
  Explorer explorer(LeftOut::kNothing);
  CHECK_FALSE(explorer.FindsHarm());
  CHECK(explorer.states() > 1'000);
}

TEST_CASE("Without any one rule the exploration finds two replicas") {
  const LeftOut rule = GENERATE(LeftOut::kFence, LeftOut::kIncarnation, LeftOut::kTwoSteps);
  CHECK(Explorer(rule).FindsHarm());
}

}  // namespace
}  // namespace moorfold
