#include "server_limits/fallback_permits.h"

#include <algorithm>
#include <cmath>

#include "server_limits/limit_shares.h"

namespace moorfold::limits {

namespace {
/// Where nobody has told how large the fleet is.
constexpr std::uint32_t kDaemonsUnknown = 8;
constexpr std::size_t kMostServers = 4'096;
}  // namespace

bool FallbackPermits::TryAcquire(const std::string& server_id, double limit_per_second,
                                 std::uint32_t daemons, Time now) {
  if (limit_per_second <= 0) return false;
  if (turns_.size() >= kMostServers && !turns_.contains(server_id)) turns_.erase(turns_.begin());
  const auto [found, fresh] = turns_.try_emplace(server_id);
  Turns& turns = found->second;
  if (fresh) turns.phase = std::uniform_real_distribution<double>(0, 1)(random_);
  turns.asked_at = now;
  const double sharing = daemons == 0 ? kDaemonsUnknown : daemons;
  const double between_s = sharing / (kFallbackShare * limit_per_second);
  const double now_s = std::chrono::duration<double>(now.time_since_epoch()).count();
  const double turn = now_s / between_s + turns.phase;
  const double since_s = (turn - std::floor(turn)) * between_s;
  const double longest_s =
      std::min(std::chrono::duration<double>(kPermitLifetime).count(), between_s);
  const bool used = std::chrono::duration<double>(now - turns.used_at).count() < between_s / 2;
  if (since_s >= longest_s || used) return false;
  turns.used_at = now;
  return true;
}

}  // namespace moorfold::limits
