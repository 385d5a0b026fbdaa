#include "gateway/accept_throttle.h"

namespace moorfold {

namespace {

/// A daemon that is ready takes a connection at least this often, however short it is: to its load
/// balancer, one that refuses everything is broken.
constexpr std::chrono::milliseconds kMaxPause{1'000};

}  // namespace

std::size_t AcceptThrottle::ConnectionAccepted(overload::Shortage shortage) {
  awaits_connection_ = false;
  return Update(shortage);
}

std::size_t AcceptThrottle::Update(overload::Shortage shortage) {
  if (shortage == overload::Shortage::kNone) {
    TryResume();
    return 0;
  }
  if (!paused_ && !awaits_connection_) return Pause();
  if (!paused_ || BootClock::now() - paused_at_ < kMaxPause) return 0;
  TryResume();
  awaits_connection_ = !paused_;
  return 0;
}

std::size_t AcceptThrottle::Pause() {
  paused_ = true;
  paused_at_ = BootClock::now();
  ++metrics_.accept_pauses;
  const std::size_t closed = server_.PauseAccepting();
  metrics_.connections_closed_unread += closed;
  return closed;
}

void AcceptThrottle::TryResume() {
  if (!paused_ || !server_.ResumeAccepting()) return;
  paused_ = false;
  const auto paused_for =
      std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - paused_at_);
  metrics_.accept_paused_ms += static_cast<std::uint64_t>(paused_for.count());
}

}  // namespace moorfold
