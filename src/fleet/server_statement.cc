#include "fleet/server_statement.h"

#include <algorithm>

namespace moorfold {

bool ServerStanding::Take(const ServerStatement& statement, Time sent_at, Time now, bool from_run) {
  const ServerStanding before = *this;
  leaving = leaving || statement.leaving;
  if (statement.pause.count() > 0) paused_until = std::max(paused_until, now + statement.pause);
  if (statement.limit_per_second) {
    limit_per_second = statement.limit_per_second;
    limit_heard_at = now;
    limit_as_of = std::max(limit_as_of, sent_at);
  } else if (from_run && sent_at > limit_heard_at) {
    limit_per_second.reset();
    limit_as_of = sent_at;
  }
  return leaving != before.leaving || paused_until != before.paused_until ||
         limit_per_second != before.limit_per_second;
}

}  // namespace moorfold
