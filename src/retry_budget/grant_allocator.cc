#include "retry_budget/grant_allocator.h"

#include <algorithm>
#include <cmath>

namespace moorfold::retry {

namespace {

/// Part of the minimum that is granted. The rest is for the fractions of retries that daemons had
/// earned before a window and complete in it: half a retry for each daemon if all began together.
constexpr double kGrantedShare = 0.75;
/// Part of what is left that one query may get, so that others find some, too.
constexpr double kShareOfOneQuery = 0.25;

}  // namespace

GrantAllocator::GrantAllocator(std::chrono::milliseconds window, double min_retries)
    // One slice more than the window and a grant's lifetime, for the one that has just begun.
    : slice_((BootClock::duration(window) + kGrantLifetime) / (kSlices - 1)),
      capacity_(static_cast<std::uint32_t>(min_retries * kGrantedShare)) {}

void GrantAllocator::Lead(Time now) {
  const bool continues = led_until_ != Time{} && now - led_until_ < slice_ * kSlices;
  led_until_ = now;
  if (continues) return;
  services_.clear();
  grants_from_ = now + slice_ * kSlices;
}

std::uint32_t GrantAllocator::GrantedInWindow(const Grants& grants, Time now) const {
  const std::int64_t oldest = now.time_since_epoch() / slice_ - kSlices + 1;
  std::uint32_t granted = 0;
  for (const Slice& slice : grants) granted += slice.number >= oldest ? slice.granted : 0;
  return granted;
}

std::uint32_t GrantAllocator::Grant(const std::string& service, std::uint32_t wanted, Time now) {
  if (now < grants_from_ || wanted == 0) return 0;
  Grants& grants = services_[service];
  const std::uint32_t already_granted = GrantedInWindow(grants, now);
  if (already_granted >= capacity_) return 0;
  const std::uint32_t left = capacity_ - already_granted;
  const auto most = static_cast<std::uint32_t>(std::ceil(left * kShareOfOneQuery));
  const std::uint32_t granted = std::min(wanted, most);
  const std::int64_t number = now.time_since_epoch() / slice_;
  Slice& current = grants[static_cast<std::size_t>(number % kSlices)];
  if (current.number != number) current = {number, 0};
  current.granted += granted;
  return granted;
}

void GrantAllocator::RemoveIdle(Time now) {
  std::erase_if(services_,
                [&](const auto& entry) { return GrantedInWindow(entry.second, now) == 0; });
}

}  // namespace moorfold::retry
