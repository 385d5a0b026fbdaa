#include "gateway/server_statements.h"

#include "common/boot_clock.h"

namespace moorfold {

void ServerStatements::Record(Server& server, const ServerResponse& answer) {
  const bool limited_before = server.advisory_state().limit_per_second.has_value();
  const ServerAdvisory statement = protocol_.ReadStatement(answer.headers, answer.status);
  if (!server.ApplyStatement(statement, answer.sent_at, BootClock::now(), answer.from_run)) return;
  ++metrics_.server_statements;
  const ServerAdvisoryState& advisory_state = server.advisory_state();
  EventLine line(LogEvent::kServerStates);
  line.Field(LogField::kServer, server.record().id)
      .Field(LogField::kLeaving, advisory_state.leaving ? "yes" : "no")
      .Field(LogField::kPauseMs, statement.pause.count());
  if (advisory_state.limit_per_second)
    line.Field(LogField::kLimit, *advisory_state.limit_per_second);
  log_.Write(LogRank::kDecision, line);
  if (limited_before && !advisory_state.limit_per_second && limit_ended_handler_)
    limit_ended_handler_(server);
}

}  // namespace moorfold
