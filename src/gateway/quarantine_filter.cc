#include "gateway/quarantine_filter.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "http/http_status.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

bool QuarantineFilter::IsQuarantined(const GatewayRequest& request) const {
  if (!quarantine_.tracker().HasCase(request.fingerprint)) return false;
  const std::vector<ServerPtr>& servers = view_.servers.Of(request.service);
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(), [&](const ServerPtr& server) {
           return quarantine_.StateFor(request.fingerprint, server->record().software_version) ==
                  quarantine::QuarantineState::kQuarantined;
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
    switch (quarantine_.StateFor(request.fingerprint, version)) {
      case quarantine::QuarantineState::kQuarantined:
        choice_request.excluded_versions.push_back(version);
        break;
      case quarantine::QuarantineState::kUndecided:
        choice_request.excluded.push_back(server->record().id);
        break;
      case quarantine::QuarantineState::kSuspect:
        suspected = true;
        break;
      case quarantine::QuarantineState::kClear:
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
                                                  record.software_version});
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
    quarantine_.Note(quarantine::RequestSucceeded{request.fingerprint, record.software_version});
}

}  // namespace moorfold
