#include "gateway/suspect_guard.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "http/http_status.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

bool SuspectGuard::Quarantined(const GatewayRequest& request) const {
  if (!quarantine_.tracker().HasCase(request.fingerprint)) return false;
  const std::vector<ServerPtr>& servers = view_.servers.Of(request.service);
  return !servers.empty() &&
         std::all_of(servers.begin(), servers.end(), [&](const ServerPtr& server) {
           return quarantine_.StateFor(request.fingerprint, server->record().software_version) ==
                  quarantine::QuarantineState::kQuarantined;
         });
}

/// A suspected request is tried at one server at a time, and not where another suspect is: if the
/// server ends, its cause is known, and if not, the request is cleared.
bool SuspectGuard::Limit(const GatewayRequest& request, ChoiceRequest& wanted) const {
  if (quarantine_.HasAttemptInFlight(request.fingerprint)) return false;
  bool suspected = false;
  for (const ServerPtr& server : view_.servers.Of(request.service)) {
    const std::string& version = server->record().software_version;
    switch (quarantine_.StateFor(request.fingerprint, version)) {
      case quarantine::QuarantineState::kQuarantined:
        wanted.excluded_versions.push_back(version);
        break;
      case quarantine::QuarantineState::kUndecided:
        wanted.excluded.push_back(server->record().id);
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
    wanted.excluded.push_back(std::move(server));
  return true;
}

void SuspectGuard::NoteEvidence(const GatewayRequest& request, const Server& server,
                                const ForwardResult& result, SteadyTime sent_at) {
  const ServerRecord& record = server.record();
  const bool sent = result.end != ForwardEnd::kNotRun && result.end != ForwardEnd::kClientLeft;
  if (result.link_ended && sent) {
    quarantine_.Note(quarantine::ConnectionClosed{request.fingerprint, request.service, record.id,
                                                  record.software_version});
    return;
  }
  const bool other_there = result.status == kMisdirectedStatus && server.gone();
  if (result.link_ended || other_there) {
    if (quarantine_.tracker().AwaitsConfirmation(record.id))
      quarantine_.Note(quarantine::ServerEnded{record.id});
    return;
  }
  if (result.status == 0) return;
  if (quarantine_.tracker().AwaitsConfirmation(record.id))
    quarantine_.Note(quarantine::ServerResponded{record.id, sent_at});
  // A failure that a server answers may come before it has begun the request: no proof.
  if (result.end == ForwardEnd::kAnswered && result.status < http_status::kBadRequest)
    quarantine_.Note(quarantine::RequestSucceeded{request.fingerprint, record.software_version});
}

}  // namespace moorfold
