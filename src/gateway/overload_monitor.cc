#include "gateway/overload_monitor.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/async_signal.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kSampleInterval{10};
/// The event loop is sampled while at least so many connections are accepted per interval.
constexpr std::size_t kAcceptsPerInterval = 4;
constexpr milliseconds kAcceptInterval{100};

std::int64_t Milliseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

}  // namespace

OverloadMonitor::OverloadMonitor(boost::asio::io_context& context, overload::Capacity capacity,
                                 GatewayMetrics& metrics, EventLog& log)
    : context_(context), metrics_(metrics), log_(log), detector_(capacity) {}

void OverloadMonitor::Watch(HttpServer& server) {
  throttle_.emplace(server, metrics_);
  server.SetObserver(this);
  server_ = &server;
}

void OverloadMonitor::UpdateMetrics() {
  metrics_.link_delay_ms = Milliseconds(detector_.LinkDelay(BootClock::now()));
  metrics_.loop_late_share = detector_.loop_late_share();
  metrics_.overloaded = shortage() == overload::Shortage::kNone ? 0 : 1;
}

void OverloadMonitor::ConnectTimed(BootClock::duration delay) {
  detector_.ConnectTimed(delay, BootClock::now());
}

void OverloadMonitor::ConnectionAccepted() {
  const Time now = BootClock::now();
  if (now - interval_began_ > kAcceptInterval) {
    interval_began_ = now;
    accepted_ = 0;
  }
  ++accepted_;
  detector_.ConnectionAccepted(now);
  detector_.SetOpenConnections(++open_connections_);
  Update(now);
  if (throttle_) detector_.ConnectionsClosedUnread(throttle_->ConnectionAccepted(shortage()), now);
  const bool many = accepted_ >= kAcceptsPerInterval;
  if (sampling_ || (!many && shortage() == overload::Shortage::kNone)) return;
  sampling_ = true;
  boost::asio::co_spawn(context_, SampleLoop(), boost::asio::detached);
}

void OverloadMonitor::ConnectionClosed() { detector_.SetOpenConnections(--open_connections_); }

void OverloadMonitor::RequestRead(std::size_t bytes, bool first) {
  detector_.RequestRead(bytes, first, BootClock::now());
}

void OverloadMonitor::ResponseWritten(std::size_t bytes) {
  detector_.ResponseWritten(bytes, BootClock::now());
}

void OverloadMonitor::Update(Time now) {
  const overload::Shortage before = detector_.shortage();
  const overload::Shortage after = detector_.Update(now);
  const std::int64_t link_delay = Milliseconds(detector_.LinkDelay(now));
  metrics_.longest_link_delay_ms = std::max(metrics_.longest_link_delay_ms, link_delay);
  if (after != overload::Shortage::kNone) last_short_at_ = now;
  if (after == before) return;
  if (after != overload::Shortage::kNone)
    metrics_.overloads.Add({{"shortage", overload::Name(after)}});
  log_.Write(LogRank::kDecision, EventLine(LogEvent::kOverload)
                                     .Field(LogField::kState, overload::Name(after))
                                     .Field(LogField::kBefore, overload::Name(before))
                                     .Field(LogField::kLinkDelayMs, link_delay)
                                     .Field(LogField::kLoopLateShare, detector_.loop_late_share())
                                     .Field(LogField::kConnections, open_connections_));
}

void OverloadMonitor::CloseInactiveConnections() {
  if (server_ == nullptr || shortage() != overload::Shortage::kConnections) return;
  server_->CloseInactive(detector_.SurplusConnections());
}

bool OverloadMonitor::SamplingNeeded(Time now) const {
  const bool refuses = throttle_ && throttle_->paused();
  return refuses || shortage() != overload::Shortage::kNone ||
         now - interval_began_ < kAcceptInterval;
}

Awaitable<void> OverloadMonitor::SampleLoop() {
  Time before = BootClock::now();
  while (SamplingNeeded(before)) {
    const Time due = before + kSampleInterval;
    co_await Sleep(kSampleInterval);
    const Time now = BootClock::now();
    detector_.LoopSampled(std::max(BootClock::duration{}, now - due), now - before);
    Update(now);
    CloseInactiveConnections();
    if (throttle_) detector_.ConnectionsClosedUnread(throttle_->Update(shortage()), now);
    before = now;
  }
  sampling_ = false;
}

}  // namespace moorfold
