#include "streams/implied_version_planner.h"

#include <algorithm>
#include <set>

namespace moorfold::streams {

namespace {

/// @return the version with the most servers; the first of equal ones.
std::string MostServed(const std::map<std::string, std::uint32_t>& versions) {
  const auto most = std::max_element(
      versions.begin(), versions.end(),
      [](const auto& left, const auto& right) { return left.second < right.second; });
  return most == versions.end() ? std::string() : most->first;
}

}  // namespace

ImpliedVersionRecord ImpliedVersionPlanner::Plan(const std::optional<ImpliedVersionRecord>& stored,
                                                 std::int64_t era, const ServersByVersion& servers,
                                                 const StreamLifetimes& lifetimes,
                                                 BootClock::time_point now) {
  if (era_ != era) observed_.clear();
  era_ = era;
  const bool current = stored && stored->era == era;
  const ImpliedVersionRecord before = current ? *stored : ImpliedVersionRecord{era, {}};
  // No stream of a service that no record has named began without an entry. Whether there was such
  // a record is unknown after the store was restored from a copy.
  const bool knows_all = era <= kEraWithoutReturn && (!stored || current);
  ServersByVersion services = servers;
  std::set<std::string> named;
  for (const ImpliedVersion& implied : before.services) {
    named.insert(implied.service);
    services.try_emplace(implied.service);
  }
  ImpliedVersionRecord planned{era, {}};
  for (const auto& [service, versions] : services) {
    if (!named.contains(service) && versions.empty()) continue;
    const bool fresh = knows_all && !named.contains(service);
    planned.services.push_back(PlanService(before.Find(service), fresh, versions, lifetimes, now));
  }
  return planned;
}

ImpliedVersion ImpliedVersionPlanner::PlanService(
    const ImpliedVersion& current, bool fresh, const std::map<std::string, std::uint32_t>& versions,
    const StreamLifetimes& lifetimes, BootClock::time_point now) {
  Observed& observed = observed_.try_emplace(current.service, Observed{current, now}).first->second;
  if (observed.implied != current) observed = {current, now};
  const std::string most_served = MostServed(versions);
  if (versions.empty()) return current;
  if (fresh) return {current.service, ImpliedState::kOpen, most_served};
  if (current.state == ImpliedState::kOpen && !versions.contains(current.software_version))
    return {current.service, ImpliedState::kClosing, current.software_version};
  if (current.state == ImpliedState::kClosing && versions.contains(current.software_version))
    return {current.service, ImpliedState::kOpen, current.software_version};
  const bool settled = now - observed.since >= lifetimes.stream + lifetimes.record;
  if (current.state != ImpliedState::kOpen && settled)
    return {current.service, ImpliedState::kOpen, most_served};
  return current;
}

}  // namespace moorfold::streams
