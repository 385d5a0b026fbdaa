#include "detour/detour_service.h"

#include <algorithm>
#include <iterator>

namespace moorfold {

namespace {

using std::chrono::milliseconds;

/// Number of random daemons asked at a time. Offers add up over several queries.
constexpr std::size_t kFanOut = 8;
/// Interval at which offers are renewed while requests use them.
constexpr milliseconds kRenewalInterval{500};
/// Interval between queries while no daemon offers a detour.
constexpr milliseconds kRetryInterval{100};
/// Several message exchanges between zones.
constexpr milliseconds kOfferWait{60};
/// Requests of other daemons that one daemon processes at a time. Each holds two connections, and
/// most of a daemon's connections and time have to remain for its own clients.
constexpr std::uint32_t kMaxActive = 256;
constexpr std::size_t kMaxServersPerQuery = 16;

}  // namespace

DetourService::DetourService(boost::asio::io_context& context, DetourCounters& counters,
                             Ports ports)
    : counters_(counters), ports_(std::move(ports)), offer_arrived_(context.get_executor()) {}

void DetourService::Ask(const std::vector<std::string>& server_ids) {
  const auto now = BootClock::now();
  // asked_at_us identifies the query, so it must be unique.
  asked_at_us_ = std::max<std::int64_t>(
      asked_at_us_ + 1,
      std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch()).count());
  asked_at_ = now;
  asked_for_ = server_ids;
  if (asked_for_.size() > kMaxServersPerQuery) asked_for_.resize(kMaxServersPerQuery);
  std::vector<std::string> targets;
  const std::vector<std::string> peers = ports_.peers();
  std::sample(peers.begin(), peers.end(), std::back_inserter(targets), kFanOut, random_);
  unanswered_ = {targets.begin(), targets.end()};
  for (const std::string& target : targets) ports_.ask(target, {asked_at_us_, asked_for_});
}

void DetourService::AskIfDue(const std::vector<std::string>& server_ids) {
  const auto now = BootClock::now();
  const milliseconds interval = peers_.Offers(now) > 0 ? kRenewalInterval : kRetryInterval;
  const bool other_servers =
      !std::includes(asked_for_.begin(), asked_for_.end(), server_ids.begin(), server_ids.end());
  if (now - asked_at_ >= interval || (other_servers && now - asked_at_ >= kRetryInterval))
    Ask(server_ids);
}

Awaitable<std::optional<detour::Target>> DetourService::Find(detour::Need need) {
  std::sort(need.server_ids.begin(), need.server_ids.end());
  AskIfDue(need.server_ids);
  const auto deadline = asked_at_ + kOfferWait;
  std::optional<detour::Target> target = peers_.Choose(need, BootClock::now());
  while (!target && !unanswered_.empty() && BootClock::now() < deadline) {
    co_await offer_arrived_.Wait(deadline);
    target = peers_.Choose(need, BootClock::now());
  }
  ++(target ? counters_.sent : counters_.not_found);
  co_return target;
}

void DetourService::Hear(const DetourQuery& query, const std::string& from) {
  DetourOffer offer;
  offer.asked_at_us = query.asked_at_us;
  offer.active = ports_.active();
  if (ports_.accepts() && offer.active < kMaxActive) {
    offer.port = ports_.port;
    offer.token = grants_.Grant(from, random_(), BootClock::now());
    offer.accepts = offer.token != 0;
    std::copy_if(query.server_ids.begin(), query.server_ids.end(),
                 std::back_inserter(offer.server_ids), ports_.reaches);
  }
  ports_.answer(from, offer);
}

void DetourService::Hear(const DetourOffer& offer, const std::string& from) {
  if (offer.asked_at_us != asked_at_us_ || unanswered_.erase(from) == 0) return;
  peers_.Note(from, offer, BootClock::now());
  offer_arrived_.NotifyAll();
}

}  // namespace moorfold
