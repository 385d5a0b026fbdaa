#include "gateway/contact_monitor.h"

#include "common/boot_clock.h"

namespace moorfold {

void ContactMonitor::RecordResponse() {
  contact_.RecordResponse();
  responded_at_ = BootClock::now();
  if (state_ != detour::ContactState::kReachable) Update();
}

void ContactMonitor::RecordFailure(const std::string& server_id) {
  contact_.RecordFailure(server_id, BootClock::now());
  Update();
}

void ContactMonitor::Update() {
  const auto now = BootClock::now();
  const std::size_t failing = contact_.FailingServers(now);
  const detour::ContactState state = contact_.State(view_.servers.all().size(), now);
  metrics_.servers_failing = static_cast<std::int64_t>(failing);
  metrics_.isolated = state == detour::ContactState::kIsolated ? 1 : 0;
  if (state == state_) return;
  const detour::ContactState before = std::exchange(state_, state);
  if (state == detour::ContactState::kIsolated) ++metrics_.isolations;
  const bool matters =
      state == detour::ContactState::kIsolated || before == detour::ContactState::kIsolated;
  log_.Write(matters ? LogRank::kFailure : LogRank::kDecision,
             EventLine(LogEvent::kServerContact)
                 .Field(LogField::kState, detour::Name(state))
                 .Field(LogField::kBefore, detour::Name(before))
                 .Field(LogField::kServers, failing));
  if (on_change_) on_change_(state);
}

}  // namespace moorfold
