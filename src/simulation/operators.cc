#include "simulation/operators.h"

namespace moorfold {
namespace {
constexpr Duration kRetry = std::chrono::seconds(5);
constexpr std::uint32_t kMostReplicas = 2;
}  // namespace

SimulatedOperators::SimulatedOperators(World& world, SimulatedKeyValueService& service,
                                       const Intent& intent, const ZoneName& zone)
    : world_(world),
      process_(world.queue),
      store_(service, process_, zone),
      documents_(store_),
      intent_(intent) {
  process_.Start();
}

void SimulatedOperators::PlanAndConfirm(const ConfigurationSnapshot& base, const Intent& intent,
                                        std::function<void(bool)> done) {
  const Plan plan = MakePlan(base, intent, Fleet{}, PlanId(base.revision, intent));
  Plan accepted = plan;
  accepted.refusals.clear();  // Checked when the scenario was read; the fleet is not asked here.
  documents_.StorePlan(accepted,
                       [this, id = plan.id, done](const std::optional<PlatformFailure>& failure) {
                         if (failure) return done(false);
                         documents_.ConfirmPlan(id, [done](const ConfirmResult& result) {
                           done(result.outcome == ConfirmOutcome::kConfirmed ||
                                result.outcome == ConfirmOutcome::kAlreadyConfirmed);
                         });
                       });
}

void SimulatedOperators::ConfirmFirst() {
  PlanAndConfirm({}, intent_, [this](bool confirmed) {
    if (!confirmed) world_.queue.After(kRetry, [this] { ConfirmFirst(); });
  });
}

Intent SimulatedOperators::Mutate(Intent intent) {
  if (intent.models.empty()) return intent;
  auto model = intent.models.begin();
  std::advance(model, static_cast<std::ptrdiff_t>(world_.random() % intent.models.size()));
  constexpr std::uint64_t kKinds = 3;
  switch (world_.random() % kKinds) {
    case 0:
      ++model->second.version;
      break;
    case 1: {
      if (model->second.replicas.empty()) break;
      auto& [zone, replicas] = *model->second.replicas.begin();
      replicas = replicas >= kMostReplicas ? 1 : kMostReplicas;
      break;
    }
    default:
      model->second.deadline += std::chrono::seconds(1);
      break;
  }
  return intent;
}

void SimulatedOperators::Change() {
  documents_.ReadConfiguration(
      0, [this](const Outcome<std::optional<ConfigurationSnapshot>>& read) {
        if (!read.ok() || !read.value()) return;
        PlanAndConfirm(*read.value(), Mutate(read.value()->intent), [](bool) {});
      });
}

void SimulatedOperators::Race() {
  documents_.ReadConfiguration(
      0, [this](const Outcome<std::optional<ConfigurationSnapshot>>& read) {
        if (!read.ok() || !read.value()) return;
        PlanAndConfirm(*read.value(), Mutate(read.value()->intent), [](bool) {});
        PlanAndConfirm(*read.value(), Mutate(read.value()->intent), [](bool) {});
      });
}

}  // namespace moorfold
