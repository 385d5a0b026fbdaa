#include "server_limits/permit_allocator.h"

#include <algorithm>

#include "server_limits/limit_shares.h"

namespace moorfold::limits {

namespace {

using std::chrono::microseconds;

/// Entries for which no permit was requested for this time are removed. A limit that still holds is
/// reported again by then.
constexpr std::chrono::seconds kEntryTimeout{60};
/// Far more servers than are limited at the same time.
constexpr std::size_t kMaxServers = 4'096;
/// Unused permits that are kept for later requests.
constexpr int kMaxSavedPermits = 1;
/// Target number of repeated requests per permit, from all denied daemons together.
constexpr double kRequestsPerPermit = 4;

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

/// @return the duration stated in a message, clamped to a plausible range because the sender is not
/// trusted.
microseconds Bounded(std::int64_t stated_us) {
  constexpr std::int64_t kMaxUs = 3'600'000'000;
  return microseconds(std::clamp<std::int64_t>(stated_us, 0, kMaxUs));
}

}  // namespace

BootClock::duration PermitAllocator::PermitInterval(const Entry& entry, AllocatorRole role) {
  const double share = role == AllocatorRole::kLeader ? kLeaderShare : kDeputyShare;
  const double per_second = std::max(kProbesPerSecond, share * entry.limit_per_second.value_or(0));
  return std::chrono::duration_cast<BootClock::duration>(
      std::chrono::duration<double>(1 / per_second));
}

void PermitAllocator::RemoveStaleEntries(Time now) {
  if (now < next_cleanup_ && entries_.size() < kMaxServers) return;
  next_cleanup_ = now + kEntryTimeout;
  std::erase_if(entries_, [&](const auto& entry) {
    return now - entry.second.requested_at > kEntryTimeout || entries_.size() > kMaxServers;
  });
}

PermitAllocator::Entry& PermitAllocator::FindOrCreate(const PermitRequest& request,
                                                      AllocatorRole role, Time now) {
  const Time stated_at = now - Bounded(request.age_us);
  const auto [found, inserted] = entries_.try_emplace(Key{request.server_id, request.incarnation});
  Entry& entry = found->second;
  entry.requested_at = now;
  if (!inserted && stated_at < entry.stated_at) return entry;
  const bool had_limit = entry.limit_per_second.has_value();
  entry.stated_at = stated_at;
  entry.limit_per_second = request.limited ? std::optional(request.limit_per_second) : std::nullopt;
  // A previous leader may just have granted permits, so the first one is due after an interval.
  if (request.limited && !had_limit) entry.next_permit_at = now + PermitInterval(entry, role);
  return entry;
}

PermitResponse PermitAllocator::Allocate(const PermitRequest& request, AllocatorRole role,
                                         Time now) {
  PermitResponse response{request.asked_at_us, PermitVerdict::kNotAllocator, 0};
  if (role == AllocatorRole::kNone) return response;
  RemoveStaleEntries(now);
  Entry& entry = FindOrCreate(request, role, now);
  if (!entry.limit_per_second) {
    response.verdict = PermitVerdict::kUnlimited;
    return response;
  }
  const BootClock::duration interval = PermitInterval(entry, role);
  const BootClock::duration wait = std::max(BootClock::duration{}, entry.next_permit_at - now);
  if (request.max_wait_us >= 0 && wait <= Bounded(request.max_wait_us)) {
    entry.next_permit_at =
        std::max(entry.next_permit_at, now - interval * kMaxSavedPermits) + interval;
    entry.denied_requests = std::max(0.0, entry.denied_requests - kRequestsPerPermit);
    response.verdict = PermitVerdict::kGranted;
    response.wait_us = Microseconds(wait);
    return response;
  }
  response.verdict = PermitVerdict::kDenied;
  const auto backoff = std::chrono::duration_cast<BootClock::duration>(
      interval * entry.denied_requests / kRequestsPerPermit);
  if (request.max_wait_us >= 0) ++entry.denied_requests;
  response.wait_us = Microseconds(std::min<BootClock::duration>(wait + backoff, kMaxRetryDelay));
  return response;
}

}  // namespace moorfold::limits
