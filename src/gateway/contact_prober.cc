#include "gateway/contact_prober.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "http/upstream_connection.h"

namespace moorfold {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kProbeInterval{250};
constexpr milliseconds kConnectTimeout{300};
/// Enough to decide a doubt in one round.
constexpr std::size_t kProbesInDoubt = 4;
constexpr std::size_t kProbesInIsolation = 2;

}  // namespace

void ContactProber::Start() {
  if (running_) return;
  running_ = true;
  boost::asio::co_spawn(context_, Run(), boost::asio::detached);
}

Awaitable<void> ContactProber::Run() {
  while (monitor_.state() != detour::ContactState::kReachable) {
    ProbeNext(monitor_.isolated() ? kProbesInIsolation : kProbesInDoubt);
    co_await Sleep(kProbeInterval);
    monitor_.Update();
  }
  running_ = false;
}

void ContactProber::ProbeNext(std::size_t count) {
  const ServerDirectory::ById& servers = view_.servers.all();
  auto next = servers.upper_bound(last_probed_);
  for (std::size_t probed = 0; probed < std::min(count, servers.size()); ++probed, ++next) {
    if (next == servers.end()) next = servers.begin();
    last_probed_ = next->first;
    if (next->second->IsLeaving()) continue;
    boost::asio::co_spawn(context_, Probe(next->first, next->second->record().endpoint),
                          boost::asio::detached);
  }
}

Awaitable<void> ContactProber::Probe(std::string server_id, Endpoint endpoint) {
  UpstreamConnection connection(context_, endpoint);
  const auto began = BootClock::now();
  try {
    co_await connection.Connect(began + kConnectTimeout);
  } catch (const HttpError& error) {
    if (error.peer_ended() || !monitor_.IsOwnDelay(began)) monitor_.RecordFailure(server_id);
    co_return;
  }
  monitor_.RecordResponse();
}

}  // namespace moorfold
