#include "gateway/quarantine_filter.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "http/http_status.h"
#include "ports/fleet_protocol.h"

namespace moorfold {

using quarantine::QuarantineState;

bool QuarantineFilter::HasCase(const GatewayRequest& request) const {
  const quarantine::CrashTracker& tracker = quarantine_.tracker();
  return tracker.HasCase(request.fingerprint) ||
         std::any_of(request.part_fingerprints.begin(), request.part_fingerprints.end(),
                     [&](const Fingerprint& part) { return tracker.HasCase(part); });
}

QuarantineState QuarantineFilter::StateFor(const GatewayRequest& request,
                                           const std::string& version) const {
  const QuarantineState as_whole = quarantine_.StateFor(request.fingerprint, version);
  const QuarantineState by_parts =
      quarantine_.tracker().StateOfParts(request.part_fingerprints, version);
  return std::max(as_whole, by_parts);
}

std::map<std::string, QuarantineState> QuarantineFilter::StatesByVersion(
    const GatewayRequest& request) const {
  std::map<std::string, QuarantineState> states;
  for (const ServerPtr& server : view_.servers.Of(request.service)) {
    const std::string& version = server->record().software_version;
    const auto [state, added] = states.try_emplace(version, QuarantineState::kClear);
    if (added) state->second = StateFor(request, version);
  }
  return states;
}

std::vector<Fingerprint> QuarantineFilter::QuarantinedParts(const GatewayRequest& request,
                                                            const std::string& version) const {
  std::vector<Fingerprint> quarantined;
  for (const Fingerprint& part : request.part_fingerprints)
    if (quarantine_.tracker().IsQuarantined(part, version)) quarantined.push_back(part);
  return quarantined;
}

bool QuarantineFilter::MaySend(const GatewayRequest& request, const Server& server) const {
  if (!HasCase(request)) return true;
  const std::string& version = server.record().software_version;
  const QuarantineState state = StateFor(request, version);
  if (state == QuarantineState::kUnproven)
    return quarantine_.MayTry(QuarantinedParts(request, version));
  return state != QuarantineState::kQuarantined;
}

bool QuarantineFilter::IsQuarantined(const GatewayRequest& request) const {
  if (!HasCase(request)) return false;
  const std::map<std::string, QuarantineState> states = StatesByVersion(request);
  return !states.empty() && std::all_of(states.begin(), states.end(), [](const auto& state) {
    return state.second == QuarantineState::kQuarantined;
  });
}

/// A suspected request is sent to one server at a time, and not to a server that is running another
/// suspected request: if the server crashes, the cause is unambiguous; if not, the request is
/// cleared.
bool QuarantineFilter::ExcludeServers(const GatewayRequest& request,
                                      ServerChoiceRequest& choice_request) const {
  if (quarantine_.HasAttemptInFlight(request.fingerprint)) return false;
  bool suspected = false;
  const std::map<std::string, QuarantineState> states = StatesByVersion(request);
  for (const ServerPtr& server : view_.servers.Of(request.service)) {
    const std::string& version = server->record().software_version;
    switch (states.at(version)) {
      case QuarantineState::kClear:
        break;
      case QuarantineState::kSuspect:
        suspected = true;
        break;
      case QuarantineState::kUndecided:
        choice_request.excluded.push_back(server->record().id);
        break;
      case QuarantineState::kUnproven:
        suspected = true;
        if (!quarantine_.MayTry(QuarantinedParts(request, version)))
          choice_request.excluded.push_back(server->record().id);
        break;
      case QuarantineState::kQuarantined:
        choice_request.excluded_versions.push_back(version);
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
