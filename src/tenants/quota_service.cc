#include "tenants/quota_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace moorfold {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Between two daemons an answer takes some milliseconds, and up to a tenth of a second where one
/// of them has spent its processor time.
constexpr milliseconds kAnswerTimeout{120};
/// The first question may be lost; after another the pool is taken for silent.
constexpr int kMostQuestions = 3;
/// Between two looks for a pool while there is none.
constexpr milliseconds kPoolPause{50};
/// How long credit that was taken is held for the request while it finds its server, even when it
/// dies meanwhile. Added to a credit's life where the sums of the promise are made.
constexpr milliseconds kHeldFor{250};
/// Requests of one tenant that wait here for credit. Others are told when to come back: more would
/// only make the wait longer than the time stated to the first.
constexpr std::uint32_t kMostWaiting = 32;
/// Least time to wait for, or to come back after: pools get what others have left some times a
/// second.
constexpr milliseconds kLeastWait{50};

}  // namespace

QuotaService::QuotaService(boost::asio::io_context& context, quota::Settings settings,
                           std::string self, QuotaFigures& figures, Ports ports)
    : ledger_(settings, std::move(self)),
      figures_(figures),
      ports_(std::move(ports)),
      answered_(context.get_executor()),
      limits_changed_(context.get_executor()),
      context_(context) {}

void QuotaService::Start() { boost::asio::co_spawn(context_, Run(), boost::asio::detached); }

Awaitable<void> QuotaService::Run() {
  while (true) {
    if (!ledger_.Limits()) {
      co_await limits_changed_.Wait();
      continue;
    }
    for (const quota::AddressedQuestion& due : ledger_.Tick(BootClock::now()))
      ports_.ask(due.host, due.question);
    co_await limits_changed_.Wait(ledger_.NextTick());
  }
}

void QuotaService::SetLimits(const std::vector<Tenant>& tenants) {
  const bool before = ledger_.Limits();
  ledger_.SetLimits(tenants, BootClock::now());
  shortages_.clear();
  if (!before) limits_changed_.NotifyAll();
}

void QuotaService::SetSharing(CreditSharing sharing) { ledger_.SetSharing(std::move(sharing)); }

void QuotaService::Refund(const std::string& tenant, const quota::Credit& credit) {
  ledger_.Refund(tenant, credit, BootClock::now());
}

bool QuotaService::Alive(const std::string& tenant, const quota::Credit& credit) const {
  return BootClock::now() < credit.created_at + ledger_.Life(tenant) + kHeldFor;
}

QuotaDecision QuotaService::Refuse(QuotaStanding standing, BootClock::duration come_back) {
  ++(standing == QuotaStanding::kUnknown ? figures_.refused_unknown : figures_.refused_over);
  return {standing, {}, std::chrono::ceil<milliseconds>(come_back)};
}

BootClock::duration QuotaService::KnownShortage(const std::string& tenant, double units) const {
  const auto known = shortages_.find(tenant);
  if (known == shortages_.end() || units < known->second.units) return {};
  return std::max(BootClock::duration{}, known->second.until - BootClock::now());
}

Awaitable<std::optional<BootClock::duration>> QuotaService::AskPool(const std::string& tenant,
                                                                    double units) {
  const quota::AddressedQuestion asked = ledger_.Ask(tenant, units, BootClock::now());
  const std::int64_t id = asked.question.asked_at_us;
  open_[id] = {};
  ++figures_.asked;
  ports_.ask(asked.host, asked.question);
  const auto give_up = BootClock::now() + kAnswerTimeout;
  while (!open_[id].came && BootClock::now() < give_up) co_await answered_.Wait(give_up);
  const Answered answered = open_[id];
  open_.erase(id);
  if (answered.came) co_return answered.available_in;
  ++figures_.unanswered;
  co_return std::nullopt;
}

Awaitable<QuotaDecision> QuotaService::Acquire(const std::string& tenant, double units,
                                               quota::Time wait_until) {
  // Told at once, without a question, what the last refusal has shown.
  const BootClock::duration known = KnownShortage(tenant, units);
  if (BootClock::now() + known > wait_until && known > BootClock::duration{})
    co_return Refuse(QuotaStanding::kOver, known);
  int questions = 0;
  while (true) {
    const auto now = BootClock::now();
    const quota::Verdict verdict = ledger_.Take(tenant, units, now);
    if (verdict.standing == quota::Standing::kNever)
      co_return Refuse(QuotaStanding::kOverAlways, {});
    if (verdict.standing != quota::Standing::kShort)
      co_return QuotaDecision{QuotaStanding::kGranted, {verdict.created_at, units}, {}};
    const std::optional<std::string> pool = ledger_.Pool(tenant, now);
    BootClock::duration available_in{};
    if (pool && *pool == ledger_.self()) {
      available_in = ledger_.MadeIn(tenant, units, now);
    } else if (pool && questions++ < kMostQuestions) {
      const std::optional<BootClock::duration> told = co_await AskPool(tenant, units);
      if (!told || *told <= BootClock::duration{}) continue;
      questions = 0;
      available_in = *told;
    } else {
      if (BootClock::now() + kPoolPause > wait_until)
        co_return Refuse(QuotaStanding::kUnknown, milliseconds(kAnswerTimeout) * kMostQuestions);
      questions = 0;
      co_await Sleep(kPoolPause);
      continue;
    }
    available_in = std::max<BootClock::duration>(available_in, kLeastWait);
    std::uint32_t& waiting = waiting_[tenant];
    if (BootClock::now() + available_in > wait_until || waiting >= kMostWaiting) {
      shortages_[tenant] = {units, BootClock::now() + available_in};
      co_return Refuse(QuotaStanding::kOver, available_in);
    }
    ++waiting;
    co_await Sleep(available_in);
    --waiting_[tenant];
  }
}

void QuotaService::Hear(const CreditQuestion& question, const std::string& from) {
  ++figures_.answered;
  ports_.answer(from, ledger_.Answer(question, from, BootClock::now()));
}

void QuotaService::Hear(const CreditAnswer& answer, const std::string& from) {
  if (!ledger_.TakeAnswer(answer, from, BootClock::now())) {
    ++figures_.dropped;
    return;
  }
  const auto open = open_.find(answer.asked_at_us);
  if (open == open_.end()) return;
  open->second.came = true;
  for (const CreditGrant& grant : answer.grants)
    open->second.available_in = microseconds(grant.available_in_us);
  answered_.NotifyAll();
}

}  // namespace moorfold
