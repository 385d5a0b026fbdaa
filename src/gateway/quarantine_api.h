#pragma once

#include "http/http_types.h"
#include "quarantine/quarantine_service.h"

namespace moorfold {

/// Operator API for quarantined requests, served on the metrics port.
///
/// GET /quarantine lists the requests, one line each:
/// "FINGERPRINT SERVICE SERVERS SECONDS_LEFT VERSION,...".
///
/// POST /quarantine/release/FINGERPRINT releases the request on every daemon; its count of crashed
/// servers restarts at zero.
inline constexpr std::string_view kQuarantinePath = "/quarantine";

/// @pre the request's target begins with kQuarantinePath.
/// @return the response; error texts tell how to correct the call.
HttpResponse AnswerQuarantineCall(const HttpRequest& request, QuarantineService& quarantine);

}  // namespace moorfold
