#include "fleet/fleet_demand.h"

#include <algorithm>
#include <cmath>

#include "common/boot_clock.h"

namespace moorfold {

namespace {
constexpr double kShortTermTimeConstantS = 4;  ///< For the short-term rates.
constexpr std::chrono::milliseconds kReportTimeout{1'500};
constexpr std::chrono::seconds kEntryTimeout{60};

double Seconds(BootClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}
}  // namespace

void FleetDemand::Decay(Entry& entry, Time now) {
  const double passed_s = Seconds(now - entry.decayed_at);
  const double decay = std::exp(-passed_s / kShortTermTimeConstantS);
  entry.long_term_arrivals_per_second *= std::exp(-passed_s / kLongTermTimeConstantS);
  entry.arrivals_per_second *= decay;
  entry.late_responses_per_second *= decay;
  entry.decayed_at = now;
}

bool FleetDemand::Unreachable(const std::string& server_id, Time now) const {
  constexpr std::chrono::milliseconds kReportValidity{1'500};
  constexpr int kRequiredReporters = 2;
  const auto found = unreachable_.find(server_id);
  if (found == unreachable_.end()) return false;
  int recent_reporters = 0;
  for (const auto& [sender, at] : found->second)
    recent_reporters += now - at < kReportValidity ? 1 : 0;
  return recent_reporters >= kRequiredReporters;
}

void FleetDemand::RemoveExpiredUnreachable(Time now) {
  // Runs at intervals: a cleanup with each report would make the work quadratic in the number of
  // daemons.
  constexpr std::chrono::seconds kCleanupInterval{1};
  if (now < next_cleanup_) return;
  next_cleanup_ = now + kCleanupInterval;
  std::erase_if(unreachable_, [&](const auto& server) {
    return std::all_of(server.second.begin(), server.second.end(),
                       [&](const auto& sender) { return now - sender.second > kEntryTimeout; });
  });
}

void FleetDemand::Add(const DemandReport& report, Time now) {
  RemoveExpiredUnreachable(now);
  for (const std::string& server : report.unreachable) unreachable_[server][report.sender] = now;
  for (const DemandEntry& reported : report.entries) {
    Entry& entry = services_[reported.service][reported.name];
    Decay(entry, now);
    entry.arrivals_per_second += reported.arrivals / kShortTermTimeConstantS;
    entry.long_term_arrivals_per_second += reported.arrivals / kLongTermTimeConstantS;
    entry.late_responses_per_second += reported.late / kShortTermTimeConstantS;
    entry.senders[report.sender] = {reported.waiting, reported.in_flight, now};
    if (reported.arrivals > 0 || reported.waiting > 0) entry.last_seen = now;
    if (reported.in_flight > 0)
      entry.unserved_since = Time{};
    else if (reported.waiting > 0 && entry.unserved_since == Time{})
      entry.unserved_since = now;
  }
}

std::map<ModelReference, ModelDemand> FleetDemand::ForService(const std::string& service,
                                                              Time now) {
  std::map<ModelReference, ModelDemand> demand;
  std::map<ModelReference, Entry>& entries = services_[service];
  std::erase_if(entries, [&](const auto& entry) {
    return now - entry.second.last_seen > kEntryTimeout &&
           now - entry.second.decayed_at > kEntryTimeout;
  });
  for (auto& [name, entry] : entries) {
    Decay(entry, now);
    std::erase_if(entry.senders,
                  [&](const auto& sender) { return now - sender.second.at > kReportTimeout; });
    ModelDemand& sum = demand[name];
    for (const auto& [sender, state] : entry.senders) {
      sum.waiting += state.waiting;
      sum.in_flight += state.in_flight;
    }
    sum.arrivals_per_second = entry.arrivals_per_second;
    sum.late_responses_per_second = entry.late_responses_per_second;
    sum.long_term_arrivals_per_second = entry.long_term_arrivals_per_second;
    sum.last_seen = entry.last_seen;
    if (entry.unserved_since != Time{}) sum.unserved_s = Seconds(now - entry.unserved_since);
  }
  return demand;
}

}  // namespace moorfold
