#include "gateway/quarantine_filter.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "http/http_status.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

bool QuarantineFilter::HasCase(const GatewayRequest& request) const {
  const quarantine::CrashTracker& tracker = quarantine_.tracker();
  return tracker.HasCase(request.fingerprint) ||
         std::any_of(request.part_fingerprints.begin(), request.part_fingerprints.end(),
                     [&](const Fingerprint& part) { return tracker.HasCase(part); });
}

bool QuarantineFilter::IsQuarantinedFor(const GatewayRequest& request,
                                        const std::string& version) const {
  const auto quarantined = [&](const Fingerprint& fingerprint) {
    return quarantine_.StateFor(fingerprint, version) == quarantine::QuarantineState::kQuarantined;
  };
  return quarantined(request.fingerprint) ||
         std::any_of(request.part_fingerprints.begin(), request.part_fingerprints.end(),
                     quarantined);
}

bool QuarantineFilter::IsQuarantined(const GatewayRequest& request) const {
  if (!HasCase(request)) return false;
  const std::vector<ServerPtr>& servers = view_.servers.Of(request.service);
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(), [&](const ServerPtr& server) {
           return IsQuarantinedFor(request, server->record().software_version);
         });
}

/// A suspected request is sent to one server at a time, and not to a server that is running another
/// suspected request: if the server crashes, the cause is unambiguous; if not, the request is
/// cleared.
bool QuarantineFilter::ExcludeServers(const GatewayRequest& request,
                                      ServerChoiceRequest& choice_request) const {
  if (quarantine_.HasAttemptInFlight(request.fingerprint)) return false;
  bool suspected = false;
  for (const ServerPtr& server : view_.servers.Of(request.service)) {
    const std::string& version = server->record().software_version;
    if (IsQuarantinedFor(request, version)) {
      choice_request.excluded_versions.push_back(version);
      continue;
    }
    switch (quarantine_.StateFor(request.fingerprint, version)) {
      case quarantine::QuarantineState::kUndecided:
        choice_request.excluded.push_back(server->record().id);
        break;
      case quarantine::QuarantineState::kSuspect:
        suspected = true;
        break;
      case quarantine::QuarantineState::kClear:
      case quarantine::QuarantineState::kQuarantined:
        break;
    }
  }
  if (!suspected) return true;
  for (std::string& server : quarantine_.ServersWithSuspects())
    choice_request.excluded.push_back(std::move(server));
  return true;
}

void QuarantineFilter::RecordAttempt(const GatewayRequest& request, const Server& server,
                                     const AttemptResult& result, SteadyTime sent_at) {
  const ServerRecord& record = server.record();
  const bool sent = result.attempt_outcome != AttemptOutcome::kNotRun &&
                    result.attempt_outcome != AttemptOutcome::kClientLeft;
  if (result.connection_lost && sent) {
    quarantine_.Note(quarantine::ConnectionClosed{request.fingerprint, request.service, record.id,
                                                  record.software_version,
                                                  request.part_fingerprints});
    return;
  }
  const bool replaced = result.status == kMisdirectedStatus && server.gone();
  if (result.connection_lost || replaced) {
    if (!quarantine_.tracker().AwaitsConfirmation(record.id)) return;
    if (replaced)
      quarantine_.Note(quarantine::ServerEnded{record.id});
    else
      quarantine_.NoteRefusedConnection(record.id);
    return;
  }
  if (result.status == 0) return;
  if (quarantine_.tracker().AwaitsConfirmation(record.id))
    quarantine_.Note(quarantine::ServerResponded{record.id, sent_at});
  // An error response does not clear the request: the server may send it before it has started the
  // request.
  if (result.attempt_outcome == AttemptOutcome::kAnswered &&
      result.status < http_status::kBadRequest)
    quarantine_.Note(quarantine::RequestSucceeded{request.fingerprint, record.software_version,
                                                  request.part_fingerprints});
}

}  // namespace moorfold
