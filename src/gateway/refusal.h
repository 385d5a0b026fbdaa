#pragma once

#include <string>

#include "gateway/request_outcome.h"

namespace moorfold {

/// What a client is told that gets no server's answer.
struct Refusal {
  unsigned status = 503;
  EndReason reason = EndReason::kNone;
  std::string remedy;
  bool may_have_run = false;
  double retry_after_s = 0;  ///< 0: none is stated.
};

}  // namespace moorfold
