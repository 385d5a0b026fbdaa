#include "server_limits/permit_service.h"

#include <algorithm>

#include "server_limits/limit_shares.h"

namespace moorfold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Pause before a leader that did not respond is asked again.
constexpr milliseconds kUnresponsiveLeaderPause{500};
/// Pause between two attempts to take a fallback permit.
constexpr milliseconds kFallbackRetryPause{100};

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

}  // namespace

PermitService::PermitService(boost::asio::io_context& context, std::string self,
                             PermitCounters& counters, Ports ports)
    : self_(std::move(self)),
      counters_(counters),
      ports_(std::move(ports)),
      fallback_permits_(std::hash<std::string>{}(self_)),
      response_arrived_(context.get_executor()) {}

PermitRequest PermitService::MakeRequest(const Server& server, microseconds max_wait) {
  const auto now = BootClock::now();
  // asked_at_us identifies the request, so it must be unique.
  last_asked_us_ = std::max(last_asked_us_ + 1, Microseconds(now.time_since_epoch()));
  const ServerAdvisoryState& advisory_state = server.advisory_state();
  return {last_asked_us_,
          server.record().id,
          server.record().incarnation,
          advisory_state.limit_per_second.has_value(),
          advisory_state.limit_per_second.value_or(0),
          Microseconds(now - advisory_state.limit_requested_at),
          max_wait.count()};
}

Awaitable<std::optional<PermitResponse>> PermitService::RequestPermit(
    const PermitRequest& request) {
  ++counters_.asked;
  if (ports_.role() == limits::AllocatorRole::kLeader) {
    ++counters_.answered;
    co_return allocator_.Allocate(request, limits::AllocatorRole::kLeader, BootClock::now());
  }
  const std::string leader = ports_.leader();
  const auto asked_at = BootClock::now();
  if (leader.empty() || leader == self_ || asked_at < leader_unresponsive_until_)
    co_return std::nullopt;
  const std::int64_t id = request.asked_at_us;
  pending_[id].reset();
  ports_.ask(leader, request);
  const Time deadline = asked_at + limits::kResponseTimeout;
  while (!pending_[id] && BootClock::now() < deadline) co_await response_arrived_.Wait(deadline);
  std::optional<PermitResponse> response = pending_[id];
  pending_.erase(id);
  const bool allocated = response && response->verdict != PermitVerdict::kNotAllocator;
  if (!response) ++counters_.unanswered;
  if (allocated) co_return response;
  leader_unresponsive_until_ = BootClock::now() + kUnresponsiveLeaderPause;
  co_return std::nullopt;
}

bool PermitService::TryFallbackPermit(Server& server) {
  const auto now = BootClock::now();
  const double limit = server.advisory_state().limit_per_second.value_or(0);
  if (fallback_permits_.TryAcquire(server.record().id, limit, ports_.daemons(), now)) {
    ++counters_.fallback_permits;
    return true;
  }
  ++counters_.denied;
  server.MarkAtLimit(now + kFallbackRetryPause);
  return false;
}

Awaitable<bool> PermitService::Acquire(ServerPtr server, milliseconds max_wait) {
  if (!server->advisory_state().limit_per_second) co_return true;
  const PermitRequest request = MakeRequest(*server, max_wait);
  const std::optional<PermitResponse> response = co_await RequestPermit(request);
  if (!response) co_return TryFallbackPermit(*server);
  const auto now = BootClock::now();
  if (response->verdict == PermitVerdict::kUnlimited) {
    server->ClearLimit(Time(microseconds(request.asked_at_us)));
    co_return true;
  }
  const bool granted = response->verdict == PermitVerdict::kGranted;
  const microseconds shortest_wait =
      granted ? microseconds(0) : microseconds(limits::kMinRetryDelay);
  const microseconds longest_wait =
      granted ? microseconds(max_wait) : microseconds(limits::kMaxRetryDelay);
  const microseconds wait =
      std::clamp(microseconds(response->wait_us), shortest_wait, longest_wait);
  if (!granted) {
    ++counters_.denied;
    server->MarkAtLimit(now + wait);
    co_return false;
  }
  ++counters_.granted;
  if (wait.count() > 0) co_await Sleep(wait);
  co_return true;
}

void PermitService::ReportLimitRemoved(const Server& server) {
  constexpr microseconds kNoPermitWanted{-1};
  const PermitRequest notice = MakeRequest(server, kNoPermitWanted);
  if (ports_.role() == limits::AllocatorRole::kLeader) {
    allocator_.Allocate(notice, limits::AllocatorRole::kLeader, BootClock::now());
    return;
  }
  const std::string leader = ports_.leader();
  if (!leader.empty() && leader != self_) ports_.ask(leader, notice);
}

void PermitService::Hear(const PermitRequest& request, const std::string& from) {
  ++counters_.answered;
  const PermitResponse response = allocator_.Allocate(request, ports_.role(), BootClock::now());
  if (request.max_wait_us >= 0) ports_.answer(from, response);
}

void PermitService::Hear(const PermitResponse& response, const std::string& from) {
  const auto pending = pending_.find(response.asked_at_us);
  if (pending == pending_.end() || from != ports_.leader()) {
    ++counters_.dropped;
    return;
  }
  pending->second = response;
  response_arrived_.NotifyAll();
}

}  // namespace moorfold
