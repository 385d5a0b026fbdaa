#include "simulation/fault_injector.h"

#include <algorithm>
#include <cmath>

namespace moorfold {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr double kSlowStoreFactor = 5;
constexpr Duration kSlowKeyValueDelay = std::chrono::milliseconds(1200);
constexpr double kLossShare = 0.15;
constexpr Duration kLaggedList = std::chrono::seconds(60);
constexpr Duration kNormalLag = std::chrono::seconds(5);

struct Range {
  Duration low;
  Duration high;
};

/// How long a random fault of each kind lasts.
Range LengthOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kProcessKilled:
      return {seconds(5), seconds(40)};
    case FaultKind::kWeightStoreSlow:
      return {minutes(2), minutes(10)};
    case FaultKind::kMachineReclaimed:
      return {seconds(30), seconds(120)};
    case FaultKind::kKeyValueDown:
      return {seconds(20), minutes(45)};
    case FaultKind::kKeyValueSlow:
      return {minutes(1), minutes(15)};
    case FaultKind::kHolderPaused:
      return {seconds(4), seconds(60)};
    case FaultKind::kZoneCut:
      return {seconds(20), minutes(10)};
    case FaultKind::kMessageLost:
      return {seconds(30), minutes(5)};
    case FaultKind::kPlannedStop:
      return {seconds(5), seconds(30)};
    case FaultKind::kListLagged:
      return {minutes(2), minutes(10)};
    case FaultKind::kLoadAborted:
    case FaultKind::kKeyValueAnswerLost:
    case FaultKind::kIntentsConflict:
      return {seconds(0), seconds(0)};
  }
  return {seconds(0), seconds(0)};
}

}  // namespace

Duration FaultInjector::Between(Duration low, Duration high) {
  const std::int64_t span = (high - low).count() + 1;
  return low + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(span)));
}

void FaultInjector::Plan(const PlannedFault& fault, Timestamp start) {
  world_.queue.At(start + fault.at, [this, fault] { Inject(fault.kind, fault.lasts); });
}

void FaultInjector::Repeat(Duration mean, Timestamp from, Timestamp end,
                           std::function<void()> action) {
  const double uniform = static_cast<double>(random_() >> 11U) * 0x1.0p-53;
  const Timestamp next = from + FromSeconds(-std::log(1.0 - uniform) * ToSeconds(mean));
  if (next >= end) return;
  world_.queue.At(next, [this, mean, next, end, action = std::move(action)] {
    if (stopped_) return;
    action();
    Repeat(mean, next, end, action);
  });
}

void FaultInjector::StartChaos(FaultKind kind, double per_day, Timestamp from, Timestamp end) {
  if (per_day <= 0) return;
  constexpr double kSecondsPerDay = 86'400;
  const Range length = LengthOf(kind);
  Repeat(FromSeconds(kSecondsPerDay / per_day), from, end,
         [this, kind, length] { Inject(kind, Between(length.low, length.high)); });
}

void FaultInjector::Stop() { stopped_ = true; }

void FaultInjector::DisturbFor(Duration lasts, std::function<void()> undo) {
  ++disturbances_;
  world_.queue.After(lasts, [this, undo = std::move(undo)] {
    undo();
    // What was missed spreads a little after the cause has ended.
    world_.queue.After(seconds(1), [this] { --disturbances_; });
  });
}

void FaultInjector::Inject(FaultKind kind, Duration lasts) {
  Count(kind);
  Note(std::string("fault ") + ToString(kind) + " for " + std::to_string(ToSeconds(lasts)) + " s");
  switch (kind) {
    case FaultKind::kProcessKilled:
      return KillProcess(lasts);
    case FaultKind::kLoadAborted:
      return AbortLoad();
    case FaultKind::kWeightStoreSlow:
      return SlowWeightStore(lasts);
    case FaultKind::kMachineReclaimed:
      return ReclaimMachine(lasts);
    case FaultKind::kKeyValueDown:
      return TakeKeyValueDown(lasts);
    case FaultKind::kKeyValueSlow:
      return SlowKeyValue(lasts);
    case FaultKind::kKeyValueAnswerLost:
      ++world_.faults.lost_answers;
      return;
    case FaultKind::kHolderPaused:
      return PauseCoordinator(lasts);
    case FaultKind::kZoneCut:
      return CutZone(lasts);
    case FaultKind::kIntentsConflict:
      return RaceOperators();
    case FaultKind::kMessageLost:
      return LoseMessages(lasts);
    case FaultKind::kPlannedStop:
      return StopDaemon(lasts);
    case FaultKind::kListLagged:
      return LagList(lasts);
  }
}

void FaultInjector::KillProcess(Duration lasts) {
  constexpr std::size_t kTenths = 10;
  const std::size_t kind = Pick(kTenths);
  if (kind < 2 && !Services().empty()) {
    auto service = Services().begin();
    std::advance(service, static_cast<std::ptrdiff_t>(Pick(Services().size())));
    service->second->Kill();
    world_.queue.After(lasts, [target = service->second.get()] { target->Restart(); });
    return;
  }
  if (kind < 5) return KillEngine(lasts);
  const std::vector<SimulatedDaemon*> daemons = Daemons();
  SimulatedDaemon* daemon = daemons[Pick(daemons.size())];
  if (!daemon->accepts()) return;
  KillDaemon(*daemon);
  DisturbFor(lasts, [daemon] {
    if (!daemon->process().alive()) daemon->Start();
  });
}

SimulatedEngine* FaultInjector::PickEngine() {
  std::vector<SimulatedEngine*> candidates;
  for (auto& [name, engine] : Engines())
    if (engine->alive() && engine->leaving_since() == Timestamp{})
      candidates.push_back(engine.get());
  return candidates.empty() ? nullptr : candidates[Pick(candidates.size())];
}

void FaultInjector::KillEngine(Duration lasts) {
  SimulatedEngine* engine = PickEngine();
  if (engine == nullptr) return;
  engine->Kill();
  world_.queue.After(lasts, [engine] { engine->Restart(); });
}

void FaultInjector::AbortLoad() {
  if (SimulatedEngine* engine = PickEngine()) engine->AbortNextLoad();
}

void FaultInjector::SlowWeightStore(Duration lasts) {
  ++slow_stores_;
  Store().SetSlowdown(kSlowStoreFactor);
  world_.queue.After(lasts, [this] {
    if (--slow_stores_ == 0) Store().SetSlowdown(1);
  });
}

void FaultInjector::ReclaimMachine(Duration lasts) {
  SimulatedEngine* engine = PickEngine();
  if (engine == nullptr) return;
  engine->Leave();
  if (!world_.bugs.leaving_servers_stay_in_use)
    MachineListModel().SetLeaving(engine->machine().name, world_.queue.Now());
  world_.queue.After(lasts, [this, engine] {
    engine->Kill();
    MachineListModel().Remove(engine->machine().name, world_.queue.Now());
    Machine replacement = engine->machine();
    replacement.name = replacement.zone + "-engine-" + std::to_string(next_machine_++);
    world_.queue.After(Between(minutes(1), minutes(4)),
                       [this, replacement] { AddEngine(replacement); });
  });
}

void FaultInjector::TakeKeyValueDown(Duration lasts) {
  ++outages_;
  world_.faults.key_value_down = true;
  KeyValue().BreakWatches();
  DisturbFor(lasts, [this] {
    if (--outages_ == 0) world_.faults.key_value_down = false;
  });
}

void FaultInjector::SlowKeyValue(Duration lasts) {
  ++slow_key_values_;
  world_.faults.key_value_delay = kSlowKeyValueDelay;
  DisturbFor(lasts, [this] {
    if (--slow_key_values_ == 0) world_.faults.key_value_delay = Duration{0};
  });
}

void FaultInjector::PauseCoordinator(Duration lasts) {
  std::vector<SimulatedDaemon*> coordinators;
  for (SimulatedDaemon* daemon : Daemons())
    if (daemon->IsCoordinator() && !daemon->process().paused()) coordinators.push_back(daemon);
  if (coordinators.empty()) return;
  SimulatedDaemon* daemon = coordinators[Pick(coordinators.size())];
  daemon->Pause();
  DisturbFor(lasts, [this, daemon] {
    daemon->Resume();
    last_resume_ = world_.queue.Now();
  });
}

void FaultInjector::CutZone(Duration lasts) {
  const ZoneName zone = Zones()[Pick(Zones().size())];
  ++cuts_[zone];
  world_.faults.cut_zones.insert(zone);
  KeyValue().BreakWatches();
  DisturbFor(lasts, [this, zone] {
    if (--cuts_[zone] == 0) world_.faults.cut_zones.erase(zone);
  });
}

void FaultInjector::LoseMessages(Duration lasts) {
  ++losses_;
  world_.faults.message_loss = kLossShare;
  DisturbFor(lasts, [this] {
    if (--losses_ == 0) world_.faults.message_loss = 0;
  });
}

void FaultInjector::StopDaemon(Duration lasts) {
  const std::vector<SimulatedDaemon*> daemons = Daemons();
  SimulatedDaemon* daemon = daemons[Pick(daemons.size())];
  if (!daemon->accepts() || daemon->process().paused()) return;
  daemon->BeginStop([this, daemon, lasts] {
    world_.queue.After(lasts, [daemon] {
      if (!daemon->process().alive()) daemon->Start();
    });
  });
}

void FaultInjector::LagList(Duration lasts) {
  MachineListModel().SetLag(kLaggedList);
  DisturbFor(lasts, [this] { MachineListModel().SetLag(kNormalLag); });
}

}  // namespace moorfold
