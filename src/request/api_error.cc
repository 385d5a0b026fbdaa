#include "request/api_error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>

#include "http/http_status.h"

namespace moorfold {

HttpResponse ToResponse(const ApiError& error) {
  const char* type =
      error.status >= http_status::kFirstServerError ? "server_error" : "invalid_request_error";
  const boost::json::value body = {
      {"error",
       {{"message", error.message}, {"type", type}, {"param", nullptr}, {"code", error.code}}},
      {"executed", error.executed == Executed::kNo ? "no" : "unknown"},
      {"remedy", error.remedy}};
  HttpResponse response{
      error.status, {{"Content-Type", "application/json"}}, boost::json::serialize(body)};
  if (error.retry_after)
    response.headers.push_back({"Retry-After", std::to_string(error.retry_after->count())});
  return response;
}

namespace errors {

namespace {
constexpr std::chrono::seconds kSoon{1};
}  // namespace

ApiError BadRequest(const std::string& what, const std::string& remedy) {
  return {http_status::kBadRequest, "bad_request", what, remedy, Executed::kNo, std::nullopt};
}
ApiError UnknownModel(const std::string& model) {
  return {http_status::kNotFound,
          "model_not_found",
          "no model or adapter '" + model + "' is declared",
          "call GET /v1/models for the declared names, or plan an intent with it",
          Executed::kNo,
          std::nullopt};
}
ApiError UnknownService(const std::string& service) {
  return {http_status::kNotFound,
          "service_not_found",
          "no service '" + service + "' is declared",
          "declare it in the intent, under 'services'",
          Executed::kNo,
          std::nullopt};
}
ApiError NotReady() {
  return {http_status::kUnavailable,
          "not_ready",
          "this daemon knows no configuration yet",
          "try another daemon, or confirm a plan",
          Executed::kNo,
          kSoon};
}
ApiError CallerLimit(std::uint32_t limit) {
  return {
      http_status::kTooManyRequests,
      "caller_limit",
      "you have " + std::to_string(limit) + " requests in progress here, the most one caller may",
      "wait for answers before you send more",
      Executed::kNo,
      kSoon};
}
ApiError QueueFull(const std::string& model) {
  return {http_status::kTooManyRequests,
          "queue_full",
          "too many requests wait for '" + model + "'",
          "come back later, or declare more replicas",
          Executed::kNo,
          kSoon};
}
ApiError TooLate(const std::string& model, double predicted_seconds) {
  const auto seconds =
      std::chrono::seconds(static_cast<std::int64_t>(std::max(1.0, std::ceil(predicted_seconds))));
  return {http_status::kUnavailable,
          "would_be_late",
          "'" + model + "' could not answer before the deadline: the wait is about " +
              std::to_string(seconds.count()) + " s",
          "come back then, or allow a later deadline (x-deadline-ms)",
          Executed::kNo,
          seconds};
}
ApiError StillLoading(const std::string& model) {
  return {http_status::kGatewayTimeout,
          "model_loading",
          "no replica of '" + model + "' was free before the deadline",
          "come back shortly, or allow a later deadline (x-deadline-ms)",
          Executed::kNo,
          kSoon};
}
ApiError NoBackend(const std::string& service) {
  return {http_status::kUnavailable,
          "no_backend",
          "no live server of '" + service + "' is known",
          "come back shortly; operators: see the machine list",
          Executed::kNo,
          kSoon};
}
ApiError BackendFailed(const std::string& what, Executed executed) {
  const bool not_run = executed == Executed::kNo;
  return {http_status::kBadGateway,
          "backend_failed",
          what,
          not_run ? "send it again" : "it may have run: look before you send it again",
          executed,
          not_run ? std::optional(kSoon) : std::nullopt};
}
ApiError KeyInUse() {
  return {http_status::kConflict,
          "idempotency_key_in_use",
          "a request with this Idempotency-Key is in progress, or ended without an answer",
          "ask again later with the same key for its answer",
          Executed::kUnknown,
          kSoon};
}
ApiError NoClaimMajority() {
  return {http_status::kUnavailable,
          "no_claim_majority",
          "too few of the daemons that remember idempotency keys answered",
          "send it again with the same key",
          Executed::kNo,
          kSoon};
}

}  // namespace errors
}  // namespace moorfold
