#include "simulation/demand_generator.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace moorfold {
namespace {

constexpr std::int64_t kHoursPerDay = 24;
constexpr std::int64_t kDaysPerWeek = 7;
constexpr std::int64_t kFirstWeekendDay = 5;
constexpr double kSecondsPerHour = 3600;

bool Matches(const std::string& pattern, const ModelName& name) {
  if (pattern.empty() || pattern.back() != '*') return pattern == name;
  return name.starts_with(pattern.substr(0, pattern.size() - 1));
}

}  // namespace

DemandGenerator::DemandGenerator(const Scenario& scenario, Timestamp start, std::uint64_t seed)
    : scenario_(scenario), start_(start), random_(seed) {
  for (const ModelDemandTraits& traits : scenario.demand)
    for (const auto& [name, model] : scenario.intent.models)
      if (Matches(traits.models, name)) streams_.push_back({&traits, &model});
}

double DemandGenerator::Uniform() { return static_cast<double>(random_() >> 11U) * 0x1.0p-53; }

std::uint64_t DemandGenerator::Poisson(double mean) {
  std::poisson_distribution<std::uint64_t> distribution(mean);
  return mean <= 0 ? 0 : distribution(random_);
}

double DemandGenerator::RateAt(const HourWeights& hours, double weekend, Timestamp when) const {
  const Timestamp shifted = when + FromSeconds(scenario_.shift_hours * kSecondsPerHour);
  const auto hour =
      std::chrono::floor<std::chrono::hours>(shifted - start_ + std::chrono::hours(24)).count();
  const auto day = hour / kHoursPerDay - 1 + scenario_.first_weekday;
  const bool is_weekend = day % kDaysPerWeek >= kFirstWeekendDay;
  return hours[static_cast<std::size_t>(hour % kHoursPerDay)] * (is_weekend ? weekend : 1.0) *
         scenario_.demand_scale;
}

void DemandGenerator::AddBurst(const Stream& stream, Timestamp when,
                               std::vector<SimulatedRequest>& requests) {
  const ModelDemandTraits& traits = *stream.traits;
  const ModelIntent& model = *stream.model;
  const std::uint64_t count = 1 + Poisson(traits.requests_per_burst - 1);
  const std::vector<ZoneName>& zones = scenario_.deployment.zones;
  const std::size_t first_zone = random_() % zones.size();
  const std::uint64_t prompt = random_() % traits.prompts;
  const bool with_adapter = !model.adapters.empty() && Uniform() < traits.adapter_share;
  const AdapterName adapter =
      with_adapter ? model.adapters[random_() % model.adapters.size()].name : AdapterName();
  Timestamp arrival = when;
  for (std::uint64_t index = 0; index < count; ++index) {
    SimulatedRequest request;
    request.name = model.name;
    request.adapter = adapter;
    request.priority = model.priority;
    // The first volley reaches many routers at once; the rest follow where their callers are.
    const std::uint64_t place = index < traits.routers ? index : random_() % traits.routers;
    request.zone = zones[(first_zone + place) % zones.size()];
    request.router = static_cast<std::uint32_t>(place / zones.size() + random_() % 2);
    if (index >= traits.routers)
      arrival += FromSeconds(-std::log(1.0 - Uniform()) * ToSeconds(traits.spacing));
    request.arrival = arrival + Duration(static_cast<std::int64_t>(random_() % 20'000));
    request.deadline = request.arrival + model.deadline;
    request.tokens = static_cast<std::uint32_t>(1 + Poisson(traits.tokens - 1.0));
    request.prefix_hash = XXH3_64bits_withSeed(model.name.data(), model.name.size(), prompt);
    requests.push_back(std::move(request));
  }
}

void DemandGenerator::AddModelRequests(const Stream& stream, Timestamp from, Duration length,
                                       std::vector<SimulatedRequest>& requests) {
  const double rate = RateAt(stream.traits->hours, stream.traits->weekend, from);
  const double hours = ToSeconds(length) / kSecondsPerHour;
  const std::uint64_t bursts = Poisson(stream.traits->bursts_per_hour * rate * hours);
  for (std::uint64_t burst = 0; burst < bursts; ++burst)
    AddBurst(stream, from + FromSeconds(Uniform() * ToSeconds(length)), requests);
}

void DemandGenerator::AddServiceRequests(const ServiceDemandTraits& traits, Timestamp from,
                                         Duration length, std::vector<SimulatedRequest>& requests) {
  const ServiceIntent& service = scenario_.intent.services.at(traits.service);
  const double hours = ToSeconds(length) / kSecondsPerHour;
  const std::uint64_t count = Poisson(traits.per_hour * RateAt(traits.hours, 1, from) * hours);
  const std::vector<ZoneName>& zones = scenario_.deployment.zones;
  for (std::uint64_t index = 0; index < count; ++index) {
    SimulatedRequest request;
    request.is_service = true;
    request.name = traits.service;
    request.repeatable = false;
    request.key = "key-" + std::to_string(next_key_++);
    request.arrival = from + FromSeconds(Uniform() * ToSeconds(length));
    request.deadline = request.arrival + service.deadline;
    request.zone = zones[random_() % zones.size()];
    request.router = static_cast<std::uint32_t>(random_() % 2);
    requests.push_back(request);
    if (Uniform() >= traits.doubled) continue;
    request.zone = zones[random_() % zones.size()];
    request.router = static_cast<std::uint32_t>(random_() % 2);
    requests.push_back(request);
  }
}

void DemandGenerator::AddNightBursts(Timestamp from, Duration length,
                                     std::vector<SimulatedRequest>& requests) {
  if (streams_.empty()) return;
  const double hours = ToSeconds(length) / kSecondsPerHour;
  const std::uint64_t bursts = Poisson(scenario_.night_bursts * hours);
  for (std::uint64_t burst = 0; burst < bursts; ++burst)
    AddBurst(streams_[random_() % streams_.size()],
             from + FromSeconds(Uniform() * ToSeconds(length)), requests);
}

std::vector<SimulatedRequest> DemandGenerator::Generate(Timestamp from, Duration length) {
  std::vector<SimulatedRequest> requests;
  for (const Stream& stream : streams_) AddModelRequests(stream, from, length, requests);
  for (const ServiceDemandTraits& traits : scenario_.service_demand)
    AddServiceRequests(traits, from, length, requests);
  AddNightBursts(from, length, requests);
  std::stable_sort(requests.begin(), requests.end(),
                   [](const SimulatedRequest& left, const SimulatedRequest& right) {
                     return left.arrival < right.arrival;
                   });
  for (SimulatedRequest& request : requests) request.id = next_id_++;
  return requests;
}

}  // namespace moorfold
