#include "modelled/weight_store_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace moorfold {
namespace {
constexpr double kMebiPerGibi = 1024;
constexpr double kDoneMebi = 1e-6;
}  // namespace

double WeightStoreModel::SpeedOfOne() const {
  const double sharing =
      std::max(1.0, static_cast<double>(active_.size()) / traits_.full_speed_loads);
  return traits_.speed * kMebiPerGibi / (sharing * slowdown_);
}

std::optional<Timestamp> WeightStoreModel::NextAdmission() const {
  if (waiting_.empty()) return std::nullopt;
  const Duration spacing = FromSeconds(1.0 / traits_.loads_per_second);
  return std::max(now_, last_admission_ + spacing);
}

void WeightStoreModel::Progress(Duration elapsed) {
  const double moved = SpeedOfOne() * ToSeconds(elapsed);
  for (Transfer& transfer : active_) {
    transfer.remaining -= moved;
    if (transfer.remaining <= kDoneMebi) finished_.push_back(transfer.id);
  }
  std::erase_if(active_, [](const Transfer& each) { return each.remaining <= kDoneMebi; });
}

std::optional<Timestamp> WeightStoreModel::NextChange() const {
  if (!finished_.empty()) return now_;
  std::optional<Timestamp> next = NextAdmission();
  for (const Transfer& transfer : active_) {
    const double seconds = transfer.remaining / SpeedOfOne();
    const Timestamp done = now_ + Duration(static_cast<std::int64_t>(std::ceil(seconds * 1e6)));
    if (!next || done < *next) next = done;
  }
  return next;
}

void WeightStoreModel::AdvanceTo(Timestamp now) {
  while (now_ < now) {
    const std::optional<Timestamp> admission = NextAdmission();
    if (admission && *admission <= now_) {
      active_.push_back(waiting_.front());
      waiting_.pop_front();
      last_admission_ = now_;
      continue;
    }
    Timestamp step = now;
    if (admission) step = std::min(step, *admission);
    for (const Transfer& transfer : active_) {
      const double seconds = transfer.remaining / SpeedOfOne();
      const Duration left(std::max<std::int64_t>(1, std::llround(std::ceil(seconds * 1e6))));
      step = std::min(step, now_ + left);
    }
    Progress(step - now_);
    now_ = step;
  }
}

TransferId WeightStoreModel::Start(MebiBytes size, Timestamp now) {
  AdvanceTo(now);
  const TransferId id = next_++;
  waiting_.push_back({id, static_cast<double>(size)});
  return id;
}

void WeightStoreModel::Cancel(TransferId transfer, Timestamp now) {
  AdvanceTo(now);
  const auto same = [&](const Transfer& each) { return each.id == transfer; };
  std::erase_if(waiting_, same);
  std::erase_if(active_, same);
  std::erase(finished_, transfer);
}

void WeightStoreModel::SetSlowdown(double factor, Timestamp now) {
  AdvanceTo(now);
  slowdown_ = factor;
}

std::vector<TransferId> WeightStoreModel::TakeFinished(Timestamp now) {
  AdvanceTo(now);
  return std::exchange(finished_, {});
}

}  // namespace moorfold
