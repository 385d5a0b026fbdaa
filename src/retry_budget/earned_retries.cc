#include "retry_budget/earned_retries.h"

namespace moorfold::retry {

namespace {

/// Lifetimes of an earned retry in one window.
constexpr int kLifetimesPerWindow = 8;
/// Part of the fleet's ratio that is earned. Retries of one window were earned within the window
/// and one lifetime before it; the rest is for requests that are on their way to a server.
constexpr double kEarnedShare = 0.85;
static_assert(kEarnedShare * (1.0 + 1.0 / kLifetimesPerWindow) < 1);

}  // namespace

EarnedRetries::EarnedRetries(std::chrono::milliseconds window, double ratio)
    : lifetime_(window / kLifetimesPerWindow), retries_per_request_(ratio * kEarnedShare) {}

void EarnedRetries::RecordRequest(Time arrived) {
  fraction_ += retries_per_request_;
  if (fraction_ < 1) return;
  fraction_ -= 1;
  earned_at_.push_back(arrived);
}

std::size_t EarnedRetries::Available(Time now) {
  while (!earned_at_.empty() && now - earned_at_.front() >= lifetime_) earned_at_.pop_front();
  return earned_at_.size();
}

bool EarnedRetries::TryTake(Time now) {
  if (Available(now) == 0) return false;
  earned_at_.pop_front();
  return true;
}

}  // namespace moorfold::retry
