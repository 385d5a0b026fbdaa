#include "retry_budget/retry_budget_service.h"

#include <algorithm>

#include "common/boot_clock.h"

namespace moorfold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Longest wait for the leader's answer: several round trips between zones.
constexpr milliseconds kAnswerTimeout{150};
/// The pause after a query without a grant doubles up to the longest, so that a large fleet whose
/// budget is used up does not overload the leader.
constexpr milliseconds kShortestPause{250};
constexpr milliseconds kLongestPause{4'000};
constexpr std::uint32_t kMaxWanted = 1'000;  ///< A larger number in a message is not sound.

milliseconds PauseAfter(std::uint32_t queries_in_vain) {
  milliseconds pause = kShortestPause;
  for (std::uint32_t query = 1; query < queries_in_vain && pause < kLongestPause; ++query)
    pause *= 2;
  return std::min(pause, kLongestPause);
}

std::int64_t Microseconds(BootClock::time_point time) {
  return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

}  // namespace

RetryBudgetService::RetryBudgetService(boost::asio::io_context& context,
                                       RetryBudgetSettings settings, RetryBudgetCounters& counters,
                                       Ports ports)
    : settings_(settings),
      counters_(counters),
      ports_(std::move(ports)),
      allocator_(settings.window, settings.min_retries),
      answered_(context.get_executor()) {}

RetryBudgetService::Share& RetryBudgetService::ShareOf(const std::string& service) {
  const auto found = shares_.find(service);
  if (found != shares_.end()) return found->second;
  return shares_.emplace(service, Share(settings_)).first->second;
}

void RetryBudgetService::RecordRequest(const std::string& service, BootClock::time_point arrived) {
  ShareOf(service).earned.RecordRequest(arrived);
}

double RetryBudgetService::Available(Share& share, Time now) {
  while (!share.grants.empty() && share.grants.front() <= now) share.grants.pop_front();
  return static_cast<double>(share.earned.Available(now) + share.grants.size());
}

double RetryBudgetService::Available(const std::string& service) {
  return Available(ShareOf(service), BootClock::now());
}

std::map<std::string, double> RetryBudgetService::AvailableByService() {
  std::map<std::string, double> available;
  for (auto& [service, share] : shares_) available[service] = Available(share, BootClock::now());
  return available;
}

bool RetryBudgetService::MayObtain(const std::string& service) {
  const auto now = BootClock::now();
  Share& share = ShareOf(service);
  if (Available(share, now) >= 1) return true;
  return now >= share.ask_from && (ports_.leads() || !ports_.leader().empty());
}

bool RetryBudgetService::TryTake(const std::string& service) {
  const auto now = BootClock::now();
  Share& share = ShareOf(service);
  Available(share, now);
  if (!share.grants.empty()) {
    share.grants.pop_front();
    ++counters_.granted_used;
    return true;
  }
  if (!share.earned.TryTake(now)) return false;
  ++counters_.earned_used;
  return true;
}

void RetryBudgetService::TakeGrant(Share& share, std::int64_t asked_at_us, std::uint32_t granted) {
  const auto now = BootClock::now();
  const Time expires = Time(microseconds(asked_at_us)) + retry::kGrantLifetime;
  share.grants.insert(share.grants.end(), std::min(granted, kMaxWanted), expires);
  share.queries_in_vain = granted > 0 ? 0 : share.queries_in_vain + 1;
  if (granted == 0) share.ask_from = now + PauseAfter(share.queries_in_vain);
}

std::uint32_t RetryBudgetService::Allocate(const std::string& service, std::uint32_t wanted) {
  if (!ports_.leads() || !ports_.service_exists(service)) return 0;
  allocator_.Lead(BootClock::now());
  const std::uint32_t granted =
      allocator_.Grant(service, std::min(wanted, kMaxWanted), BootClock::now());
  counters_.grants_given += granted;
  return granted;
}

void RetryBudgetService::Ask(const std::string& service, Share& share) {
  const auto now = BootClock::now();
  // The time identifies the query, so it must be unique.
  last_asked_us_ = std::max(last_asked_us_ + 1, Microseconds(now));
  ++counters_.asked;
  if (ports_.leads()) {
    TakeGrant(share, last_asked_us_, Allocate(service, share.waiting));
    return;
  }
  share.open_query_us = last_asked_us_;
  ports_.ask(ports_.leader(), {last_asked_us_, service, share.waiting});
}

Awaitable<bool> RetryBudgetService::Obtain(const std::string& service) {
  Share& share = ShareOf(service);
  if (Available(share, BootClock::now()) >= 1) co_return true;
  if (!MayObtain(service)) co_return false;
  ++share.waiting;
  const auto deadline = BootClock::now() + kAnswerTimeout;
  if (share.open_query_us == 0) Ask(service, share);
  while (Available(share, BootClock::now()) < 1 && share.open_query_us != 0 &&
         BootClock::now() < deadline)
    co_await answered_.Wait(deadline);
  --share.waiting;
  const bool obtained = Available(share, BootClock::now()) >= 1;
  const bool unanswered = share.open_query_us != 0 && BootClock::now() >= deadline;
  if (unanswered && !obtained) {
    ++counters_.unanswered;
    share.open_query_us = 0;
    TakeGrant(share, 0, 0);
    answered_.NotifyAll();
  }
  co_return obtained;
}

void RetryBudgetService::Update() {
  if (!ports_.leads()) return;
  allocator_.Lead(BootClock::now());
  allocator_.RemoveIdle(BootClock::now());
}

void RetryBudgetService::Hear(const RetryGrantRequest& request, const std::string& from) {
  ports_.answer(from, {request.asked_at_us, Allocate(request.service, request.wanted)});
}

void RetryBudgetService::Hear(const RetryGrantResponse& response, const std::string& from) {
  if (from != ports_.leader()) return;
  for (auto& [service, share] : shares_) {
    if (share.open_query_us != response.asked_at_us) continue;
    share.open_query_us = 0;
    TakeGrant(share, response.asked_at_us, response.granted);
    answered_.NotifyAll();
    return;
  }
}

}  // namespace moorfold
