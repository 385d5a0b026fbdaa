#pragma once

#include <string>

#include "gateway/request_outcome.h"
#include "http/http_status.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

/// @return whether clients take the status as a promise that the request has not run and never
/// will.
constexpr bool PromisesNotRun(unsigned status) {
  return status == http_status::kUnavailable || status == http_status::kTooManyRequests ||
         status == http_status::kRequestTimeout || status == kMisdirectedStatus;
}

/// Error response that the gateway itself sends when no server's response can be relayed.
struct Refusal {
  unsigned status = 503;
  EndReason reason = EndReason::kNone;
  std::string remedy;
  bool may_have_run = false;
  double retry_after_s = 0;  ///< 0: no Retry-After header.
};

}  // namespace moorfold
