#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/intent.h"
#include "http/http_client.h"
#include "http/http_server.h"
#include "request/api_error.h"
#include "request/attempt.h"

namespace moorfold {

/// One caller's request on its way through a worker.
struct Call {
  std::string id;    ///< Unique; sent to back ends, echoed in their answers.
  std::string name;  ///< The model or service called.
  Deadline arrival{};
  Deadline deadline{};
  Priority priority = Priority::kInteractive;
  std::uint64_t prefix_hash = 0;
  bool stream = false;
  bool repeatable = true;
  bool forwarded = false;  ///< Came from another daemon: goes no further.
  bool was_cold = false;
  bool disconnected = false;
  HttpExchange* upstream = nullptr;  ///< Cancelled when the caller goes away.
  std::optional<ApiError> refusal;
};

/// Sends `request` to `endpoint` and passes the answer on to the caller as it comes. An answer
/// that names another request's id is discarded, with its connection.
Awaitable<Attempt> ForwardOnce(HttpClient& client, HttpServerExchange& exchange, Call& call,
                               Endpoint endpoint, HttpRequest request,
                               std::function<void()> first_byte);

/// Reads deadline (x-deadline-ms), priority (x-priority) and request id of a request.
/// @return the mistake in the headers, if there is one.
std::optional<ApiError> ReadCallHeaders(const HttpHeaders& headers, Duration default_deadline,
                                        Priority default_priority, Call& call);

/// How long before the deadline a refusal goes out, so that it arrives in time.
Deadline RefusalTime(const Call& call);

}  // namespace moorfold
