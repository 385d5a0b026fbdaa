#include "tenants/credit_ledger.h"

#include <algorithm>
#include <cmath>

namespace moorfold::quota {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Of what the promise allows beyond rate and burst: the depth that credit gets of it. It makes up
/// for credit that dies on its way to a pool. The rest covers daemons whose count of the fleet is
/// behind, and requests that hold their credit for a moment.
constexpr double kOvershootShareForDepth = 0.3;
/// What is not needed goes to the pools so often: a quarter of a life, so that most of it arrives
/// young; not more often than a weak machine may be woken for it, nor so seldom that a small tenant
/// with a long life waits for the pool.
constexpr int kDepositsPerLifetime = 4;
constexpr milliseconds kMaxDepositInterval{500};
constexpr milliseconds kMinDepositInterval{60};
/// Its share of the rate is made in parts of that length, so that not all of it is as old as the
/// oldest.
constexpr milliseconds kAccrualInterval{125};
/// Parts of one tenant in a message: half a second in parts of an eighth.
constexpr std::size_t kMaxPartsPerTenant = 4;
/// A pool that leaves a question open for so long is passed over: answers take milliseconds, and a
/// tenth of a second more where a machine's processor time is spent.
constexpr milliseconds kPoolTimeout{250};
/// Credit that has less of its life left is not granted: it would die on its way, and the request
/// for which it was the last part would be refused (28% of a small tenant's requests below its
/// limit, in credit_model_test).
constexpr milliseconds kMinLifetimeLeftToGrant{100};
/// How long what was granted to a request is kept for it. It takes it at once, unless it is gone.
constexpr milliseconds kReservationTime{50};
/// Requests that wait at one pool for one tenant's credit.
constexpr std::size_t kMaxQueueLength = 4'096;
/// Sums of many small parts may come out lower than their true sum.
constexpr double kRoundingTolerance = 1e-6;
/// Of a limit's depth: a request that counts no more comes before all others. Large limits
/// take a chat for small, small ones only a plain call.
constexpr double kSmallRequestShare = 0.005;
/// Questions to one pool whose answers are still taken.
constexpr std::size_t kMaxOpenQuestions = 1'024;
/// A daemon that has not asked for so long may come back with a clock that began anew.
constexpr milliseconds kSenderExpiry{10'000};
/// A silent pool is asked again after that.
constexpr milliseconds kSilentPoolRetryInterval{1'000};
/// Of use here: the time constant of its average.
constexpr double kUseTimeConstantS = 2;
/// Credit is kept for what requests here will need until the next deposit, where that is several
/// requests. A daemon with few requests of a tenant would keep credit that is never enough.
constexpr double kReserveForS = 0.5;

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

/// The same at every daemon. The host with the most for a tenant pools its credit (rendezvous
/// hashing): when one goes, only its tenants move.
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

/// @param transit the longest that the parts can have been on their way.
void Unpack(const std::vector<CreditPart>& parts, BootClock::duration transit, Time now,
            CreditBalance& pool) {
  for (const CreditPart& part : parts) {
    if (!std::isfinite(part.units) || part.age_us < 0) continue;
    pool.Add({now - microseconds(part.age_us) - transit, part.units});
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
      // What the old limit made goes on as if the new one had made it.
      const double share = tenant.limit.rate_per_second / before;
      for (const Credit& credit : account.pool.TakeUpTo(account.pool.Units()))
        account.pool.Add({credit.created_at, credit.units * share});
    }
    accounts.emplace(tenant.name, std::move(account));
  }
  accounts_ = std::move(accounts);
}

void CreditLedger::SetSharing(CreditSharing sharing) {
  std::erase_if(hosts_, [&](const auto& host) {
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
      account.pool.Add({from, units_per_second * Seconds(to - from)});
      from = to;
    }
  }
  account.accrued_until = now;
  account.pool.DropBefore(now - account.lifetime);
}

void CreditLedger::NoteUse(Account& account, double units, Time now) const {
  const double share = std::exp(-Seconds(now - account.used_at) / kUseTimeConstantS);
  account.units_per_second = account.units_per_second * share + units / kUseTimeConstantS;
  account.requests_per_second = account.requests_per_second * share + 1 / kUseTimeConstantS;
  account.used_at = now;
}

double CreditLedger::Account::Free(Time now) {
  std::erase_if(reserved, [&](const Reserved& each) { return each.until < now; });
  double free = pool.Units();
  for (const Reserved& each : reserved) free -= each.units;
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
  const bool own_turn = reserved_for_it > 0 || account.queue.empty();
  if (units > 0 && (!own_turn || account.Free(now) + kRoundingTolerance < units))
    return {TakeStatus::kInsufficient, now};
  const std::optional<Time> created_at = account.pool.Take(units);
  if (!created_at && units > 0) return {TakeStatus::kInsufficient, now};
  NoteUse(account, units, now);
  return {TakeStatus::kGranted, created_at.value_or(now)};
}

void CreditLedger::Refund(const std::string& tenant, Credit credit, Time now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return;
  found->second.pool.Add(credit);
  Accrue(found->second, now);
}

BootClock::duration CreditLedger::Life(const std::string& tenant) const {
  const auto found = accounts_.find(tenant);
  return found == accounts_.end() ? BootClock::duration{} : found->second.lifetime;
}

double CreditLedger::Units(const std::string& tenant, Time now) {
  const auto found = accounts_.find(tenant);
  if (found == accounts_.end()) return 0;
  Accrue(found->second, now);
  return found->second.pool.Units();
}

bool CreditLedger::Silent(const std::string& host, Time now) const {
  const auto found = hosts_.find(host);
  if (found == hosts_.end() || found->second.unanswered_since == Time{}) return false;
  return now - found->second.unanswered_since > kPoolTimeout;
}

std::optional<std::string> CreditLedger::Pool(const std::string& tenant, Time now) const {
  const std::string* best = nullptr;
  for (const std::string& host : sharing_.hosts) {
    if (host != self_ && Silent(host, now)) continue;
    if (best == nullptr || Weight(tenant, host) > Weight(tenant, *best)) best = &host;
  }
  if (best == nullptr) return std::nullopt;
  return *best;
}

CreditQuestion CreditLedger::Begin(const std::string& host, Time now) {
  Host& known = hosts_[host];
  if (known.unanswered_since == Time{}) known.unanswered_since = now;
  known.asked_at = now;
  CreditQuestion question;
  // Questions are told apart by it.
  last_asked_us_ = std::max(last_asked_us_ + 1, Microseconds(now.time_since_epoch()));
  question.asked_at_us = last_asked_us_;
  known.open.insert(last_asked_us_);
  if (known.open.size() > kMaxOpenQuestions) known.open.erase(known.open.begin());
  question.last_answer_stamp_us = known.stamp_us;
  if (known.stamp_us != 0) question.since_last_answer_us = Microseconds(now - known.heard_at);
  return question;
}

AddressedQuestion CreditLedger::Ask(const CreditDemand& demand, Time now) {
  const std::string host = Pool(demand.tenant, now).value();
  AddressedQuestion asked{host, Begin(host, now)};
  asked.question.requests.push_back(
      {demand.tenant, demand.units, demand.urgency, Microseconds(demand.patience), {}});
  return asked;
}

std::vector<Credit> CreditLedger::Surplus(Account& account, Time now) {
  constexpr double kSeveral = 3;
  const bool several = account.requests_per_second * kReserveForS >= kSeveral;
  const double keep = several ? account.units_per_second * kReserveForS : 0;
  return account.pool.TakeUpTo(account.Free(now) - keep);
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
    const std::optional<std::string> host = Pool(tenant, now);
    if (!host || *host == self_) continue;
    Accrue(account, now);
    auto question = questions.find(*host);
    if (question == questions.end()) question = questions.emplace(*host, Begin(*host, now)).first;
    // Without a stamp the pool could not tell how old the credit is.
    if (question->second.last_answer_stamp_us == 0) continue;
    std::vector<CreditPart> parts = Pack(Surplus(account, now), now);
    if (!parts.empty()) question->second.requests.push_back({tenant, 0, 0, 0, std::move(parts)});
  }
  for (const std::string& host : sharing_.hosts)
    if (host != self_ && Limits() && Silent(host, now) &&
        now - hosts_[host].asked_at > kSilentPoolRetryInterval)
      questions.try_emplace(host, Begin(host, now));
  std::vector<AddressedQuestion> addressed;
  for (auto& [host, question] : questions) addressed.push_back({host, std::move(question)});
  return addressed;
}

bool CreditLedger::TryGrant(double units, Account& account, Time now,
                            std::vector<CreditPart>& parts) {
  const BootClock::duration least_left = std::min<BootClock::duration>(
      kMinLifetimeLeftToGrant, account.lifetime / kDepositsPerLifetime);
  account.pool.DropBefore(now - account.lifetime + least_left);
  if (account.Free(now) < units) return false;
  parts = Pack(account.pool.TakeUpTo(units), now);
  return true;
}

/// Requests that have to wait get what is made next, the most urgent first and then in the order in
/// which they came, and are told when it is there. Were each to try again for itself, a flood would
/// ask many times a second for each of its requests, and what is made would die in parts too small
/// for any (0.07 to 0.29 of the limit was delivered, in
/// credit_model_test, where the queue delivers all of it). Whoever would not wait as long is told
/// so at once. A request that counts next to nothing of the limit comes first.
CreditGrant CreditLedger::GrantOrQueue(const CreditRequest& request, const CreditQuestion& question,
                                       const std::string& from, Account& account, Time now) {
  CreditGrant grant;
  grant.tenant = request.tenant;
  const double rate = account.limit.rate_per_second;
  const bool small = request.needed <= kSmallRequestShare * rate * Seconds(account.lifetime);
  const std::uint32_t rank = small ? 0 : request.urgency + 1;
  const auto behind = std::upper_bound(
      account.queue.begin(), account.queue.end(), rank,
      [](std::uint32_t ranked, const Waiting& waiting) { return ranked < waiting.rank; });
  const bool first = behind == account.queue.begin();
  if (first && TryGrant(request.needed, account, now, grant.parts)) return grant;
  double shortfall = request.needed - account.Free(now);
  for (auto ahead = account.queue.begin(); ahead != behind; ++ahead) shortfall += ahead->units;
  const BootClock::duration wait = FromSeconds(std::max(0.0, shortfall) / rate);
  const BootClock::duration patience = microseconds(request.patience_us);
  grant.available_in_us = std::max<std::int64_t>(1, Microseconds(wait));
  grant.queued = wait <= patience && account.queue.size() < kMaxQueueLength;
  if (grant.queued)
    account.queue.insert(behind,
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
                          Microseconds(now - first.queued_at),
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

bool CreditLedger::NoteSender(const std::string& from, std::int64_t asked_at_us, Time now) {
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
  // No longer than from the arrival of this daemon's last answer there, which lies after its
  // sending, to now.
  const microseconds transit{answer.stamp_us - question.last_answer_stamp_us -
                             question.since_last_answer_us};
  const bool fresh = NoteSender(from, question.asked_at_us, now);
  const bool aged = fresh && question.last_answer_stamp_us != 0 && transit.count() >= 0;
  std::vector<AddressedAnswer> served;
  for (const CreditRequest& request : question.requests) {
    const auto found = accounts_.find(request.tenant);
    if (found == accounts_.end()) continue;  // One of the two does not know the newest limits.
    Account& account = found->second;
    if (aged) Unpack(request.deposit, transit, now, account.pool);
    Accrue(account, now);
    ServeQueue(request.tenant, account, now, served);
    if (request.needed > 0)
      answer.grants.push_back(GrantOrQueue(request, question, from, account, now));
  }
  served.push_back({from, std::move(answer)});
  return served;
}

bool CreditLedger::TakeAnswer(const CreditAnswer& answer, const std::string& from, Time now) {
  const auto known = hosts_.find(from);
  const bool more_comes = std::any_of(answer.grants.begin(), answer.grants.end(),
                                      [](const CreditGrant& grant) { return grant.queued; });
  if (known == hosts_.end() || !known->second.open.contains(answer.asked_at_us)) return false;
  if (!more_comes) known->second.open.erase(answer.asked_at_us);
  known->second.stamp_us = answer.stamp_us;
  known->second.heard_at = now;
  known->second.unanswered_since = Time{};
  const Time asked_at{microseconds(answer.asked_at_us)};
  // All of the time that it was not at the pool.
  const auto transit = now - asked_at - microseconds(std::max<std::int64_t>(0, answer.held_us));
  for (const CreditGrant& grant : answer.grants) {
    const auto found = accounts_.find(grant.tenant);
    if (found == accounts_.end() || grant.parts.empty() || transit < BootClock::duration{})
      continue;
    double units = 0;
    for (const CreditPart& part : grant.parts) units += part.units;
    Unpack(grant.parts, transit, now, found->second.pool);
    found->second.reserved.push_back({answer.asked_at_us, units, now + kReservationTime});
    found->second.pool.DropBefore(now - found->second.lifetime);
  }
  return true;
}

}  // namespace moorfold::quota
