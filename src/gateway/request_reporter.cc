#include "gateway/request_reporter.h"

#include "common/boot_clock.h"
#include "http/http_status.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOpenLogThreshold{400};
constexpr std::size_t kMaxListedIds = 64;  ///< Per log line; the rest follows in the next one.

std::int64_t ToMilliseconds(SteadyTime::duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

std::int64_t MillisecondsSince(SteadyTime time) { return ToMilliseconds(BootClock::now() - time); }

const char* RouteTypeName(const GatewayRequest& request) {
  if (request.route == nullptr) return "none";
  switch (request.route->type) {
    case RouteType::kRepeatable:
      return "repeatable";
    case RouteType::kAtMostOnce:
      return "at_most_once";
    case RouteType::kStream:
      return "stream";
  }
  return "none";
}

/// @return whether the request was sent to a server that was chosen by pool.
bool HasPool(const GatewayRequest& request) {
  return request.sends > 0 && request.work != balancing::RequestWork::kNeutral;
}

std::string JoinFingerprints(const std::vector<Fingerprint>& fingerprints) {
  std::string text;
  for (const Fingerprint& fingerprint : fingerprints)
    text += (text.empty() ? "" : ",") + ToString(fingerprint);
  return text;
}

const char* Name(ResponseIdentity identity) {
  switch (identity) {
    case ResponseIdentity::kNoResponse:
      return "no_response";
    case ResponseIdentity::kOwn:
      return "own";
    case ResponseIdentity::kOther:
      return "other";
    case ResponseIdentity::kAbsent:
      return "absent";
  }
  return "";
}

/// @return each attempt as SERVER/CONNECTION/CARRIED/RESPONSE_ID/STATUS, oldest first.
std::string FormatAttempts(const std::vector<RecordedAttempt>& attempts) {
  std::string text;
  for (const RecordedAttempt& attempt : attempts) {
    if (!text.empty()) text += ",";
    text += attempt.server_id + "/" + std::to_string(attempt.trace.connection) + "/" +
            std::to_string(attempt.trace.carried) + "/" + Name(attempt.trace.response) + "/" +
            std::to_string(attempt.status);
  }
  return text;
}

/// Adds which software version began the stream, which one the latest attempt went to, and what the
/// client or this daemon resumes.
void AddStreamFields(const GatewayRequest& request, EventLine& line) {
  constexpr std::size_t kMaxLoggedBytes = 64;
  if (!request.attempt_version.empty())
    line.Field(LogField::kSoftwareVersion, request.attempt_version);
  if (request.stream_version) line.Field(LogField::kStreamVersion, *request.stream_version);
  if (!request.resumes.empty())
    line.Field(LogField::kResumes, request.resumes.substr(0, kMaxLoggedBytes));
  const std::string& last_event =
      request.last_event_id.empty() ? request.client_last_event : request.last_event_id;
  if (!last_event.empty()) line.Field(LogField::kLastEvent, last_event.substr(0, kMaxLoggedBytes));
}

const char* PoolName(const GatewayRequest& request) { return request.other_pool ? "other" : "own"; }

}  // namespace

void RequestReporter::Count(const GatewayRequest& request, const RequestEnd& end) {
  switch (end.outcome) {
    case RequestOutcome::kAnswered:
      ++metrics_.answered;
      metrics_.time_to_end.Observe(static_cast<double>(MillisecondsSince(request.arrival)));
      break;
    case RequestOutcome::kRefused:
      ++(request.route == nullptr ? metrics_.no_route : metrics_.refused_not_run);
      break;
    case RequestOutcome::kFailed:
      ++metrics_.failed_may_have_run;
      break;
    case RequestOutcome::kBrokenOff:
      ++metrics_.broken_off;
      break;
    case RequestOutcome::kClientLeft:
      ++metrics_.client_left;
      break;
  }
  if (HasPool(request))
    metrics_.requests_by_pool.Add({{"work", Name(request.work)}, {"pool", PoolName(request)}});
  const std::string_view route =
      request.route == nullptr ? "none" : std::string_view(request.route->name);
  metrics_.requests_ended.Add({{"route", route},
                               {"kind", RouteTypeName(request)},
                               {"outcome", Name(end.outcome)},
                               {"reason", Name(end.reason)}});
  if (request.tenant == nullptr) return;
  const std::string& tenant = request.tenant->name;
  metrics_.tenant_requests.Add(
      {{"tenant", tenant}, {"outcome", Name(end.outcome)}, {"reason", Name(end.reason)}});
  if (end.outcome != RequestOutcome::kRefused)
    metrics_.tenant_units.Add({{"tenant", tenant}}, static_cast<std::uint64_t>(request.units));
}

void RequestReporter::ReportEnd(const GatewayRequest& request, const RequestEnd& end) {
  Count(request, end);
  const bool succeeded =
      end.outcome == RequestOutcome::kAnswered && end.status < http_status::kBadRequest;
  const bool routine = succeeded && !request.MissedTarget();
  log_.Write(routine     ? LogRank::kRoutine
             : succeeded ? LogRank::kDecision
                         : LogRank::kFailure,
             MakeEndLine(request, end));
}

bool RequestReporter::TryReportRefusal(const GatewayRequest& request, const RequestEnd& end) {
  if (!log_.WriteThrough(MakeEndLine(request, end))) return false;
  Count(request, end);
  return true;
}

EventLine RequestReporter::MakeEndLine(const GatewayRequest& request, const RequestEnd& end) const {
  EventLine line(LogEvent::kRequestEnd);
  line.Field(LogField::kId, request.id)
      .Field(LogField::kOutcome, Name(end.outcome))
      .Field(LogField::kStatus, end.status)
      .Field(LogField::kReason, Name(end.reason));
  if (!end.problem.empty()) line.Field(LogField::kProblem, end.problem);
  line.Field(LogField::kMs, MillisecondsSince(request.arrival));
  if (request.route != nullptr) {
    line.Field(LogField::kRoute, request.route->name)
        .Field(LogField::kService, request.service)
        .Field(LogField::kModel, ToString(request.model))
        .Field(LogField::kSends, request.sends)
        .Field(LogField::kMayHaveRun, request.may_have_run)
        .Field(LogField::kConfiguration, request.table->configuration().version)
        .Field(LogField::kConfigurationAgeMs, request.configuration_age.count())
        .Field(LogField::kWaitedMs, request.waited.count());
  }
  if (request.work != balancing::RequestWork::kNeutral)
    line.Field(LogField::kWork, Name(request.work));
  if (HasPool(request)) line.Field(LogField::kPool, PoolName(request));
  if (request.tenant != nullptr)
    line.Field(LogField::kTenant, request.tenant->name).Field(LogField::kUnits, request.units);
  if (request.head_sent)
    line.Field(LogField::kFirstMs, ToMilliseconds(request.head_at - request.arrival))
        .Field(LogField::kGapMs, request.longest_gap.count())
        .Field(LogField::kLate, request.MissedTarget() ? "yes" : "no");
  if (!end.server_id.empty())
    line.Field(LogField::kServer, end.server_id)
        .Field(LogField::kExpectedMs, static_cast<std::int64_t>(request.expected_ms));
  AddStreamFields(request, line);
  if (end.trace.connection > 0)
    line.Field(LogField::kConnection, end.trace.connection)
        .Field(LogField::kCarried, end.trace.carried);
  if (request.detour_target) line.Field(LogField::kVia, request.detour_target->peer);
  if (request.detour_origin) line.Field(LogField::kOrigin, request.origin_address);
  const bool succeeded =
      end.outcome == RequestOutcome::kAnswered && end.status < http_status::kBadRequest;
  if (!succeeded && !request.attempts.empty())
    line.Field(LogField::kAttempts, FormatAttempts(request.attempts));
  line.Field(LogField::kStoreAgeMs, MillisecondsSince(view_.servers_current_at));
  return line;
}

void RequestReporter::ReportFailedAttempt(const GatewayRequest& request, const Server& server,
                                          const AttemptResult& result) {
  EventLine line(LogEvent::kAttemptFailed);
  line.Field(LogField::kId, request.id)
      .Field(LogField::kServer, server.record().id)
      .Field(LogField::kSends, request.sends)
      .Field(LogField::kConnection, result.trace.connection)
      .Field(LogField::kCarried, result.trace.carried)
      .Field(LogField::kResponseId, Name(result.trace.response))
      .Field(LogField::kStatus, result.status)
      .Field(LogField::kRan, result.attempt_outcome == AttemptOutcome::kNotRun ? "no" : "maybe")
      .Field(LogField::kProblem, result.problem)
      .Field(LogField::kLink, result.connection_lost ? "ended_by_server" : "open")
      .Field(LogField::kFingerprint, ToString(request.fingerprint))
      .Field(LogField::kInFlight, server.in_flight())
      .Field(LogField::kExpectedMs, static_cast<std::int64_t>(request.expected_ms));
  AddStreamFields(request, line);
  if (result.connection_lost && !request.part_fingerprints.empty())
    line.Field(LogField::kParts, JoinFingerprints(request.part_fingerprints));
  log_.Write(LogRank::kDecision, line);
}

void RequestReporter::ReportRetry(const GatewayRequest& request, const Server& server,
                                  double budget_left) {
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kRetry)
                                     .Field(LogField::kId, request.id)
                                     .Field(LogField::kService, request.service)
                                     .Field(LogField::kServer, server.record().id)
                                     .Field(LogField::kSends, request.sends)
                                     .Field(LogField::kMs, MillisecondsSince(request.arrival))
                                     .Field(LogField::kBudgetLeft, budget_left));
}

void RequestReporter::LogOpenRequests(const std::set<GatewayRequest*>& active, SteadyTime now) {
  std::string ids;
  std::size_t listed = 0;
  for (GatewayRequest* request : active) {
    if (request->logged_open || now - request->arrival < kOpenLogThreshold) continue;
    if (listed++ == kMaxListedIds) break;
    request->logged_open = true;
    ids += (ids.empty() ? "" : ",") + request->id;
  }
  if (ids.empty()) return;
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kRequestsOpen).Field(LogField::kIds, ids));
}

RequestEnd MakeRequestEnd(const GatewayRequest& request, const AttemptResult& result,
                          std::string server_id) {
  RequestEnd end;
  end.status = result.status;
  end.problem = result.problem;
  end.trace = result.trace;
  if (result.attempt_outcome == AttemptOutcome::kAnswered) {
    end.outcome = RequestOutcome::kAnswered;
    if (result.status >= http_status::kBadRequest) end.reason = EndReason::kServerError;
  } else if (result.attempt_outcome == AttemptOutcome::kClientLeft) {
    end.outcome = RequestOutcome::kClientLeft;
    end.reason = request.head_sent   ? EndReason::kLeftInAnswer
                 : request.sends > 0 ? EndReason::kLeftAtServer
                                     : EndReason::kLeftWaiting;
  } else {
    end.outcome = RequestOutcome::kBrokenOff;
    end.reason = EndReason::kStreamBroke;
  }
  end.server_id = std::move(server_id);
  return end;
}

}  // namespace moorfold
