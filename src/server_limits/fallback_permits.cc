#include "server_limits/fallback_permits.h"

#include <algorithm>
#include <cmath>

#include "server_limits/limit_shares.h"

namespace moorfold::limits {

namespace {
/// Assumed number of daemons while the size of the fleet is unknown.
constexpr std::uint32_t kAssumedDaemons = 8;
constexpr std::size_t kMaxServers = 4'096;
}  // namespace

bool FallbackPermits::TryAcquire(const std::string& server_id, double limit_per_second,
                                 std::uint32_t daemons, Time now) {
  if (limit_per_second <= 0) return false;
  if (schedules_.size() >= kMaxServers && !schedules_.contains(server_id))
    schedules_.erase(schedules_.begin());
  const auto [found, inserted] = schedules_.try_emplace(server_id);
  Schedule& schedule = found->second;
  if (inserted) schedule.phase = std::uniform_real_distribution<double>(0, 1)(random_);
  schedule.requested_at = now;
  const double daemon_count = daemons == 0 ? kAssumedDaemons : daemons;
  const double interval_s = daemon_count / (kFallbackShare * limit_per_second);
  const double now_s = std::chrono::duration<double>(now.time_since_epoch()).count();
  const double slot = now_s / interval_s + schedule.phase;
  const double since_slot_start_s = (slot - std::floor(slot)) * interval_s;
  const double slot_length_s =
      std::min(std::chrono::duration<double>(kPermitLifetime).count(), interval_s);
  const bool used_recently =
      std::chrono::duration<double>(now - schedule.used_at).count() < interval_s / 2;
  if (since_slot_start_s >= slot_length_s || used_recently) return false;
  schedule.used_at = now;
  return true;
}

}  // namespace moorfold::limits
