#include "gateway/request_admission.h"

#include <algorithm>
#include <charconv>

#include "common/boot_clock.h"
#include "http/http_status.h"
#include "tenants/presented_key.h"
#include "tenants/token_usage.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr double kNotReadyRetryAfterS = 0.3;

std::optional<milliseconds> ParseMilliseconds(std::string_view text) {
  std::int64_t number = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || read.ec != std::errc() || number < 0) return std::nullopt;
  return milliseconds(number);
}

}  // namespace

Refusal RequestAdmission::UnlessConfigurationStale(Refusal refusal) const {
  if (view_.ConfigurationCurrent(BootClock::now())) return refusal;
  return {http_status::kUnavailable, EndReason::kConfigurationMayBeOld,
          "this daemon cannot reach its store; come back", false, kNotReadyRetryAfterS};
}

std::optional<Refusal> RequestAdmission::FindRoute(const HttpRequest& http,
                                                   GatewayRequest& request) {
  request.table = view_.routes;
  request.configuration_age =
      std::chrono::duration_cast<milliseconds>(BootClock::now() - view_.configuration_current_at);
  if (!request.table)
    return Refusal{http_status::kUnavailable, EndReason::kNoConfiguration,
                   "this daemon has just started; come back", false, kNotReadyRetryAfterS};
  request.route = request.table->Find(FindHeader(http.headers, "Host"), http.target);
  if (request.route != nullptr) return std::nullopt;
  return UnlessConfigurationStale({http_status::kNotFound, EndReason::kNoRoute,
                                   "no route of the configuration in force matches host and path",
                                   false, 0});
}

std::optional<Refusal> RequestAdmission::IdentifyTenant(const HttpRequest& http,
                                                        GatewayRequest& request) const {
  request.priority = request.route->priority;
  const TenantDirectory& tenants = request.table->tenants();
  request.strip_credentials = !tenants.empty();
  if (tenants.empty() || request.route->open) return std::nullopt;
  const PresentedKey presented_key = ParsePresentedKey(http.headers);
  if (presented_key.state == KeyState::kUnreadable)
    return Refusal{http_status::kUnauthorized, EndReason::kKeyUnreadable,
                   "send one header 'Authorization: Bearer KEY'", false, 0};
  if (presented_key.state == KeyState::kNone)
    return UnlessConfigurationStale({http_status::kUnauthorized, EndReason::kKeyMissing,
                                     "send 'Authorization: Bearer KEY'; keys in URLs are not read",
                                     false, 0});
  const Tenant* tenant = tenants.Find(presented_key.digest);
  if (tenant == nullptr)
    return UnlessConfigurationStale({http_status::kUnauthorized, EndReason::kKeyUnknown,
                                     "no tenant has this key; ask the operator for one", false, 0});
  request.tenant = tenant;
  request.key = presented_key.digest;
  request.priority = tenant->priority.value_or(request.route->priority);
  const std::optional<double> units =
      CountQuotaUnits(tenant->limit, http.headers, protocol_.headers().token_usage);
  if (!units)
    return Refusal{http_status::kBadRequest, EndReason::kTokensUnreadable,
                   "state the tokens once, as IN,OUT", false, 0};
  request.units = *units;
  return std::nullopt;
}

std::optional<Refusal> RequestAdmission::RecheckKey(const GatewayRequest& request) const {
  if (request.tenant == nullptr || view_.routes == request.table) return std::nullopt;
  const TenantDirectory& tenants = view_.routes->tenants();
  if (tenants.empty()) return std::nullopt;
  const Tenant* tenant = tenants.Find(request.key);
  if (tenant != nullptr && tenant->name == request.tenant->name) return std::nullopt;
  return Refusal{http_status::kUnauthorized, EndReason::kKeyGone,
                 "the key was taken away; ask the operator for another", false, 0};
}

std::optional<Refusal> RequestAdmission::Admit(const HttpRequest& http, GatewayRequest& request) {
  const HeaderNames& names = protocol_.headers();
  request.expires_at = request.arrival;
  request.id = std::string(FindHeader(http.headers, names.request_id));
  if (std::optional<Refusal> refusal = FindRoute(http, request)) return refusal;
  if (std::optional<Refusal> refusal = IdentifyTenant(http, request)) return refusal;
  const milliseconds no_limit = std::chrono::hours(1);
  const milliseconds stated =
      ParseMilliseconds(FindHeader(http.headers, names.deadline)).value_or(no_limit);
  const milliseconds timeout =
      request.route->timeout.count() > 0 ? request.route->timeout : no_limit;
  request.expires_at = request.arrival + std::min(stated, timeout);
  request.client_last_event = std::string(FindHeader(http.headers, names.last_event));
  request.resumes = std::string(FindHeader(http.headers, names.resumes));
  request.named_model = ParseModelReference(FindHeader(http.headers, names.model));
  request.parts = ParsePromptParts(FindHeader(http.headers, names.prompt_parts));
  AssignService(request, service_selector_.Next(*request.route));
  return std::nullopt;
}

void RequestAdmission::AssignService(GatewayRequest& request, std::string service) {
  request.service = std::move(service);
  const ServiceDescription* described = request.table->configuration().FindService(request.service);
  const bool holds_models = described != nullptr && described->engine;
  request.model = holds_models ? request.named_model : ModelReference{};
}

}  // namespace moorfold
