#pragma once

#include <string>

#include "gateway/refusal.h"
#include "http/http_types.h"
#include "tenants/quota_service.h"

namespace moorfold {

/// @param jitter between 0 and 1; keeps refused callers from all retrying at the same time.
Refusal QuotaRefusal(const QuotaDecision& decision, double jitter);

/// Has no Retry-After: a later attempt at the same request would be refused as well.
Refusal QuarantineRefusal();

/// For a request that resumes a stream whose software version cannot be known. Has no Retry-After:
/// the stream cannot go on, only begin anew.
Refusal StreamVersionUnknownRefusal();

/// For a request that resumes a stream while the store does not tell its software version.
/// @param jitter as above.
Refusal StreamVersionUnavailableRefusal(double jitter);

/// For a request that resumes a stream which no server of the service began.
/// @param jitter as above.
Refusal StreamVersionNotServedRefusal(double jitter);

Refusal StreamNotResumableRefusal();

/// For a daemon that reaches no server and has found no detour.
/// @param jitter as above.
Refusal IsolatedRefusal(double jitter);

/// For a request that a daemon has read whole so late in its stop that it could not answer in time.
Refusal StoppingRefusal();

/// For a request that was not read whole, since this daemon has no memory for it.
/// @param jitter as above.
Refusal MemoryShortRefusal(double jitter);

/// For a request that another daemon has sent here in vain.
Refusal DeclinedRefusal();

/// For a request that was to be refused, and whose refusal the log does not take.
Refusal UnloggedRefusal();

/// @param id_header name of the header that carries the request ID.
/// @param id of the request; empty: the header is omitted.
HttpResponse ToResponse(const Refusal& refusal, const std::string& id_header,
                        const std::string& id);

}  // namespace moorfold
