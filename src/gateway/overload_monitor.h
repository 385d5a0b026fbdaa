#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "gateway/accept_throttle.h"
#include "gateway/gateway_metrics.h"
#include "http/http_server.h"
#include "overload/overload_detector.h"

namespace moorfold {

/// Watches whether this daemon has room for more requests, logs and counts the changes, and has new
/// connections refused meanwhile. The event loop is sampled only while connections come in quick
/// succession or something is short. Not thread-safe.
class OverloadMonitor : public HttpServerObserver {
 public:
  OverloadMonitor(boost::asio::io_context& context, overload::Capacity capacity,
                  GatewayMetrics& metrics, EventLog& log);

  /// Observes that server and throttles it. Before its start. @param server outlives this object.
  void Watch(HttpServer& server);
  overload::Shortage shortage() const { return detector_.shortage(); }
  /// @return whether something has been short at any moment since then.
  bool ShortSince(BootClock::time_point time) const {
    return shortage() != overload::Shortage::kNone || last_short_at_ >= time;
  }
  /// Writes the current estimates to the metrics.
  void UpdateMetrics();

  /// A connection to a server came up, or did not in time.
  /// @param delay beyond the least that a connection to that server has taken.
  void ConnectTimed(BootClock::duration delay);

  void ConnectionAccepted() override;
  void ConnectionClosed() override;
  void RequestRead(std::size_t bytes, bool first) override;
  void ResponseWritten(std::size_t bytes) override;

 private:
  using Time = BootClock::time_point;

  void Update(Time now);
  /// While connections are short, closes those that make no use of theirs.
  void CloseInactiveConnections();
  bool SamplingNeeded(Time now) const;
  Awaitable<void> SampleLoop();

  boost::asio::io_context& context_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  overload::OverloadDetector detector_;
  std::optional<AcceptThrottle> throttle_;
  HttpServer* server_ = nullptr;  ///< The one that is watched.
  Time last_short_at_{};
  bool sampling_ = false;
  std::size_t open_connections_ = 0;
  /// Connections accepted since the beginning of the current interval.
  std::size_t accepted_ = 0;
  Time interval_began_{};
};

}  // namespace moorfold
