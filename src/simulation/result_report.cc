#include "simulation/result_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <iomanip>

#include "core/demand/residency_policy.h"

namespace moorfold {

namespace json = boost::json;

namespace {

constexpr double kSecondsPerHour = 3600;

json::object Percentiles(const std::vector<double>& sorted) {
  return {{"p50", Percentile(sorted, 0.50)},
          {"p95", Percentile(sorted, 0.95)},
          {"p99", Percentile(sorted, 0.99)}};
}

}  // namespace

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::min(sorted.size() - 1, rank == 0 ? 0 : rank - 1)];
}

std::string ToJsonText(const Scenario& scenario, const SimulationOptions& options,
                       const SimulationResult& result) {
  json::object cold = {{"count", result.cold_start_seconds.size()}};
  for (const auto& entry : Percentiles(result.cold_start_seconds))
    cold[entry.key()] = entry.value();
  cold["max"] = Percentile(result.cold_start_seconds, 1);
  json::object faults;
  for (std::size_t kind = 0; kind < kFaultKinds; ++kind) {
    const auto found = result.faults.find(static_cast<FaultKind>(kind));
    faults[FaultKindNames()[kind]] = found == result.faults.end() ? 0 : found->second;
  }
  json::object violations;
  for (std::size_t kind = 0; kind < kInvariants; ++kind) {
    const auto invariant = static_cast<Invariant>(kind);
    const auto found = result.violation_counts.find(invariant);
    violations[ToString(invariant)] = found == result.violation_counts.end() ? 0 : found->second;
  }
  const json::object document = {
      {"scenario", scenario.name},
      {"seed", options.seed},
      {"policy", ToString(scenario.core.policy)},
      {"virtual_seconds", result.virtual_seconds},
      {"wall_seconds", result.wall_seconds},
      {"events", result.events},
      {"requests",
       {{"offered", result.offered},
        {"served", result.served},
        {"refused_not_run", result.refused_not_run},
        {"unknown", result.unknown},
        {"dropped", result.dropped}}},
      {"cold_start_seconds", std::move(cold)},
      {"first_token_seconds", Percentiles(result.first_token_seconds)},
      {"idle_accelerator_hours", result.usage.idle_accelerator_seconds / kSecondsPerHour},
      {"loaded_accelerator_hours", result.usage.loaded_accelerator_seconds / kSecondsPerHour},
      {"loads",
       {{"started", result.usage.loads_started},
        {"completed", result.usage.loads_completed},
        {"aborted", result.usage.loads_aborted}}},
      {"configuration",
       {{"changes", result.configuration_changes},
        {"in_force_seconds_p50", Percentile(result.in_force_seconds, 0.5)},
        {"in_force_seconds_max", Percentile(result.in_force_seconds, 1)}}},
      {"faults", std::move(faults)},
      {"violations", std::move(violations)}};
  return json::serialize(document);
}

void PrintReport(std::ostream& stream, const Scenario& scenario, const SimulationOptions& options,
                 const SimulationResult& result) {
  stream << std::fixed << std::setprecision(2);
  stream << "scenario " << scenario.name << ", seed " << options.seed << ", policy "
         << ToString(scenario.core.policy) << "\n"
         << "  time        " << result.virtual_seconds << " s simulated in " << result.wall_seconds
         << " s, " << result.events << " events\n"
         << "  requests    " << result.offered << " offered, " << result.served << " served, "
         << result.refused_not_run << " refused (not run), " << result.unknown << " unknown, "
         << result.dropped << " dropped\n"
         << "  cold start  " << result.cold_start_seconds.size() << " requests, p50 "
         << Percentile(result.cold_start_seconds, 0.5) << " s, p95 "
         << Percentile(result.cold_start_seconds, 0.95) << " s, p99 "
         << Percentile(result.cold_start_seconds, 0.99) << " s, max "
         << Percentile(result.cold_start_seconds, 1) << " s\n"
         << "  first token p50 " << Percentile(result.first_token_seconds, 0.5) << " s, p95 "
         << Percentile(result.first_token_seconds, 0.95) << " s, p99 "
         << Percentile(result.first_token_seconds, 0.99) << " s\n"
         << "  accelerator hours " << result.usage.loaded_accelerator_seconds / kSecondsPerHour
         << " loaded, " << result.usage.idle_accelerator_seconds / kSecondsPerHour << " idle\n"
         << "  loads       " << result.usage.loads_started << " started, "
         << result.usage.loads_completed << " completed, " << result.usage.loads_aborted
         << " aborted\n"
         << "  configuration " << result.configuration_changes << " changes, in force after p50 "
         << Percentile(result.in_force_seconds, 0.5) << " s, max "
         << Percentile(result.in_force_seconds, 1) << " s\n"
         << "  recovery    " << result.recovery_seconds.size()
         << " leaders lost, loads can be ordered again after p50 "
         << Percentile(result.recovery_seconds, 0.5) << " s, max "
         << Percentile(result.recovery_seconds, 1) << " s\n"
         << "  key-value   " << result.key_value_reads << " reads, " << result.key_value_writes
         << " writes; " << result.suspicions << " suspicions\n";
  for (const auto& [kind, count] : result.faults)
    stream << "  fault       " << ToString(kind) << " " << count << "\n";
  for (const auto& [invariant, count] : result.violation_counts)
    stream << "  VIOLATION   " << ToString(invariant) << " " << count << "\n";
  for (const Violation& violation : result.violations) {
    stream << "violation of " << ToString(violation.invariant)
           << " at t=" << ToSeconds(violation.when.time_since_epoch()) << ": " << violation.what
           << "\n";
    for (const std::string& note : violation.chain) stream << "    " << note << "\n";
  }
}

}  // namespace moorfold
