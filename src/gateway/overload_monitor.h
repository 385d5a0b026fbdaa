#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "gateway/gateway_metrics.h"
#include "http/http_server.h"
#include "overload/overload_detector.h"

namespace moorfold {

/// Watches whether this daemon has room for more requests, and logs and counts the changes. The
/// event loop is sampled only while connections come in quick succession or something is short.
/// Not thread-safe.
class OverloadMonitor : public HttpServerObserver {
 public:
  using ChangeHandler = std::function<void(overload::Shortage)>;

  OverloadMonitor(boost::asio::io_context& context, overload::Capacity capacity,
                  GatewayMetrics& metrics, EventLog& log);

  /// @param handler called after each change of the shortage.
  void OnChange(ChangeHandler handler) { on_change_ = std::move(handler); }
  overload::Shortage shortage() const { return detector_.shortage(); }
  /// Writes the current estimates to the metrics.
  void UpdateMetrics();

  void ConnectionAccepted() override;
  void ConnectionSettled() override;
  void ConnectionClosed() override;
  void RequestRead(std::size_t bytes) override;
  void ResponseWritten(std::size_t bytes) override;

 private:
  using Time = BootClock::time_point;

  void Update(Time now);
  Awaitable<void> SampleLoop();

  boost::asio::io_context& context_;
  GatewayMetrics& metrics_;
  EventLog& log_;
  overload::OverloadDetector detector_;
  ChangeHandler on_change_;
  bool sampling_ = false;
  std::size_t open_connections_ = 0;
  /// Connections accepted since the beginning of the current interval.
  std::size_t accepted_ = 0;
  Time interval_began_{};
};

}  // namespace moorfold
