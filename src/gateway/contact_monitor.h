#pragma once

#include <functional>
#include <string>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "detour/server_contact.h"
#include "gateway/fleet_view.h"
#include "gateway/gateway_metrics.h"
#include "gateway/overload_monitor.h"

namespace moorfold {

/// Keeps track of this daemon's contact with the servers, and logs and counts its changes. Not
/// thread-safe.
class ContactMonitor {
 public:
  using ChangeHandler = std::function<void(detour::ContactState)>;

  ContactMonitor(const FleetView& view, const OverloadMonitor& overload, GatewayMetrics& metrics,
                 EventLog& log)
      : view_(view), overload_(overload), metrics_(metrics), log_(log) {}

  /// Records a response of a server, or a connection that it accepted.
  void RecordResponse();
  /// Records that a server could not be reached or gave no response.
  void RecordFailure(const std::string& server_id);
  /// Lets failures expire. Call it periodically.
  void Update();

  /// @return whether the time limit of an attempt that began then says nothing about its server:
  /// this daemon was short of something itself, and other servers have responded since.
  bool IsOwnDelay(BootClock::time_point began) const {
    return overload_.ShortSince(began) && RespondedSince(began);
  }
  /// @return whether any server has responded since then.
  bool RespondedSince(BootClock::time_point time) const { return responded_at_ >= time; }

  detour::ContactState state() const { return state_; }
  bool isolated() const { return state_ == detour::ContactState::kIsolated; }
  /// @param handler called after each change of the state.
  void OnChange(ChangeHandler handler) { on_change_ = std::move(handler); }

 private:
  const FleetView& view_;
  const OverloadMonitor& overload_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  detour::ServerContact contact_;
  detour::ContactState state_ = detour::ContactState::kReachable;
  BootClock::time_point responded_at_{};
  ChangeHandler on_change_;
};

}  // namespace moorfold
