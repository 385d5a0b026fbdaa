#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "config/deployment_file.h"
#include "core/intent.h"
#include "core/settings.h"

namespace moorfold {

enum class FaultKind : std::uint8_t {
  kProcessKilled,
  kLoadAborted,
  kWeightStoreSlow,
  kMachineReclaimed,
  kKeyValueDown,
  kKeyValueSlow,
  kKeyValueAnswerLost,
  kHolderPaused,
  kZoneCut,
  kIntentsConflict,
  kMessageLost,
  kPlannedStop,
  kListLagged,
};
constexpr std::size_t kFaultKinds = 13;

const char* ToString(FaultKind kind);
/// All fault kinds' names, in the order of the enumeration.
const std::vector<std::string>& FaultKindNames();

/// Weights of the 24 hours of a day, 1 at the busiest.
using HourWeights = std::vector<double>;

/// Requests for models: bursts after idle times, as the deployments know them.
struct ModelDemandTraits {
  std::string name;
  std::string models;          ///< A name, or a prefix followed by '*'.
  double adapter_share = 0;    ///< Requests that call an adapter, where the model has any.
  double bursts_per_hour = 0;  ///< Of each model, in the busiest hour.
  HourWeights hours;
  double weekend = 1;             ///< Factor on Saturdays and Sundays.
  double requests_per_burst = 1;  ///< Mean.
  Duration spacing{0};            ///< Mean time between the requests of a burst.
  std::uint32_t routers = 1;      ///< The first requests arrive at so many daemons at once.
  std::uint32_t tokens = 16;
  std::uint32_t prompts = 4;  ///< Distinct prompts (floor policies, dossiers) per model.
};

/// Requests for ordinary back ends.
struct ServiceDemandTraits {
  std::string service;
  std::string path;
  double per_hour = 0;  ///< In the busiest hour.
  HourWeights hours;
  double doubled = 0;  ///< Share that is sent with one key to two daemons at once.
};

struct PlannedFault {
  FaultKind kind = FaultKind::kProcessKilled;
  Duration at{0};
  Duration lasts{0};
};

/// One experiment: a deployment, what is declared, who calls, and what fails.
struct Scenario {
  std::string name;
  Deployment deployment;
  Intent intent;
  Duration duration = std::chrono::hours(24);
  Duration warmup{0};  ///< Lived through first, unmeasured, so that policies know the hours.
  std::uint32_t first_weekday = 0;  ///< 0: Monday.
  CoreSettings core;
  double demand_scale = 1;
  double shift_hours = 0;   ///< Moves the measured days' demand, as a holiday or change of shift.
  double night_bursts = 0;  ///< Extra bursts an hour, of any model, at any hour.
  double changes_per_hour = 0;  ///< Confirmed changes of configuration.
  std::vector<ModelDemandTraits> demand;
  std::vector<ServiceDemandTraits> service_demand;
  std::vector<PlannedFault> faults;
  std::map<FaultKind, double> chaos;  ///< Mean number a day.
};

/// Reads a scenario; the files it names are relative to it.
/// @param overrides KEY=VALUE pairs that replace top-level values.
/// @throws ConfigError with all mistakes.
Scenario ReadScenarioFile(const std::string& file,
                          const std::vector<std::pair<std::string, std::string>>& overrides);

}  // namespace moorfold
