#include "tenants/quota_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace moorfold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Timeout for an answer. It takes some milliseconds between two daemons, and up to a tenth of a
/// second if one of them has exhausted its processor time.
constexpr milliseconds kAnswerTimeout{120};
/// Maximum questions per request before it pauses. The first question may be lost; after a second
/// one without an answer the pool counts as silent.
constexpr int kMaxQuestions = 3;
/// Interval at which a request looks for a pool while none is available.
constexpr milliseconds kPoolRetryInterval{50};
/// How long taken credit stays valid for a request that is selecting a server, even if it expires
/// in the meantime. The bound on use adds this time to the credit lifetime.
constexpr milliseconds kHeldCreditGrace{250};
/// Minimum retry delay: pools receive surplus credit some times a second.
constexpr milliseconds kMinRetryAfter{50};
/// While requests are queued at this pool: the interval at which newly accrued credit is granted.
/// Deposits from other daemons are granted on arrival.
constexpr milliseconds kServeInterval{25};

}  // namespace

QuotaService::QuotaService(boost::asio::io_context& context, quota::Settings settings,
                           std::string self, QuotaCounters& counters, Ports ports)
    : ledger_(settings, std::move(self)),
      counters_(counters),
      ports_(std::move(ports)),
      answered_(context.get_executor()),
      work_(context.get_executor()),
      context_(context) {}

void QuotaService::Start() { boost::asio::co_spawn(context_, Run(), boost::asio::detached); }

Awaitable<void> QuotaService::Run() {
  while (true) {
    if (!ledger_.Limits()) {
      co_await work_.Wait();
      continue;
    }
    const auto now = BootClock::now();
    SendAnswers(ledger_.Serve(now));
    for (const quota::AddressedQuestion& due : ledger_.Tick(now)) SendQuestion(due);
    const quota::Time serve_again = now + kServeInterval;
    const quota::Time next = ledger_.NextTick();
    co_await work_.Wait(ledger_.Queued() ? std::min(next, serve_again) : next);
  }
}

void QuotaService::SendQuestion(const quota::AddressedQuestion& asked) {
  if (asked.host == ledger_.self())
    Hear(asked.question, asked.host);
  else
    ports_.ask(asked.host, asked.question);
}

void QuotaService::SendAnswers(const std::vector<quota::AddressedAnswer>& answers) {
  for (const quota::AddressedAnswer& addressed_answer : answers) {
    if (addressed_answer.to == ledger_.self())
      Hear(addressed_answer.answer, addressed_answer.to);
    else
      ports_.answer(addressed_answer.to, addressed_answer.answer);
  }
}

void QuotaService::SetLimits(const std::vector<Tenant>& tenants) {
  const bool before = ledger_.Limits();
  ledger_.SetLimits(tenants, BootClock::now());
  shortages_.clear();
  if (!before) work_.NotifyAll();
}

void QuotaService::SetSharing(CreditSharing sharing) { ledger_.SetSharing(std::move(sharing)); }

void QuotaService::Refund(const std::string& tenant, const quota::Credit& credit) {
  ledger_.Refund(tenant, credit, BootClock::now());
}

bool QuotaService::Alive(const std::string& tenant, const quota::Credit& credit) const {
  return BootClock::now() < credit.created_at + ledger_.CreditLifetime(tenant) + kHeldCreditGrace;
}

QuotaDecision QuotaService::Refuse(QuotaStatus quota_status, BootClock::duration retry_after) {
  ++(quota_status == QuotaStatus::kUnknown ? counters_.refused_unknown
                                           : counters_.refused_over_limit);
  return {quota_status, {}, std::chrono::ceil<milliseconds>(retry_after)};
}

BootClock::duration QuotaService::KnownShortage(const quota::CreditDemand& demand) const {
  const auto shortage = shortages_.find(demand.tenant);
  if (shortage == shortages_.end()) return {};
  if (demand.units < shortage->second.units || demand.urgency < shortage->second.urgency) return {};
  return std::max(BootClock::duration{}, shortage->second.until - BootClock::now());
}

Awaitable<QuotaService::QuestionState> QuotaService::AskPool(quota::CreditDemand demand,
                                                             quota::Time wait_until) {
  const auto now = BootClock::now();
  demand.patience = std::max(BootClock::duration{}, wait_until - now);
  const quota::AddressedQuestion asked = ledger_.Ask(demand, now);
  const std::int64_t id = asked.question.asked_at_us;
  open_[id].id = id;
  ++counters_.asked;
  SendQuestion(asked);
  const quota::Time silent = now + kAnswerTimeout;
  while (!open_[id].received && BootClock::now() < silent) co_await answered_.Wait(silent);
  while (open_[id].queued && !open_[id].granted && BootClock::now() < wait_until)
    co_await answered_.Wait(wait_until);
  const QuestionState answered = open_[id];
  open_.erase(id);
  if (!answered.received) ++counters_.unanswered;
  co_return answered;
}

Awaitable<QuotaDecision> QuotaService::Acquire(const quota::CreditDemand& demand) {
  const quota::Time wait_until = BootClock::now() + demand.patience;
  // Refuses at once, without asking the pool, if the last refusal shows that the credit will not be
  // available in time.
  const BootClock::duration known_shortage = KnownShortage(demand);
  if (BootClock::now() + known_shortage > wait_until && known_shortage > BootClock::duration{})
    co_return Refuse(QuotaStatus::kOverLimit, known_shortage);
  int questions = 0;
  std::int64_t granted = 0;
  while (true) {
    const auto now = BootClock::now();
    const quota::TakeResult take_result = ledger_.Take(demand.tenant, demand.units, granted, now);
    if (take_result.quota_status == quota::TakeStatus::kAboveCapacity)
      co_return Refuse(QuotaStatus::kOverCapacity, {});
    if (take_result.quota_status != quota::TakeStatus::kInsufficient)
      co_return QuotaDecision{QuotaStatus::kGranted, {take_result.created_at, demand.units}, {}};
    if (questions++ < kMaxQuestions && ledger_.PoolFor(demand.tenant, now)) {
      const QuestionState answered = co_await AskPool(demand, wait_until);
      granted = answered.granted ? answered.id : 0;
      if (answered.granted || !answered.received) continue;
      const auto retry_after = std::max<BootClock::duration>(answered.available_in, kMinRetryAfter);
      shortages_[demand.tenant] = {demand.units, demand.urgency, BootClock::now() + retry_after};
      co_return Refuse(QuotaStatus::kOverLimit, retry_after);
    }
    if (BootClock::now() + kPoolRetryInterval > wait_until)
      co_return Refuse(QuotaStatus::kUnknown, milliseconds(kAnswerTimeout) * kMaxQuestions);
    co_await Sleep(kPoolRetryInterval);
    questions = 0;
  }
}

void QuotaService::Hear(const CreditQuestion& question, const std::string& from) {
  ++counters_.answered;
  const bool queued = ledger_.Queued();
  SendAnswers(ledger_.Answer(question, from, BootClock::now()));
  if (!queued && ledger_.Queued()) work_.NotifyAll();
}

void QuotaService::Hear(const CreditAnswer& answer, const std::string& from) {
  if (!ledger_.TakeAnswer(answer, from, BootClock::now())) {
    ++counters_.dropped;
    return;
  }
  const auto open = open_.find(answer.asked_at_us);
  if (open == open_.end()) return;
  open->second.received = true;
  for (const CreditGrant& grant : answer.grants) {
    open->second.queued = grant.queued;
    open->second.granted = !grant.parts.empty();
    open->second.available_in = microseconds(grant.available_in_us);
  }
  answered_.NotifyAll();
}

}  // namespace moorfold
