#pragma once

#include <string>

#include "gateway/request_outcome.h"

namespace moorfold {

/// Error response that the gateway itself sends when no server's response can be relayed.
struct Refusal {
  unsigned status = 503;
  EndReason reason = EndReason::kNone;
  std::string remedy;
  bool may_have_run = false;
  double retry_after_s = 0;  ///< 0: no Retry-After header.
};

}  // namespace moorfold
