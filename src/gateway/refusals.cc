#include "gateway/refusals.h"

#include <chrono>

#include "http/http_status.h"

namespace moorfold {

namespace {

std::string FormatSeconds(double seconds) {
  std::string text = std::to_string(seconds);
  constexpr std::size_t kDigitsDropped = 3;
  text.resize(text.size() - kDigitsDropped);
  return text;
}

}  // namespace

Refusal QuotaRefusal(const QuotaDecision& decision, double jitter) {
  constexpr double kJitterShare = 0.5;
  const double delay_s =
      std::chrono::duration<double>(decision.retry_after).count() * (1 + kJitterShare * jitter);
  switch (decision.quota_status) {
    case QuotaStatus::kOverCapacity:
      return {http_status::kTooManyRequests, EndReason::kOverQuota,
              "the limit never allows so many units at once; ask for less in one request", false,
              0};
    case QuotaStatus::kUnknown:
      return {http_status::kUnavailable, EndReason::kQuotaUnknown,
              "no daemon could tell what the limit still allows; come back", false, delay_s};
    case QuotaStatus::kOverLimit:
    case QuotaStatus::kGranted:
      break;
  }
  return {http_status::kTooManyRequests, EndReason::kOverQuota,
          "the tenant has used its limit; come back after the stated time", false, delay_s};
}

Refusal QuarantineRefusal() {
  return {http_status::kUnavailable, EndReason::kQuarantined,
          "servers ended under this request; do not repeat it, change it or ask the operator",
          false, 0};
}

Refusal StreamVersionUnknownRefusal() {
  return {http_status::kUnavailable, EndReason::kStreamVersionUnknown,
          "the servers that began this stream are not known; begin it anew", false, 0};
}

Refusal StreamVersionUnavailableRefusal(double jitter) {
  constexpr double kRetryAfterS = 0.3;
  return {http_status::kUnavailable, EndReason::kStreamVersionUnavailable,
          "this daemon cannot reach its store; come back after the stated time", false,
          kRetryAfterS * (1 + jitter)};
}

Refusal StreamVersionNotServedRefusal(double jitter) {
  constexpr double kRetryAfterS = 1;
  return {http_status::kUnavailable, EndReason::kStreamVersionNotServed,
          "no server has the software version that began this stream; begin it anew", false,
          kRetryAfterS * (1 + jitter)};
}

Refusal StreamNotResumableRefusal() {
  return {http_status::kUnavailable, EndReason::kStreamNotResumable,
          "streams of this route cannot be resumed; begin it anew", false, 0};
}

Refusal IsolatedRefusal(double jitter) {
  // Callers may find another daemon at once; this one looks for servers several times a second.
  constexpr double kRetryAfterS = 0.3;
  return {http_status::kUnavailable, EndReason::kServersUnreachable,
          "this daemon reaches no server; come back after the stated time, on a new connection",
          false, kRetryAfterS * (1 + jitter)};
}

Refusal StoppingRefusal() {
  return {http_status::kUnavailable, EndReason::kDaemonStopping,
          "this daemon stops; send the request to another one, on a new connection", false, 0};
}

Refusal MemoryShortRefusal(double jitter) {
  constexpr double kRetryAfterS = 1;
  return {http_status::kUnavailable, EndReason::kMemoryShort,
          "this daemon has no memory for the request; come back after the stated time, on a new "
          "connection",
          false, kRetryAfterS * (1 + jitter)};
}

Refusal DeclinedRefusal() {
  return {http_status::kUnavailable, EndReason::kDeclined, "send the request to another daemon",
          false, 0};
}

Refusal UnloggedRefusal() {
  return {
      http_status::kBadGateway, EndReason::kNotLogged,
      "this daemon cannot log that the request did not run; repeat it only if that does no harm",
      true, 0};
}

HttpResponse ToResponse(const Refusal& refusal, const std::string& id_header,
                        const std::string& id) {
  HttpResponse response;
  response.status = refusal.status;
  response.headers.push_back({"Content-Type", "application/json"});
  if (!id.empty()) response.headers.push_back({id_header, id});
  if (refusal.status == http_status::kUnauthorized)
    response.headers.push_back({"WWW-Authenticate", "Bearer"});
  if (refusal.retry_after_s > 0)
    response.headers.push_back({"Retry-After", FormatSeconds(refusal.retry_after_s)});
  response.body = R"({"error":{"code":")" + std::string(Name(refusal.reason)) + R"(","remedy":")" +
                  refusal.remedy + R"("},"executed":")" +
                  (refusal.may_have_run ? "unknown" : "no") + "\"}\n";
  return response;
}

}  // namespace moorfold
