#include "fleet/server_advisory.h"

#include <algorithm>

namespace moorfold {

bool ServerAdvisoryState::Take(const ServerAdvisory& statement, Time sent_at, Time now,
                               bool from_run) {
  const ServerAdvisoryState before = *this;
  leaving = leaving || statement.leaving;
  if (statement.pause.count() > 0) paused_until = std::max(paused_until, now + statement.pause);
  if (statement.limit_per_second) {
    limit_per_second = statement.limit_per_second;
    limit_received_at = now;
    limit_requested_at = std::max(limit_requested_at, sent_at);
  } else if (from_run && sent_at > limit_received_at) {
    limit_per_second.reset();
    limit_requested_at = sent_at;
  }
  return leaving != before.leaving || paused_until != before.paused_until ||
         limit_per_second != before.limit_per_second;
}

}  // namespace moorfold
