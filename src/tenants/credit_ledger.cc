#include "tenants/credit_ledger.h"

#include <algorithm>
#include <cmath>

namespace moorfold::quota {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Share of the overshoot allowance that is used for the depth of the credit. It makes up for
/// credit that expires on its way to a pool. The rest covers daemons whose count of the fleet is
/// out of date, and requests that hold their credit for a moment.
constexpr double kOvershootShareForDepth = 0.3;
/// Surplus credit is deposited at the pools four times in a credit lifetime, so that most of it
/// arrives with most of its lifetime left. The interval has a minimum, to limit wake-ups on a weak
/// machine, and a maximum, so that a small tenant with a long credit lifetime does not wait for the
/// pool.
constexpr int kDepositsPerLifetime = 4;
constexpr milliseconds kMaxDepositInterval{500};
constexpr milliseconds kMinDepositInterval{60};
/// A daemon's share of the rate accrues in parts of this length. Each part has its own age; as one
/// part, all of the credit would be as old as its oldest unit.
constexpr milliseconds kAccrualInterval{125};
/// Maximum parts per tenant in a message: half a second in parts of 125 ms.
constexpr std::size_t kMaxPartsPerTenant = 4;
/// A pool that leaves a question unanswered for this long is skipped. Answers take milliseconds,
/// and a tenth of a second more on a machine whose processor time is exhausted.
constexpr milliseconds kPoolTimeout{250};
/// Credit with less of its lifetime left is not granted: it would expire in transit, and the
/// request that needs it would be refused. Without this minimum, 28% of the requests of a small
/// tenant below its limit are refused in credit_model_test.
constexpr milliseconds kMinLifetimeLeftToGrant{100};
/// How long granted credit is reserved for its request. A request takes it at once, unless it has
/// ended in the meantime.
constexpr milliseconds kReservationTime{50};
/// Maximum requests queued at one pool for one tenant's credit.
constexpr std::size_t kMaxQueueLength = 4'096;
/// Tolerance for rounding: the floating-point sum of many small parts may be too low.
constexpr double kRoundingTolerance = 1e-6;
/// A request that costs at most this share of the limit's depth is queued before all others. Under
/// a large limit a chat request counts as small, under a small limit only a plain call does.
constexpr double kSmallRequestShare = 0.005;
/// Maximum open questions per pool; answers to older ones are dropped.
constexpr std::size_t kMaxOpenQuestions = 1'024;
/// A sender is forgotten after this time without a question: it may have restarted with a clock
/// that starts again from zero.
constexpr milliseconds kSenderExpiry{10'000};
/// Interval at which a silent pool is asked again.
constexpr milliseconds kSilentPoolRetryInterval{1'000};
/// Time constant of the moving average of a tenant's use at this daemon.
constexpr double kUseTimeConstantS = 2;
/// Credit for this many seconds of use is kept back from deposits if it covers several requests. A
/// daemon with few requests of a tenant would otherwise keep credit that never suffices for one.
constexpr double kKeepBackS = 0.5;

std::int64_t Microseconds(BootClock::duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

double Seconds(BootClock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

BootClock::duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(seconds));
}

std::uint64_t Mix(std::uint64_t hash, const std::string& text) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  for (const unsigned char byte : text) hash = (hash ^ byte) * kPrime;
  return hash;
}

/// Returns the same weight at every daemon. The host with the highest weight for a tenant pools its
/// credit (rendezvous hashing): when a host fails, only its tenants move.
std::uint64_t Weight(const std::string& tenant, const std::string& host) {
  constexpr std::uint64_t kBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  constexpr unsigned kShift = 32;
  const std::uint64_t hash = Mix(Mix(kBasis, tenant), host) * kMultiplier;
  return hash ^ (hash >> kShift);
}

std::vector<CreditPart> Pack(std::vector<Credit> credits, Time now) {
  std::vector<CreditPart> parts;
  for (const Credit& credit : Merge(std::move(credits), kMaxPartsPerTenant))
    parts.push_back({credit.units, Microseconds(now - credit.created_at)});
  return parts;
}

/// @param transit The longest time that the parts can have been in transit.
void Unpack(const std::vector<CreditPart>& parts, BootClock::duration transit, Time now,
            CreditBalance& balance) {
  for (const CreditPart& part : parts) {
    if (!std::isfinite(part.units) || part.age_us < 0) continue;
    balance.Add({now - microseconds(part.age_us) - transit, part.units});
  }
}

}  // namespace

BootClock::duration CreditLedger::LifetimeOf(const QuotaLimit& limit) const {
  const double window_s = Seconds(settings_.window);
  const double allowed =
      settings_.overshoot * (limit.rate_per_second * window_s + limit.burst) + settings_.slack;
  const double depth = limit.burst + kOvershootShareForDepth * allowed;
  return FromSeconds(std::min(window_s, depth / limit.rate_per_second));
}

void CreditLedger::SetLimits(const std::vector<Tenant>& tenants, Time now) {
  std::map<std::string, Account> accounts;
  for (const Tenant& tenant : tenants) {
    if (!tenant.limit.Limited()) continue;
    Account account;
    const auto known = accounts_.find(tenant.name);
    if (known != accounts_.end() && known->second.limit.unit == tenant.limit.unit) {
      account = std::move(known->second);
      Accrue(account, now);
    }
    const double before = account.limit.rate_per_second;
    if (account.accrued_until == Time{}) account.accrued_until = now;
    account.limit = tenant.limit;
    account.lifetime = LifetimeOf(tenant.limit);
    if (before > tenant.limit.rate_per_second) {
      // Scales accrued credit to what the new limit would have accrued.
      const double share = tenant.limit.rate_per_second / before;
      for (const Credit& credit : account.balance.TakeUpTo(account.balance.Units()))
        account.balance.Add({credit.created_at, credit.units * share});
    }
    accounts.emplace(tenant.name, std::move(account));
  }
  accounts_ = std::move(accounts);
}

void CreditLedger::SetSharing(CreditSharing sharing) {
  std::erase_if(pool_states_, [&](const auto& host) {
    return std::find(sharing.hosts.begin(), sharing.hosts.end(), host.first) == sharing.hosts.end();
  });
  sharing_ = std::move(sharing);
}

void CreditLedger::Accrue(Account& account, Time now) {
  if (sharing_.daemons > 0) {
    const double units_per_second = account.limit.rate_per_second / sharing_.daemons;
    Time from = std::max(account.accrued_until, now - account.lifetime);
    while (from < now) {
      const Time to = std::min<Time>(now, from + kAccrualInterval);
      account.balance.Add({from, units_per_second * Seconds(to - from)});
      from = to;
    }
  }
  account.accrued_until = now;
  account.balance.DropBefore(now - account.lifetime);
}

void CreditLedger::RecordUse(Account& account, double units, Time now) const {
  const double share = std::exp(-Seconds(now - account.used_at) / kUseTimeConstantS);
  account.units_per_second = account.units_per_second * share + units / kUseTimeConstantS;
  account.requests_per_second = account.requests_per_second * share + 1 / kUseTimeConstantS;
  account.used_at = now;
}

double CreditLedger::Account::AvailableUnits(Time now) {
  std::erase_if(reserved, [&](const Reserved& reservation) { return reservation.until < now; });
  double free = balance.Units();
  for (const Reserved& reservation : reserved) free -= reservation.units;
  return free;
}

TakeResult CreditLedger::Take(const std::string& tenant, double units, std::int64_t granted,
                              Time now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return {TakeStatus::kUnlimited, now};
  Account& account = found->second;
  if (units > account.limit.rate_per_second * Seconds(account.lifetime))
    return {TakeStatus::kAboveCapacity, now};
  Accrue(account, now);
  const std::size_t reserved_for_it = std::erase_if(
      account.reserved,
      [&](const Reserved& reserved) { return granted != 0 && reserved.asked_at_us == granted; });
  const bool may_take = reserved_for_it > 0 || account.queue.empty();
  if (units > 0 && (!may_take || account.AvailableUnits(now) + kRoundingTolerance < units))
    return {TakeStatus::kInsufficient, now};
  const std::optional<Time> created_at = account.balance.Take(units);
  if (!created_at && units > 0) return {TakeStatus::kInsufficient, now};
  RecordUse(account, units, now);
  return {TakeStatus::kGranted, created_at.value_or(now)};
}

void CreditLedger::Refund(const std::string& tenant, Credit credit, Time now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return;
  found->second.balance.Add(credit);
  Accrue(found->second, now);
}

BootClock::duration CreditLedger::CreditLifetime(const std::string& tenant) const {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? BootClock::duration{} : found->second.lifetime;
}

double CreditLedger::Units(const std::string& tenant, Time now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return 0;
  Accrue(found->second, now);
  return found->second.balance.Units();
}

bool CreditLedger::IsUnresponsive(const std::string& host, Time now) const {
  const auto found = pool_states_.find(host);
  if (found == pool_states_.end() || found->second.unanswered_since == Time{}) return false;
  return now - found->second.unanswered_since > kPoolTimeout;
}

std::optional<std::string> CreditLedger::PoolFor(const std::string& tenant, Time now) const {
  const std::string* best = nullptr;
  for (const std::string& host : sharing_.hosts) {
    if (host != self_ && IsUnresponsive(host, now)) continue;
    if (best == nullptr || Weight(tenant, host) > Weight(tenant, *best)) best = &host;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

CreditQuestion CreditLedger::NewQuestion(const std::string& host, Time now) {
  PoolState& pool = pool_states_[host];
  if (pool.unanswered_since == Time{}) pool.unanswered_since = now;
  pool.asked_at = now;
  CreditQuestion question;
  // The time of asking is also the question's unique id.
  last_asked_us_ = std::max(last_asked_us_ + 1, Microseconds(now.time_since_epoch()));
  question.asked_at_us = last_asked_us_;
  pool.open.insert(last_asked_us_);
  if (pool.open.size() > kMaxOpenQuestions) pool.open.erase(pool.open.begin());
  question.last_answer_stamp_us = pool.stamp_us;
  if (pool.stamp_us != 0) question.since_last_answer_us = Microseconds(now - pool.last_answer_at);
  return question;
}

AddressedQuestion CreditLedger::Ask(const CreditDemand& demand, Time now) {
  const std::string host = PoolFor(demand.tenant, now).value();
  AddressedQuestion asked{host, NewQuestion(host, now)};
  asked.question.requests.push_back(
      {demand.tenant, demand.units, demand.urgency, Microseconds(demand.patience), {}});
  return asked;
}

std::vector<Credit> CreditLedger::Surplus(Account& account, Time now) {
  constexpr double kSeveral = 3;
  const bool covers_several_requests = account.requests_per_second * kKeepBackS >= kSeveral;
  const double keep = covers_several_requests ? account.units_per_second * kKeepBackS : 0;
  return account.balance.TakeUpTo(account.AvailableUnits(now) - keep);
}

BootClock::duration CreditLedger::DepositInterval() const {
  BootClock::duration shortest = kMaxDepositInterval;
  for (const auto& [tenant, account] : accounts_)
    shortest = std::min(shortest, account.lifetime / kDepositsPerLifetime);
  return std::max<BootClock::duration>(shortest, kMinDepositInterval);
}

std::vector<AddressedQuestion> CreditLedger::Tick(Time now) {
  std::map<std::string, CreditQuestion> questions;
  if (now < deposit_due_) return {};
  deposit_due_ = now + DepositInterval();
  for (auto& [tenant, account] : accounts_) {
    const std::optional<std::string> host = PoolFor(tenant, now);
    if (!host || *host == self_) continue;
    Accrue(account, now);
    auto question = questions.find(*host);
    if (question == questions.end())
      question = questions.emplace(*host, NewQuestion(*host, now)).first;
    // Without a stamp the pool could not determine the age of the credit.
    if (question->second.last_answer_stamp_us == 0) continue;
    std::vector<CreditPart> parts = Pack(Surplus(account, now), now);
    if (!parts.empty()) question->second.requests.push_back({tenant, 0, 0, 0, std::move(parts)});
  }
  for (const std::string& host : sharing_.hosts)
    if (host != self_ && Limits() && IsUnresponsive(host, now) &&
        now - pool_states_[host].asked_at > kSilentPoolRetryInterval)
      questions.try_emplace(host, NewQuestion(host, now));
  std::vector<AddressedQuestion> addressed;
  for (auto& [host, question] : questions) addressed.push_back({host, std::move(question)});
  return addressed;
}

bool CreditLedger::TryGrant(double units, Account& account, Time now,
                            std::vector<CreditPart>& parts) {
  const BootClock::duration least_left = std::min<BootClock::duration>(
      kMinLifetimeLeftToGrant, account.lifetime / kDepositsPerLifetime);
  account.balance.DropBefore(now - account.lifetime + least_left);
  if (account.AvailableUnits(now) < units) return false;
  parts = Pack(account.balance.TakeUpTo(units), now);
  return true;
}

/// Requests that have to wait are queued by urgency, then by arrival, and are answered when enough
/// credit has accrued. If each retried by itself, a flood would send many questions a second per
/// request, and credit would expire in parts too small for any request. In credit_model_test, 0.07
/// to 0.29 of the limit is delivered without the queue, and all of it with the queue. A request
/// whose patience is shorter than the wait is refused at once. A request that costs a negligible
/// share of the limit goes first.
CreditGrant CreditLedger::GrantOrQueue(const CreditRequest& request, const CreditQuestion& question,
                                       const std::string& from, Account& account, Time now) {
  CreditGrant grant;
  grant.tenant = request.tenant;
  const double rate = account.limit.rate_per_second;
  const bool small = request.needed <= kSmallRequestShare * rate * Seconds(account.lifetime);
  const std::uint32_t rank = small ? 0 : request.urgency + 1;
  const auto insert_position = std::upper_bound(
      account.queue.begin(), account.queue.end(), rank,
      [](std::uint32_t ranked, const Waiting& waiting) { return ranked < waiting.rank; });
  const bool first = insert_position == account.queue.begin();
  if (first && TryGrant(request.needed, account, now, grant.parts)) return grant;
  double shortfall = request.needed - account.AvailableUnits(now);
  for (auto queued_ahead = account.queue.begin(); queued_ahead != insert_position; ++queued_ahead)
    shortfall += queued_ahead->units;
  const BootClock::duration wait = FromSeconds(std::max(0.0, shortfall) / rate);
  const BootClock::duration patience = microseconds(request.patience_us);
  grant.available_in_us = std::max<std::int64_t>(1, Microseconds(wait));
  grant.queued = wait <= patience && account.queue.size() < kMaxQueueLength;
  if (grant.queued)
    account.queue.insert(insert_position,
                         {from, question.asked_at_us, request.needed, rank, now, now + patience});
  return grant;
}

void CreditLedger::ServeQueue(const std::string& tenant, Account& account, Time now,
                              std::vector<AddressedAnswer>& answers) {
  while (!account.queue.empty()) {
    const Waiting& first = account.queue.front();
    CreditGrant grant;
    grant.tenant = tenant;
    if (first.deadline >= now) {
      if (!TryGrant(first.units, account, now, grant.parts)) return;
      answers.push_back({first.from,
                         {first.asked_at_us,
                          Microseconds(now.time_since_epoch()),
                          Microseconds(now - first.enqueued_at),
                          {std::move(grant)}}});
    }
    account.queue.pop_front();
  }
}

std::vector<AddressedAnswer> CreditLedger::Serve(Time now) {
  std::vector<AddressedAnswer> answers;
  for (auto& [tenant, account] : accounts_) {
    if (account.queue.empty()) continue;
    Accrue(account, now);
    ServeQueue(tenant, account, now, answers);
  }
  return answers;
}

bool CreditLedger::Queued() const {
  return std::any_of(accounts_.begin(), accounts_.end(),
                     [](const auto& account) { return !account.second.queue.empty(); });
}

bool CreditLedger::RecordSender(const std::string& from, std::int64_t asked_at_us, Time now) {
  std::erase_if(senders_,
                [&](const auto& sender) { return now - sender.second.seen > kSenderExpiry; });
  Sender& sender = senders_[from];
  sender.seen = now;
  if (asked_at_us <= sender.asked_at_us) return false;
  sender.asked_at_us = asked_at_us;
  return true;
}

std::vector<AddressedAnswer> CreditLedger::Answer(const CreditQuestion& question,
                                                  const std::string& from, Time now) {
  CreditAnswer answer;
  answer.asked_at_us = question.asked_at_us;
  answer.stamp_us = Microseconds(now.time_since_epoch());
  // Upper bound: the time from the arrival of this daemon's last answer at the sender, which is
  // later than its sending, to now.
  const microseconds transit{answer.stamp_us - question.last_answer_stamp_us -
                             question.since_last_answer_us};
  const bool fresh = RecordSender(from, question.asked_at_us, now);
  const bool age_is_known = fresh && question.last_answer_stamp_us != 0 && transit.count() >= 0;
  std::vector<AddressedAnswer> served;
  for (const CreditRequest& request : question.requests) {
    const auto found = accounts_.find(request.tenant);
    if (found == accounts_.end())
      continue;  // One of the two daemons does not have the newest limits.
    Account& account = found->second;
    if (age_is_known) Unpack(request.deposit, transit, now, account.balance);
    Accrue(account, now);
    ServeQueue(request.tenant, account, now, served);
    if (request.needed > 0)
      answer.grants.push_back(GrantOrQueue(request, question, from, account, now));
  }
  served.push_back({from, std::move(answer)});
  return served;
}

bool CreditLedger::TakeAnswer(const CreditAnswer& answer, const std::string& from, Time now) {
  const auto pool = pool_states_.find(from);
  const bool more_comes = std::any_of(answer.grants.begin(), answer.grants.end(),
                                      [](const CreditGrant& grant) { return grant.queued; });
  if (pool == pool_states_.end() || !pool->second.open.contains(answer.asked_at_us)) return false;
  if (!more_comes) pool->second.open.erase(answer.asked_at_us);
  pool->second.stamp_us = answer.stamp_us;
  pool->second.last_answer_at = now;
  pool->second.unanswered_since = Time{};
  const Time asked_at{microseconds(answer.asked_at_us)};
  // The whole round trip, without the time that the question was held at the pool.
  const auto transit = now - asked_at - microseconds(std::max<std::int64_t>(0, answer.held_us));
  for (const CreditGrant& grant : answer.grants) {
    const auto found = accounts_.find(grant.tenant);
    if (found == accounts_.end() || grant.parts.empty() || transit < BootClock::duration{})
      continue;
    double units = 0;
    for (const CreditPart& part : grant.parts) units += part.units;
    Unpack(grant.parts, transit, now, found->second.balance);
    found->second.reserved.push_back({answer.asked_at_us, units, now + kReservationTime});
    found->second.balance.DropBefore(now - found->second.lifetime);
  }
  return true;
}

}  // namespace moorfold::quota
