#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "http/http_types.h"

namespace moorfold {

/// One request that the load generator will send.
struct LoadRequest {
  std::chrono::microseconds at{0};  ///< From the start; the latency counts from here.
  Endpoint server;
  bool is_service = false;
  std::string target;     ///< Services: the path.
  std::string called_as;  ///< Models: "model" or "model:adapter".
  std::string model;      ///< Of the expected answer.
  std::string prompt;
  std::uint32_t tokens = 16;
  bool stream = true;
  std::string key;  ///< Idempotency key; empty: none.
  std::chrono::milliseconds deadline{60'000};
  std::string priority = "interactive";
};

enum class LoadEnd : std::uint8_t {
  kServed,
  kRefusedNotRun,
  kUnknown,     ///< The answer says so, or the connection broke.
  kLost,        ///< No end came within the deadline and some patience.
  kMismatched,  ///< Another request's answer, or not the whole one.
};
const char* ToString(LoadEnd end);

struct LoadOutcome {
  LoadEnd end = LoadEnd::kLost;
  unsigned status = 0;
  std::string code;               ///< Of a refusal.
  double first_byte_seconds = 0;  ///< From the intended send time.
  double total_seconds = 0;
};

/// Sends requests open loop (each at its time, whatever became of the others), checks every
/// answer's content, and follows each request to its end.
/// @param progress called about once a second with the numbers sent and ended.
/// @return one outcome per request, in order.
std::vector<LoadOutcome> RunLoad(const std::vector<LoadRequest>& requests,
                                 const std::function<void(std::size_t, std::size_t)>& progress);

/// Sends one request and returns its answer, whatever its status. @throws HttpError.
HttpResponse Call(const Endpoint& server, const HttpRequest& request);
/// GET `target` at `server`, as JSON text. @throws HttpError.
std::string Fetch(const Endpoint& server, const std::string& target);
/// POST `body` to `target` at `server`. @throws HttpError.
std::string Post(const Endpoint& server, const std::string& target, const std::string& body);

}  // namespace moorfold
