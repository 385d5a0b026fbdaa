#pragma once

#include <boost/json.hpp>
#include <string>

#include "http/http_server.h"

namespace moorfold {

inline HttpResponse JsonResponse(unsigned status, const boost::json::value& body) {
  return {status, {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
}

/// Built here because the compiler rejects braced lists inside an expression that is awaited.
inline HttpResponse ErrorResponse(unsigned status, const std::string& message) {
  return JsonResponse(status, {{"error", {{"message", message}}}});
}
inline HttpHeaders ContentType(const std::string& type) { return {{"Content-Type", type}}; }

/// The rejection of a request that could not be read, as the stand-ins answer it.
inline HttpResponse PlainRejection(const RejectedRequest& rejected) {
  return ErrorResponse(rejected.status, rejected.reason);
}

}  // namespace moorfold
