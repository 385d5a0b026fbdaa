#include "simulation/checkers.h"

#include <array>

namespace moorfold {
namespace {

constexpr std::array<const char*, kInvariants> kInvariantNames = {
    "replicas_over_decided",  "memory_overcommitted",
    "request_dropped",        "answer_mismatched",
    "refused_but_run",        "ran_twice",
    "work_to_leaving",        "stream_cut_by_planned_stop",
    "configuration_reverted", "configuration_late"};

constexpr std::size_t kChainLength = 40;
constexpr std::size_t kKeptViolations = 20;
/// "In force everywhere within 19 s."
constexpr Duration kInForceLimit = std::chrono::seconds(19);
/// "No new work after a few seconds."
constexpr Duration kLeavingLimit = std::chrono::seconds(10);

}  // namespace

const char* ToString(Invariant invariant) {
  return kInvariantNames.at(static_cast<std::size_t>(invariant));
}

void Checkers::Note(std::string event) {
  const double seconds = ToSeconds(world_.queue.Now().time_since_epoch());
  std::string line = "t=" + std::to_string(seconds) + " " + std::move(event);
  if (notes_.size() < kChainLength)
    notes_.push_back(std::move(line));
  else
    notes_[next_note_ % kChainLength] = std::move(line);
  ++next_note_;
}

void Checkers::Violate(Invariant invariant, std::string what) {
  ++counts_[invariant];
  if (violations_.size() >= kKeptViolations) return;
  Violation violation{world_.queue.Now(), invariant, std::move(what), {}};
  const std::size_t start = notes_.size() < kChainLength ? 0 : next_note_;
  for (std::size_t index = 0; index < notes_.size(); ++index)
    violation.chain.push_back(notes_[(start + index) % notes_.size()]);
  violations_.push_back(std::move(violation));
}

void Checkers::OnLedgerCommitted(const ZoneName& zone, const Ledger& ledger) {
  std::map<ModelVersion, std::uint32_t> decided;
  for (const auto& [key, permit] : ledger.permits) ++decided[key.servable];
  decided_[zone] = std::move(decided);
  Note("ledger " + zone + " revision " + std::to_string(ledger.revision) + " by " + ledger.leader);
}

void Checkers::OnReplicaAdded(const ZoneName& zone, const ServerName& server,
                              const ModelVersion& servable, MebiBytes used, MebiBytes total) {
  Note("load " + ToString(servable) + " at " + server);
  std::set<ServerName>& holders = loaded_[zone][servable];
  holders.insert(server);
  const std::uint32_t decided = decided_[zone][servable];
  if (holders.size() > decided)
    Violate(Invariant::kReplicasOverDecided, ToString(servable) + " in " + zone + ": " +
                                                 std::to_string(holders.size()) +
                                                 " loaded, decided " + std::to_string(decided));
  if (used > total)
    Violate(Invariant::kMemoryOvercommitted,
            server + ": " + std::to_string(used) + " of " + std::to_string(total) + " MiB");
}

void Checkers::OnReplicaRemoved(const ZoneName& zone, const ServerName& server,
                                const ModelVersion& servable) {
  Note("gone " + ToString(servable) + " at " + server);
  loaded_[zone][servable].erase(server);
}

void Checkers::OnExecuted(SimulatedRequest& request) {
  ++request.executions;
  if (request.end == RequestEnd::kRefusedNotRun)
    Violate(Invariant::kRefusedButRun,
            "request " + std::to_string(request.id) + " ran after it was refused as not run");
  const bool once_only = !request.repeatable;
  if (!once_only) return;
  const std::string key =
      request.key.empty() ? "request " + std::to_string(request.id) : request.key;
  if (++executions_by_key_[key] > 1)
    Violate(Invariant::kRanTwice, key + " ran " + std::to_string(executions_by_key_[key]) +
                                      " times, last for request " + std::to_string(request.id));
}

void Checkers::OnEnded(const SimulatedRequest& request) {
  if (request.end == RequestEnd::kRefusedNotRun && request.executions > 0)
    Violate(Invariant::kRefusedButRun,
            "request " + std::to_string(request.id) + " was refused as not run after it ran");
}

void Checkers::OnAnswerPassedOn(const SimulatedRequest& request, std::uint64_t answers_request) {
  if (answers_request != request.id)
    Violate(Invariant::kAnswerMismatched, "request " + std::to_string(request.id) +
                                              " got the answer of " +
                                              std::to_string(answers_request));
}

void Checkers::OnOverdue(const SimulatedRequest& request) {
  if (request.end == RequestEnd::kPending)
    Violate(Invariant::kRequestDropped,
            "request " + std::to_string(request.id) + " for " + request.name + " has no end");
}

void Checkers::OnWorkArrived(const std::string& server, Timestamp leaving_since) {
  const Duration leaving = world_.queue.Now() - std::max(leaving_since, last_disturbance_);
  if (leaving > kLeavingLimit)
    Violate(Invariant::kWorkToLeaving, server + " got work " + std::to_string(ToSeconds(leaving)) +
                                           " s after it said leaving");
}

void Checkers::OnCutByPlannedStop(const SimulatedRequest& request) {
  Violate(Invariant::kStreamCutByPlannedStop, "request " + std::to_string(request.id));
}

void Checkers::OnConfigurationCommitted(Revision revision) {
  Note("configuration revision " + std::to_string(revision) + " confirmed");
  Change& change = changes_[revision];
  change.committed = world_.queue.Now();
  for (const auto& [name, daemon] : daemons_)
    if (daemon.running && daemon.revision < revision) change.pending.insert(name);
}

void Checkers::CompleteChange(Change& change) {
  if (change.complete || !change.pending.empty()) return;
  change.complete = true;
  in_force_seconds_.push_back(ToSeconds(world_.queue.Now() - change.committed));
}

void Checkers::OnConfigurationInForce(const DaemonName& daemon, std::uint64_t life,
                                      Revision revision) {
  DaemonView& view = daemons_[daemon];
  if (view.life == life && revision < view.revision)
    Violate(Invariant::kConfigurationReverted, daemon + " went from revision " +
                                                   std::to_string(view.revision) + " to " +
                                                   std::to_string(revision));
  const bool same = view.life == life && view.revision == revision;
  view.life = life;
  view.revision = revision;
  if (same) return;
  for (auto it = changes_.begin(); it != changes_.end() && it->first <= revision; ++it) {
    if (it->second.complete) continue;
    it->second.pending.erase(daemon);
    CompleteChange(it->second);
  }
}

void Checkers::OnDaemonStarted(const DaemonName& daemon) {
  Note(daemon + " started");
  DaemonView& view = daemons_[daemon];
  view.running = true;
  view.started = world_.queue.Now();
  view.revision = 0;
  ++view.life;
}

void Checkers::OnDaemonStopped(const DaemonName& daemon) {
  Note(daemon + " stopped");
  daemons_[daemon].running = false;
  for (auto& [revision, change] : changes_) {
    if (change.complete) continue;
    change.pending.erase(daemon);
    CompleteChange(change);
  }
}

void Checkers::CheckConfigurationLate() {
  const Timestamp now = world_.queue.Now();
  for (auto& [revision, change] : changes_) {
    if (change.complete || change.reported) continue;
    for (const DaemonName& name : change.pending) {
      const Timestamp since =
          std::max({change.committed, last_disturbance_, daemons_[name].started});
      if (now - since <= kInForceLimit) continue;
      change.reported = true;
      Violate(Invariant::kConfigurationLate, name + " lacks revision " + std::to_string(revision) +
                                                 " " + std::to_string(ToSeconds(now - since)) +
                                                 " s after it could have had it");
      break;
    }
  }
}

}  // namespace moorfold
