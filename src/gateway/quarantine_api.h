#pragma once

#include "http/http_types.h"
#include "quarantine/quarantine_service.h"

namespace moorfold {

/// The operator's calls about quarantined requests, beside a gateway's figures:
/// - GET quarantine: a line for each, "FINGERPRINT SERVICE SERVERS SECONDS_LEFT VERSION,...".
/// - POST quarantine/release/FINGERPRINT: lets it run again, at every daemon; servers that end
/// under
///   it afterwards count anew.
inline constexpr std::string_view kQuarantinePath = "/quarantine";

/// @pre the request's target begins with kQuarantinePath.
/// @return the answer; a mistake names its remedy.
HttpResponse AnswerQuarantineCall(const HttpRequest& request, QuarantineService& quarantine);

}  // namespace moorfold
