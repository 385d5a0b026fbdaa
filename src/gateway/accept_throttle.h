#pragma once

#include "common/boot_clock.h"
#include "gateway/gateway_metrics.h"
#include "http/http_server.h"
#include "overload/overload_detector.h"

namespace moorfold {

/// Refuses new connections while this daemon has no room for their requests: a client whose
/// connection is refused knows that nothing was read and may try another daemon at once. Not
/// thread-safe.
class AcceptThrottle {
 public:
  /// @param server outlives this object.
  AcceptThrottle(HttpServer& server, GatewayMetrics& metrics)
      : server_(server), metrics_(metrics) {}

  /// Call it after each connection that was accepted.
  /// @return number of further connections that were closed unread.
  std::size_t ConnectionAccepted(overload::Shortage shortage);
  /// Call it periodically while something is short or connections are refused.
  /// @return number of connections that were closed unread.
  std::size_t Update(overload::Shortage shortage);
  /// @return whether new connections are refused.
  bool paused() const { return paused_; }

 private:
  std::size_t Pause();
  void TryResume();

  HttpServer& server_;
  GatewayMetrics& metrics_;
  bool paused_ = false;
  bool awaits_connection_ = false;  ///< Accepts one connection in spite of a shortage.
  BootClock::time_point paused_at_{};
};

}  // namespace moorfold
