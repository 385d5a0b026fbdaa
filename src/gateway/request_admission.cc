#include "gateway/request_admission.h"

#include <algorithm>
#include <charconv>

#include "common/boot_clock.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr double kRetryAfterNotReadyS = 0.3;

std::optional<milliseconds> ParseMilliseconds(std::string_view text) {
  std::int64_t number = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || read.ec != std::errc() || number < 0) return std::nullopt;
  return milliseconds(number);
}

}  // namespace

std::optional<Refusal> RequestAdmission::Resolve(const HttpRequest& http, GatewayRequest& request) {
  const HeaderNames& names = protocol_.headers();
  request.arrival = BootClock::now();
  request.end = request.arrival;
  request.id = std::string(FindHeader(http.headers, names.request_id));
  request.table = view_.routes;
  if (!request.table)
    return Refusal{http_status::kUnavailable, EndReason::kNoConfiguration,
                   "this daemon has just started; come back", false, kRetryAfterNotReadyS};
  request.route = request.table->Find(FindHeader(http.headers, "Host"), http.target);
  if (request.route == nullptr) {
    if (view_.ConfigurationCurrent(request.arrival))
      return Refusal{http_status::kNotFound, EndReason::kNoRoute,
                     "no route of the configuration in force matches host and path", false, 0};
    return Refusal{http_status::kUnavailable, EndReason::kConfigurationMayBeOld,
                   "this daemon cannot reach its store; come back", false, kRetryAfterNotReadyS};
  }
  const milliseconds forever = std::chrono::hours(1);
  const milliseconds stated =
      ParseMilliseconds(FindHeader(http.headers, names.deadline)).value_or(forever);
  const milliseconds timeout =
      request.route->timeout.count() > 0 ? request.route->timeout : forever;
  request.end = request.arrival + std::min(stated, timeout);
  request.service = splits_.Next(*request.route);
  request.model = ParseModelReference(FindHeader(http.headers, names.model));
  request.parts = ParsePromptParts(FindHeader(http.headers, names.prompt_parts));
  const ServiceDescription* service = request.table->configuration().FindService(request.service);
  if (service == nullptr || !service->engine) request.model = {};
  return std::nullopt;
}

}  // namespace moorfold
