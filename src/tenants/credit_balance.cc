#include "tenants/credit_balance.h"

#include <algorithm>

namespace moorfold::quota {

namespace {

/// Tolerance for rounding: the floating-point sum of many small parts may be too low.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

std::vector<Credit> Merge(std::vector<Credit> credits, std::size_t max_parts) {
  while (credits.size() > max_parts) {
    std::size_t closest = 1;
    for (std::size_t at = 2; at < credits.size(); ++at)
      if (credits[at].created_at - credits[at - 1].created_at <
          credits[closest].created_at - credits[closest - 1].created_at)
        closest = at;
    credits[closest - 1].units += credits[closest].units;
    credits.erase(credits.begin() + static_cast<std::ptrdiff_t>(closest));
  }
  return credits;
}

void CreditBalance::Add(Credit credit) {
  if (credit.units <= 0) return;
  const auto younger = std::upper_bound(
      credits_.begin(), credits_.end(), credit.created_at,
      [](Time created_at, const Credit& other) { return created_at < other.created_at; });
  if (younger != credits_.begin()) {
    Credit& older = *std::prev(younger);
    if (credit.created_at - older.created_at < kMergeInterval) {
      older.units += credit.units;
      return;
    }
  }
  credits_.insert(younger, credit);
}

void CreditBalance::DropBefore(Time since) {
  while (!credits_.empty() && credits_.front().created_at < since) credits_.pop_front();
}

double CreditBalance::Units() const {
  double units = 0;
  for (const Credit& credit : credits_) units += credit.units;
  return units;
}

std::optional<Time> CreditBalance::Take(double units) {
  if (Units() + kRoundingTolerance < units || credits_.empty()) return std::nullopt;
  const Time oldest = credits_.front().created_at;
  TakeUpTo(units);
  return oldest;
}

std::vector<Credit> CreditBalance::TakeUpTo(double units) {
  std::vector<Credit> taken;
  while (units > 0 && !credits_.empty()) {
    Credit& oldest = credits_.front();
    const double part = std::min(units, oldest.units);
    taken.push_back({oldest.created_at, part});
    units -= part;
    oldest.units -= part;
    if (oldest.units <= kRoundingTolerance) credits_.pop_front();
  }
  return taken;
}

}  // namespace moorfold::quota
