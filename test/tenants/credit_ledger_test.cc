// Tests for one daemon's credit ledger: accrual, deposits, grants and the queue.

#include "tenants/credit_ledger.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace moorfold::quota {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Time kNow{std::chrono::hours(1)};
const Settings kSettings{seconds(8), 0.1, 0};

Tenant MakeTenant(const std::string& name, double rate, double burst) {
  Tenant tenant;
  tenant.name = name;
  tenant.limit = {QuotaUnit::kRequests, rate, burst, 0};
  return tenant;
}

CreditLedger MakeLedger(const std::string& self, const std::vector<Tenant>& tenants,
                        std::uint32_t daemons = 2) {
  CreditLedger ledger(kSettings, self);
  ledger.SetLimits(tenants, kNow);
  ledger.SetSharing({daemons, {"pool"}});
  return ledger;
}

std::int64_t Micros(BootClock::duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

/// Returns a deposit of `units` that had just accrued when it was sent, with age 0.
CreditQuestion Deposit(double units, std::int64_t asked_at_us, Time last_answer_at, Time sent) {
  CreditQuestion question;
  question.asked_at_us = asked_at_us;
  question.last_answer_stamp_us = Micros(last_answer_at.time_since_epoch());
  question.since_last_answer_us = Micros(sent - last_answer_at);
  question.requests.push_back({"t", 0, 0, 0, {{units, 0}}});
  return question;
}

TEST_CASE("A daemon accrues its share of the rate, at most for one credit lifetime") {
  CreditLedger ledger = MakeLedger("a", {MakeTenant("t", 100, 100)}, 4);
  CHECK(ledger.Units("t", kNow) == 0);
  CHECK(ledger.Units("t", kNow + seconds(1)) == Approx(25));
  // Lifetime: (burst + 0.3 x 0.1 x (8 x rate + burst)) / rate = 1.27 s.
  CHECK(ledger.Units("t", kNow + seconds(60)) == Approx(25 * 1.27).epsilon(0.11));
  CHECK(ledger.Units("t", kNow + seconds(60)) <= 25 * 1.27);
}

TEST_CASE("Requests of unlimited and unknown tenants are always granted, without any state") {
  CreditLedger ledger = MakeLedger("a", {MakeTenant("free", 0, 100)});
  CHECK_FALSE(ledger.Limits());
  CHECK(ledger.Take("free", 1e9, 0, kNow).quota_status == TakeStatus::kUnlimited);
  CHECK(ledger.Take("other", 1, 0, kNow).quota_status == TakeStatus::kUnlimited);
  CHECK(ledger.Tick(kNow + seconds(9)).empty());
}

TEST_CASE("A request above the limit's capacity is distinguished from a lack of credit") {
  CreditLedger ledger = MakeLedger("a", {MakeTenant("t", 10, 10)});
  CHECK(ledger.Take("t", 13, 0, kNow).quota_status == TakeStatus::kAboveCapacity);
  CHECK(ledger.Take("t", 12, 0, kNow).quota_status == TakeStatus::kInsufficient);
  CHECK(ledger.Take("t", 0, 0, kNow).quota_status == TakeStatus::kGranted);
}

TEST_CASE("No credit accrues, even later, for the time in which the fleet size is unknown") {
  CreditLedger ledger(kSettings, "a");
  ledger.SetLimits({MakeTenant("t", 100, 100)}, kNow);
  CHECK(ledger.Units("t", kNow + seconds(5)) == 0);
  ledger.SetSharing({1, {"a"}});
  CHECK(ledger.Units("t", kNow + seconds(5)) == 0);
  CHECK(ledger.Units("t", kNow + seconds(6)) == Approx(100));
}

TEST_CASE("A new or restored limit starts without credit") {
  CreditLedger ledger = MakeLedger("a", {}, 1);
  ledger.SetLimits({MakeTenant("t", 100, 100)}, kNow + seconds(50));
  CHECK(ledger.Units("t", kNow + seconds(50)) == 0);
  ledger.SetLimits({}, kNow + seconds(51));
  ledger.SetLimits({MakeTenant("t", 100, 100)}, kNow + seconds(52));
  CHECK(ledger.Units("t", kNow + seconds(52)) == 0);
}

TEST_CASE("Lowering a limit scales accrued credit down; raising it does not restore any") {
  CreditLedger ledger = MakeLedger("a", {MakeTenant("t", 100, 100)}, 1);
  const Time later = kNow + seconds(1);
  CHECK(ledger.Units("t", later) == Approx(100));
  ledger.SetLimits({MakeTenant("t", 10, 10)}, later);
  CHECK(ledger.Units("t", later) == Approx(10));
  ledger.SetLimits({MakeTenant("t", 1'000, 1'000)}, later);
  CHECK(ledger.Units("t", later) == Approx(10));
}

TEST_CASE("Changing the unit of a limit drops the credit of the old unit") {
  CreditLedger ledger = MakeLedger("a", {MakeTenant("t", 100, 100)}, 1);
  Tenant tokens = MakeTenant("t", 100, 100);
  tokens.limit.unit = QuotaUnit::kTokens;
  ledger.SetLimits({tokens}, kNow + seconds(1));
  CHECK(ledger.Units("t", kNow + seconds(1)) == 0);
}

TEST_CASE("Deposited credit keeps its age, plus the longest possible transit time") {
  CreditLedger pool = MakeLedger("pool", {MakeTenant("t", 1, 1)}, 1'000'000);
  const Time last_answer_at = kNow;
  const Time sent = kNow + milliseconds(200);
  const Time arrives = sent + milliseconds(900);
  pool.Answer(Deposit(0.5, 1, last_answer_at, sent), "a", arrives);
  CHECK(pool.Units("t", arrives) == Approx(0.5).epsilon(0.01));
  // It expires 1.27 s after it was sent, not 1.27 s after it arrived.
  CHECK(pool.Units("t", sent + milliseconds(1'260)) == Approx(0.5).epsilon(0.01));
  CHECK(pool.Units("t", sent + milliseconds(1'290)) < 0.01);
}

TEST_CASE("Deposits with an unknown age or invalid units are dropped") {
  CreditLedger pool = MakeLedger("pool", {MakeTenant("t", 100, 100)}, 1'000'000);
  CreditQuestion without_answer = Deposit(5, 1, kNow, kNow);
  without_answer.last_answer_stamp_us = 0;
  pool.Answer(without_answer, "a", kNow);
  CHECK(pool.Units("t", kNow) < 0.01);
  // The stamp lies in the future, as after a restart of this machine's clock.
  pool.Answer(Deposit(5, 2, kNow + seconds(9), kNow + seconds(9)), "a", kNow);
  CHECK(pool.Units("t", kNow) < 0.01);
  for (const double not_a_number : {std::nan(""), -5.0, static_cast<double>(INFINITY)}) {
    pool.Answer(Deposit(not_a_number, 3, kNow, kNow), "a", kNow);
    CHECK(pool.Units("t", kNow) < 0.01);
  }
}

TEST_CASE("A duplicated or reordered question deposits at most once") {
  CreditLedger pool = MakeLedger("pool", {MakeTenant("t", 100, 100)}, 1'000'000);
  pool.Answer(Deposit(5, 10, kNow, kNow), "a", kNow);
  pool.Answer(Deposit(5, 10, kNow, kNow), "a", kNow);
  pool.Answer(Deposit(5, 9, kNow, kNow), "a", kNow);
  CHECK(pool.Units("t", kNow) == Approx(5).epsilon(0.01));
  pool.Answer(Deposit(5, 1, kNow, kNow), "b", kNow);  // From another daemon.
  CHECK(pool.Units("t", kNow) == Approx(10).epsilon(0.01));
}

TEST_CASE("An answer is applied once, and only from the pool that was asked") {
  CreditLedger asker = MakeLedger("a", {MakeTenant("t", 100, 100)}, 1'000'000);
  const AddressedQuestion asked = asker.Ask({"t", 5, 0, seconds(0)}, kNow);
  CHECK(asked.host == "pool");
  CHECK(asked.question.requests.at(0).needed == Approx(5).epsilon(0.01));
  CreditAnswer answer{asked.question.asked_at_us, 1, 0, {{"t", {{5, 0}}, false, 0}}};
  CHECK_FALSE(asker.TakeAnswer(answer, "other", kNow));
  CHECK(asker.TakeAnswer(answer, "pool", kNow));
  CHECK_FALSE(asker.TakeAnswer(answer, "pool", kNow));
  CHECK(asker.Units("t", kNow) == Approx(5).epsilon(0.01));
}

TEST_CASE("A pool grants all of the needed units or none, and states when there will be enough") {
  CreditLedger pool = MakeLedger("pool", {MakeTenant("t", 100, 100)}, 1);
  const Time now = kNow + milliseconds(500);  // 50 units have accrued.
  CreditQuestion question;
  question.asked_at_us = 1;
  question.requests.push_back({"t", 80, 0, 0, {}});
  CreditAnswer answer = pool.Answer(question, "a", now).back().answer;
  REQUIRE(answer.grants.size() == 1);
  CHECK(answer.grants[0].parts.empty());
  CHECK(answer.grants[0].available_in_us == Approx(300'000).epsilon(0.01));
  CHECK(pool.Units("t", now) == Approx(50));
  question.asked_at_us = 2;
  question.requests[0].needed = 30;
  answer = pool.Answer(question, "a", now).back().answer;
  double granted = 0;
  for (const CreditPart& part : answer.grants.at(0).parts) granted += part.units;
  CHECK(granted == Approx(30));
  CHECK(pool.Units("t", now) == Approx(20));
}

/// A pool that accrues 1,000 units a second by itself, and questions to it.
struct PoolFixture {
  CreditLedger pool = MakeLedger("pool", {MakeTenant("t", 1'000, 1'000)}, 1);
  std::int64_t asked = 0;

  CreditGrant Ask(double needed, milliseconds max_wait, Time now, std::uint32_t urgency = 0) {
    CreditQuestion question;
    question.asked_at_us = ++asked;
    question.requests.push_back({"t", needed, urgency, Micros(max_wait), {}});
    return pool.Answer(question, "a", now).back().answer.grants.at(0);
  }
};

TEST_CASE(
    "Queued requests get credit in order; impatient ones are refused with the expected wait") {
  PoolFixture fixture;
  const Time now = kNow + milliseconds(100);  // 100 units have accrued.
  CHECK(fixture.Ask(80, milliseconds(0), now).parts.size() == 1);
  const CreditGrant first = fixture.Ask(300, seconds(1), now);
  CHECK(first.queued);
  CHECK(first.available_in_us == Approx(280'000).epsilon(0.01));
  CHECK(fixture.Ask(300, seconds(1), now).queued);  // Queued behind the first.
  const CreditGrant short_wait = fixture.Ask(80, milliseconds(100), now);
  CHECK_FALSE(short_wait.queued);
  CHECK(short_wait.parts.empty());
  CHECK(short_wait.available_in_us == Approx(660'000).epsilon(0.01));
  CHECK(fixture.Ask(6, milliseconds(0), now).parts.size() == 1);  // A negligible cost goes first.
  CHECK(fixture.pool.Take("t", 6, 0, now).quota_status ==
        TakeStatus::kInsufficient);  // Take does not bypass the queue.
  CHECK(fixture.pool.Serve(now + milliseconds(200)).empty());
  const auto served = fixture.pool.Serve(now + milliseconds(300));
  REQUIRE(served.size() == 1);
  CHECK(served[0].answer.asked_at_us == 2);
  CHECK(served[0].answer.held_us == 300'000);
  CHECK(fixture.pool.Serve(now + milliseconds(620)).size() == 1);
  CHECK_FALSE(fixture.pool.Queued());
}

TEST_CASE("More urgent requests queue before less urgent ones and are given a shorter wait") {
  PoolFixture fixture;
  const CreditGrant less = fixture.Ask(300, seconds(1), kNow, 2);
  CHECK(less.queued);
  const CreditGrant more = fixture.Ask(300, seconds(1), kNow, 1);
  CHECK(more.queued);
  CHECK(more.available_in_us == Approx(300'000).epsilon(0.01));
  const auto served = fixture.pool.Serve(kNow + milliseconds(310));
  REQUIRE(served.size() == 1);
  CHECK(served[0].answer.asked_at_us == 2);
}

TEST_CASE("Timed-out requests are skipped in the queue, and a deposit serves the next one") {
  PoolFixture fixture;
  CHECK(fixture.Ask(100, milliseconds(150), kNow).queued);
  CHECK(fixture.Ask(200, seconds(1), kNow).queued);
  CreditQuestion deposit = Deposit(150, 1, kNow, kNow + milliseconds(160));
  const auto answers = fixture.pool.Answer(deposit, "b", kNow + milliseconds(160));
  REQUIRE(answers.size() == 2);
  CHECK(answers[0].to == "a");
  CHECK(answers[0].answer.asked_at_us == 2);
  CHECK(answers[1].to == "b");
}

TEST_CASE("Granted credit is briefly reserved for its request and ages only by its transit time") {
  CreditLedger asker = MakeLedger("a", {MakeTenant("t", 100, 100)}, 0);  // It accrues none.
  const AddressedQuestion asked = asker.Ask({"t", 5, 0, seconds(1)}, kNow);
  const std::int64_t id = asked.question.asked_at_us;
  CHECK(asker.TakeAnswer({id, 1, 0, {{"t", {}, true, 900'000}}}, "pool", kNow));
  const Time later =
      kNow + milliseconds(900);  // Of these, the question was held for 890 ms at the pool.
  CHECK(asker.TakeAnswer({id, 2, 890'000, {{"t", {{5, 0}}, false, 0}}}, "pool", later));
  CHECK_FALSE(asker.TakeAnswer({id, 2, 890'000, {{"t", {{5, 0}}, false, 0}}}, "pool", later));
  CHECK(asker.Take("t", 1, 0, later).quota_status == TakeStatus::kInsufficient);
  const TakeResult take_result = asker.Take("t", 5, id, later);
  CHECK(take_result.quota_status == TakeStatus::kGranted);
  CHECK(take_result.created_at >= later - milliseconds(60));
}

TEST_CASE("Granted credit that no request takes is deposited at the pool again") {
  CreditLedger asker = MakeLedger("a", {MakeTenant("t", 100, 100)}, 1'000'000);
  const std::int64_t id = asker.Ask({"t", 5, 0, seconds(1)}, kNow).question.asked_at_us;
  CHECK(asker.TakeAnswer({id, 1, 0, {{"t", {{5, 0}}, false, 0}}}, "pool", kNow));
  const auto due = asker.Tick(kNow + milliseconds(600));
  REQUIRE(due.size() == 1);
  CHECK(due[0].question.requests.at(0).deposit.at(0).units == Approx(5).epsilon(0.01));
}

TEST_CASE("A pool that does not answer is skipped and asked again later") {
  CreditLedger ledger(kSettings, "a");
  ledger.SetLimits({MakeTenant("t", 100, 100)}, kNow);
  ledger.SetSharing({3, {"p", "q"}});
  const std::string first = ledger.PoolFor("t", kNow).value();
  const std::string other = first == "p" ? "q" : "p";
  ledger.Ask({"t", 50, 0, seconds(0)}, kNow);
  CHECK(ledger.PoolFor("t", kNow + milliseconds(200)) == first);
  const Time later = kNow + milliseconds(300);
  CHECK(ledger.PoolFor("t", later) == other);
  ledger.Ask({"t", 50, 0, seconds(0)}, later);
  CHECK(ledger.PoolFor("t", later + milliseconds(300)) == std::nullopt);
  const std::vector<AddressedQuestion> again = ledger.Tick(kNow + seconds(3));
  REQUIRE(again.size() == 2);
  for (const AddressedQuestion& question : again) CHECK(question.question.requests.empty());
  const auto to_first = std::find_if(again.begin(), again.end(),
                                     [&](const auto& question) { return question.host == first; });
  REQUIRE(to_first != again.end());
  CHECK(ledger.TakeAnswer({to_first->question.asked_at_us, 1, 0, {}}, first, kNow + seconds(3)));
  CHECK(ledger.PoolFor("t", kNow + seconds(3)) == first);
}

TEST_CASE("Unused credit is refunded unless it has expired in the meantime") {
  CreditLedger ledger = MakeLedger("a", {MakeTenant("t", 100, 100)}, 1);
  const Time later = kNow + seconds(1);
  const TakeResult take_result = ledger.Take("t", 100, 0, later);
  REQUIRE(take_result.quota_status == TakeStatus::kGranted);
  ledger.Refund("t", {take_result.created_at, 100}, later + milliseconds(100));
  CHECK(ledger.Units("t", later + milliseconds(100)) == Approx(110));
  ledger.Refund("t", {take_result.created_at, 100}, later + seconds(1));
  CHECK(ledger.Units("t", later + seconds(1)) <= 127);
}

}  // namespace
}  // namespace moorfold::quota
