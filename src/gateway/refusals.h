#pragma once

#include <string>

#include "gateway/refusal.h"
#include "http/http_types.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// @param spread between 0 and 1, so that refused callers do not all come back at once.
Refusal QuotaRefusal(const QuotaDecision& decision, double spread);

/// Without a time to come back: a later try of the same request would be refused as well.
Refusal QuarantineRefusal();

/// @param id_header the header that names a request.
/// @param id of the request; empty: none is stated.
HttpResponse ToResponse(const Refusal& refusal, const std::string& id_header,
                        const std::string& id);

}  // namespace moorfold
