#include "fleet/fleet_demand.h"

#include <algorithm>
#include <cmath>

#include "common/boot_clock.h"

namespace moorfold {

namespace {
constexpr double kAverageOverS = 4;  ///< Time constant of the rates.
constexpr std::chrono::milliseconds kReportLife{1'500};
constexpr std::chrono::seconds kForgetAfter{60};

double Seconds(BootClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}
}  // namespace

void FleetDemand::Decay(Entry& entry, Time now) {
  const double passed_s = Seconds(now - entry.rated_at);
  const double share = std::exp(-passed_s / kAverageOverS);
  entry.long_term_arrivals_per_second *= std::exp(-passed_s / kUsualOverS);
  entry.arrivals_per_second *= share;
  entry.late_per_second *= share;
  entry.rated_at = now;
}

bool FleetDemand::Unreachable(const std::string& server_id, Time now) const {
  constexpr std::chrono::milliseconds kBelieved{1'500};
  constexpr int kWitnesses = 2;
  const auto found = unreachable_.find(server_id);
  if (found == unreachable_.end()) return false;
  int witnesses = 0;
  for (const auto& [sender, at] : found->second) witnesses += now - at < kBelieved ? 1 : 0;
  return witnesses >= kWitnesses;
}

void FleetDemand::ForgetUnreachable(Time now) {
  // Not with each report, or the work would grow with the square of the daemons.
  constexpr std::chrono::seconds kForgetEvery{1};
  if (now < forget_next_) return;
  forget_next_ = now + kForgetEvery;
  std::erase_if(unreachable_, [&](const auto& server) {
    return std::all_of(server.second.begin(), server.second.end(),
                       [&](const auto& sender) { return now - sender.second > kForgetAfter; });
  });
}

void FleetDemand::Add(const DemandReport& report, Time now) {
  ForgetUnreachable(now);
  for (const std::string& server : report.unreachable) unreachable_[server][report.sender] = now;
  for (const DemandEntry& reported : report.entries) {
    Entry& entry = services_[reported.service][reported.name];
    Decay(entry, now);
    entry.arrivals_per_second += reported.arrivals / kAverageOverS;
    entry.long_term_arrivals_per_second += reported.arrivals / kUsualOverS;
    entry.late_per_second += reported.late / kAverageOverS;
    entry.senders[report.sender] = {reported.waiting, reported.in_flight, now};
    if (reported.arrivals > 0 || reported.waiting > 0) entry.last_seen = now;
    if (reported.in_flight > 0)
      entry.unserved_since = Time{};
    else if (reported.waiting > 0 && entry.unserved_since == Time{})
      entry.unserved_since = now;
  }
}

std::map<ModelReference, ModelDemand> FleetDemand::Of(const std::string& service, Time now) {
  std::map<ModelReference, ModelDemand> demand;
  std::map<ModelReference, Entry>& entries = services_[service];
  std::erase_if(entries, [&](const auto& entry) {
    return now - entry.second.last_seen > kForgetAfter &&
           now - entry.second.rated_at > kForgetAfter;
  });
  for (auto& [name, entry] : entries) {
    Decay(entry, now);
    std::erase_if(entry.senders,
                  [&](const auto& sender) { return now - sender.second.at > kReportLife; });
    ModelDemand& sum = demand[name];
    for (const auto& [sender, state] : entry.senders) {
      sum.waiting += state.waiting;
      sum.in_flight += state.in_flight;
    }
    sum.arrivals_per_second = entry.arrivals_per_second;
    sum.late_per_second = entry.late_per_second;
    sum.long_term_arrivals_per_second = entry.long_term_arrivals_per_second;
    sum.last_seen = entry.last_seen;
    if (entry.unserved_since != Time{}) sum.unserved_s = Seconds(now - entry.unserved_since);
  }
  return demand;
}

}  // namespace moorfold
