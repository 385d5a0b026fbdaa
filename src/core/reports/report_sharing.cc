#include "core/reports/report_sharing.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold {
namespace {

/// Time to wait for the response to a request for reports.
constexpr Duration kReportsRequestInterval = std::chrono::seconds(1);

std::uint64_t RendezvousWeight(const std::string& key, const std::string& candidate) {
  const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
  return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

const DaemonName& PollerOf(const ServerName& server, const std::vector<DaemonName>& alive) {
  return *std::max_element(
      alive.begin(), alive.end(), [&](const DaemonName& left, const DaemonName& right) {
        return RendezvousWeight(server, left) < RendezvousWeight(server, right);
      });
}

/// Compares all fields except those that change with every request.
bool SameStates(const ServerReport& left, const ServerReport& right) {
  if (left.incarnation != right.incarnation || left.memory_used != right.memory_used ||
      left.leaving != right.leaving || left.replicas.size() != right.replicas.size() ||
      left.cached_on_disk != right.cached_on_disk)
    return false;
  return std::equal(left.replicas.begin(), left.replicas.end(), right.replicas.begin(),
                    [](const ReplicaReport& a, const ReplicaReport& b) {
                      return a.servable == b.servable && a.state == b.state &&
                             a.adapters == b.adapters;
                    });
}

void SumLoad(ServerView& server) {
  server.running = 0;
  server.queued = 0;
  for (const ReplicaReport& replica : server.report->replicas) {
    server.running += replica.running;
    server.queued += replica.queued;
  }
}

}  // namespace

void ReportSharing::AssignServers() {
  std::map<ServerName, Timestamp> polls;
  if (!state_.membership.alive.empty() && !state_.stopping) {
    for (const auto& [name, server] : state_.servers) {
      if (!server.listed || PollerOf(name, state_.membership.alive) != state_.self.name) continue;
      const auto known = state_.polls.find(name);
      polls[name] = known == state_.polls.end() ? Timestamp{} : known->second;
    }
  }
  state_.polls = std::move(polls);
}

void ReportSharing::OnTick() {
  for (auto& [name, last_poll] : state_.polls) {
    if (now_ - last_poll < state_.settings.poll_interval) continue;
    last_poll = now_;
    effects_.push_back(PollServer{name});
  }
  ShareReports();
  AskForMissing();
  if (now_ - state_.last_load_share >= state_.settings.load_share_interval) ShareLoads();
}

bool ReportSharing::Accept(const ServerReport& report, bool own) {
  const auto found = state_.servers.find(report.server);
  if (found == state_.servers.end()) return false;
  ServerView& server = found->second;
  if (server.report) {
    const bool older = report.incarnation < server.report->incarnation ||
                       (report.incarnation == server.report->incarnation &&
                        report.sequence < server.report->sequence);
    if (older) return false;
  }
  const bool changed = !server.report || !SameStates(*server.report, report);
  const bool first_since_role =
      state_.coordinator.active && server.report_received < state_.coordinator.active_since;
  server.report = report;
  server.report_received = now_;
  const std::uint32_t running = server.running;
  const std::uint32_t queued = server.queued;
  SumLoad(server);
  if (own && changed) state_.reports_to_share.insert(report.server);
  const bool load_changed = running != server.running || queued != server.queued;
  if (own && load_changed) state_.loads_to_share.insert(report.server);
  return changed || first_since_role;
}

void ReportSharing::AcceptLoads(const ServerLoadsMessage& message) {
  for (const ServerLoad& load : message.loads) {
    const auto found = state_.servers.find(load.server);
    if (found == state_.servers.end()) continue;
    found->second.running = load.running;
    found->second.queued = load.queued;
  }
}

void ReportSharing::ShareReports() {
  if (state_.reports_to_share.empty()) return;
  ServerReportsMessage message;
  for (const ServerName& name : state_.reports_to_share) {
    const auto found = state_.servers.find(name);
    if (found != state_.servers.end() && found->second.report)
      message.reports.push_back(*found->second.report);
  }
  state_.reports_to_share.clear();
  for (const DaemonName& member : state_.membership.alive)
    if (member != state_.self.name) effects_.push_back(SendMessage{member, message});
}

/// A coordinator sends no orders based on reports from before it had the role.
bool ReportSharing::Misses(const ServerView& server) const {
  const CoordinatorState& coordinator = state_.coordinator;
  if (!server.listed) return false;
  return !server.report ||
         (coordinator.active && server.report_received < coordinator.active_since);
}

/// A shared report may be lost, or may arrive before the receiver knows the server, and an
/// unchanged report is not shared again.
void ReportSharing::AskForMissing() {
  if (state_.stopping || state_.membership.alive.empty()) return;
  if (now_ - state_.last_reports_request < kReportsRequestInterval) return;
  std::set<DaemonName> pollers;
  for (const auto& [name, server] : state_.servers)
    if (Misses(server)) pollers.insert(PollerOf(name, state_.membership.alive));
  pollers.erase(state_.self.name);
  if (pollers.empty()) return;
  state_.last_reports_request = now_;
  for (const DaemonName& poller : pollers)
    effects_.push_back(SendMessage{poller, ServerReportsRequest{}});
}

void ReportSharing::ShareLoads() {
  state_.last_load_share = now_;
  if (state_.loads_to_share.empty()) return;
  ServerLoadsMessage message;
  for (const ServerName& name : state_.loads_to_share) {
    const auto found = state_.servers.find(name);
    if (found != state_.servers.end())
      message.loads.push_back({name, found->second.running, found->second.queued});
  }
  state_.loads_to_share.clear();
  effects_.push_back(PublishLoads{message.loads});
  for (const DaemonName& member : state_.membership.alive)
    if (member != state_.self.name) effects_.push_back(SendMessage{member, message});
}

void ReportSharing::AnswerRequest(const DaemonName& peer) {
  ServerReportsMessage message;
  for (const auto& [name, last_poll] : state_.polls) {
    const ServerView& server = state_.servers.at(name);
    if (server.report) message.reports.push_back(*server.report);
  }
  if (!message.reports.empty()) effects_.push_back(SendMessage{peer, message});
}

}  // namespace moorfold
