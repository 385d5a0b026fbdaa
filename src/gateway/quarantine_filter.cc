#include "gateway/quarantine_filter.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "http/http_status.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

bool QuarantineFilter::IsQuarantined(const GatewayRequest& request) const {
  if (!quarantine_.book().Known(request.fingerprint)) return false;
  const std::vector<ServerPtr>& servers = view_.servers.Of(request.service);
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(), [&](const ServerPtr& server) {
           return quarantine_.At(request.fingerprint, server->record().software_version) ==
                  quarantine::Standing::kQuarantined;
         });
}

/// A suspected request is tried at one server at a time, and not at a server that has another
/// suspect: if the server crashes, the cause is unambiguous; if not, the request is cleared.
bool QuarantineFilter::ExcludeServers(const GatewayRequest& request,
                                      ServerChoiceRequest& choice_request) const {
  if (quarantine_.OnTrial(request.fingerprint)) return false;
  bool suspected = false;
  for (const ServerPtr& server : view_.servers.Of(request.service)) {
    const std::string& version = server->record().software_version;
    switch (quarantine_.At(request.fingerprint, version)) {
      case quarantine::Standing::kQuarantined:
        choice_request.excluded_versions.push_back(version);
        break;
      case quarantine::Standing::kUndecided:
        choice_request.excluded.push_back(server->record().id);
        break;
      case quarantine::Standing::kSuspect:
        suspected = true;
        break;
      case quarantine::Standing::kClear:
        break;
    }
  }
  if (!suspected) return true;
  for (std::string& server : quarantine_.ServersOnTrial())
    choice_request.excluded.push_back(std::move(server));
  return true;
}

void QuarantineFilter::RecordAttempt(const GatewayRequest& request, const Server& server,
                                     const AttemptResult& result, SteadyTime sent_at) {
  const ServerRecord& record = server.record();
  const bool sent = result.attempt_outcome != AttemptOutcome::kNotRun &&
                    result.attempt_outcome != AttemptOutcome::kClientLeft;
  if (result.connection_lost && sent) {
    quarantine_.Note(quarantine::LinkEnded{request.fingerprint, request.service, record.id,
                                           record.software_version});
    return;
  }
  const bool replaced = result.status == kMisdirectedStatus && server.gone();
  if (result.connection_lost || replaced) {
    if (quarantine_.book().Waiting(record.id)) quarantine_.Note(quarantine::ServerEnded{record.id});
    return;
  }
  if (result.status == 0) return;
  if (quarantine_.book().Waiting(record.id))
    quarantine_.Note(quarantine::ServerAnswered{record.id, sent_at});
  // An error response proves nothing: the server may send it before it has started the request.
  if (result.attempt_outcome == AttemptOutcome::kAnswered &&
      result.status < http_status::kBadRequest)
    quarantine_.Note(quarantine::Served{request.fingerprint, record.software_version});
}

}  // namespace moorfold
