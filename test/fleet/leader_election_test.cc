#include "fleet/leader_election.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "candidate.h"
#include "clock_jump.h"
#include "common/boot_clock.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kKey = kLeaderKey;

TEST_CASE("One of two candidates leads, and the other one leads after the first has resigned") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  Candidate two(context, table, "two");
  REQUIRE(RunUntil(context, {&one, &two},
                   [&] { return one.election.MayOrder() || two.election.MayOrder(); }));
  CHECK(one.election.leading() != two.election.leading());
  Candidate& first = one.election.leading() ? one : two;
  Candidate& second = one.election.leading() ? two : one;
  const std::int64_t token = first.election.fencing_token();
  bool resigned = false;
  first.election.Resign([&] { resigned = true; });
  CHECK_FALSE(first.election.MayOrder());
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return second.election.MayOrder(); }));
  CHECK(resigned);
  CHECK(second.election.fencing_token() > token);
}

TEST_CASE(
    "A new leader avoids the servers that the previous leader sent orders to, and no others") {
  boost::asio::io_context context;
  KeyValueTable table;
  const milliseconds separation(600'000);
  Candidate one(context, table, "one", milliseconds(60));
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  Candidate two(context, table, "two", separation);
  one.election.NoteOrder("i-1");
  for (int load = 0; load < 4; ++load) one.election.loads().RecordLoad(BootClock::now());
  bool resigned = false;
  one.election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return two.election.MayOrder(); }));
  CHECK(resigned);
  CHECK_FALSE(two.election.ServerSafeToOrder("i-1"));
  CHECK(two.election.ServerSafeToOrder("i-2"));
  CHECK(two.election.load_history_known());
  CHECK(two.election.loads().AvailableLoads(1, BootClock::now()) == 1);
}

TEST_CASE("A leader that cannot release its key leaves it attached to its lease") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  one.store.unreachable = true;
  bool resigned = false;
  one.election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {}, [&] { return resigned; }));
  one.store.unreachable = false;
  RunUntil(
      context, {}, [] { return false; }, milliseconds(100));
  const RangeResult key = table.Range({kKey, ""});
  REQUIRE(key.entries.size() == 1);  // The key must not disappear before its lease would lapse.
  CHECK_FALSE(DecodeMessage<LeaderRecord>(key.entries.front().value).released);
}

TEST_CASE("A daemon that is offered leadership reads the key at once and becomes leader") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  Candidate two(context, table, "two", milliseconds(600'000));
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return two.election.leader().has_value(); }));
  bool resigned = false;
  one.election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {&one}, [&] { return resigned; }));
  two.election.ReadLeaderKeyNow(true);  // Its watch has not reported the release.
  CHECK(RunUntil(context, {}, [&] { return two.election.MayOrder(); }));
}

TEST_CASE("A silent leader's key is read until its lease has lapsed") {
  boost::asio::io_context context;
  KeyValueTable table;
  auto one = std::make_unique<Candidate>(context, table, "one");
  REQUIRE(RunUntil(context, {one.get()}, [&] { return one->election.MayOrder(); }));
  Candidate two(context, table, "two");
  REQUIRE(RunUntil(context, {one.get(), &two}, [&] { return two.election.leader().has_value(); }));
  two.election.NoteLeaderHeard(2);
  one->store.unreachable = true;  // Simulates a killed process.
  // No watch events are delivered, so only a read shows that the key is gone.
  CHECK(RunUntil(context, {}, [&] { return two.election.leading(); }));
}

TEST_CASE("A claim is dropped when another machine won while its lease was being granted") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  Candidate two(context, table, "two");
  two.store.hold_grants = true;
  REQUIRE(RunUntil(context, {&one, &two},
                   [&] { return one.election.leading() && two.store.held_grants() > 0; }));
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return two.election.leader().has_value(); }));
  const std::int64_t token = one.election.fencing_token();
  two.store.ReleaseGrants();
  RunUntil(
      context, {&one, &two}, [&] { return two.election.leading(); }, milliseconds(500));
  CHECK_FALSE(two.election.leading());
  CHECK(one.election.leading());
  CHECK(one.election.fencing_token() == token);
}

TEST_CASE("A leader whose renewal failed keeps leading when its key is still on its lease") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  const std::int64_t token = one.election.fencing_token();
  one.store.unreachable = true;
  REQUIRE(RunUntil(context, {}, [&] { return !one.election.MayOrder(); }));
  one.store.unreachable = false;
  // A late write of its own leaves the key at a revision that the leader does not know.
  Transaction late;
  KeyValue key = table.Range({kKey, ""}).entries.front();
  late.operations.emplace_back(PutOperation{kKey, key.value, key.lease});
  table.Transact(late);
  REQUIRE(RunUntil(context, {}, [&] { return one.election.MayOrder(); }));
  CHECK(one.election.fencing_token() == token);
}

TEST_CASE("A leader without the store stops ordering before its lease lapses") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  one.store.unreachable = true;
  const auto unreachable_since = BootClock::now();
  REQUIRE(RunUntil(context, {&one}, [&] { return !one.election.MayOrder(); }));
  CHECK(BootClock::now() - unreachable_since < milliseconds(1'500));
}

TEST_CASE(
    "A leader whose key was taken while the store was unreachable stops before it sends an order") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  const std::int64_t token = one.election.fencing_token();
  one.store.unreachable = true;
  REQUIRE(RunUntil(context, {&one}, [&] { return !one.election.MayOrder(); }));
  Transaction taken;  // The lease still exists, but another machine has taken the key.
  taken.operations.emplace_back(
      PutOperation{kKey, EncodeMessage(LeaderRecord{"two", "127.0.0.1:2", true, false, {}}), {}});
  table.Transact(taken);
  one.store.unreachable = false;
  RunUntil(
      context, {}, [&] { return one.election.MayOrder(); }, milliseconds(1'200));
  CHECK_FALSE((one.election.MayOrder() && one.election.fencing_token() == token));
}

TEST_CASE("A claim whose answer was lost is recognized by its lease") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  bool lost = false;
  REQUIRE(RunUntil(context, {&one}, [&] {
    one.store.lose_answers = !lost && !table.Range({kKey, ""}).entries.empty();
    lost = lost || one.store.lose_answers;
    return one.election.MayOrder();
  }));
}

TEST_CASE("A key state that is not recent is read again before a claim") {
  // Guards against a burst of claims when a fleet starts: 295 daemons that started together sent
  // 590 claims in three seconds, because each knew the key only from its first listing.
  boost::asio::io_context context;
  KeyValueTable table;
  // This candidate has seen that there is no leader and would claim the key 0.6 s later.
  Candidate two(context, table, "two", milliseconds(60), milliseconds(600));
  two.store.hold_grants = true;  // A claim begins with the grant of a lease.
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.leading(); }));
  // No watch event reaches the second candidate.
  RunUntil(
      context, {&one}, [] { return false; }, milliseconds(1'500));
  CHECK(two.store.held_grants() == 0);
  REQUIRE(two.election.leader());
  CHECK(two.election.leader()->name == "one");
}

TEST_CASE("A restarted leader claims its own key again with a higher token and a short wait") {
  boost::asio::io_context context;
  KeyValueTable table;
  std::int64_t token = 0;
  {
    Candidate one(context, table, "one");
    REQUIRE(RunUntil(context, {&one}, [&] {
      const auto& leader = one.election.leader();
      return one.election.MayOrder() && leader && leader->settled;
    }));
    token = one.election.fencing_token();
    context.stop();
  }
  boost::asio::io_context new_context;
  Candidate one(new_context, table, "one", milliseconds(600'000));
  REQUIRE(RunUntil(new_context, {&one}, [&] { return one.election.MayOrder(); }));
  CHECK(one.election.fencing_token() > token);
}

TEST_CASE(
    "A leader that lost its lease in an outage resumes without the wait if no other machine can "
    "have sent orders") {
  const OrderWindow::Time start{std::chrono::seconds(1000)};
  OrderWindow window(milliseconds(2'000));
  CHECK_FALSE(window.ContinuesOwnTerm(start, milliseconds(3'000)));  // This machine has never led.
  window.Win(start, start);
  window.Renew(start + milliseconds(500));
  window.Lose();
  // Another machine could win 2 s after the last renewal was sent and send orders 3 s later.
  CHECK(window.ContinuesOwnTerm(start + milliseconds(5'200), milliseconds(3'000)));
  CHECK_FALSE(window.ContinuesOwnTerm(start + milliseconds(5'400), milliseconds(3'000)));
  CHECK_FALSE(window.ContinuesOwnTerm(start + milliseconds(60'000), milliseconds(3'000)));
  window.NoteOtherLeader();  // Another machine has held the key in between.
  CHECK_FALSE(window.ContinuesOwnTerm(start + milliseconds(1'000), milliseconds(3'000)));
}

TEST_CASE("A leader record that cannot be decoded is skipped") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  KeyValue undecodable{kKey, "garbage", At(50), {}};
  one.election.KeyChanged(undecodable, At(50));
  CHECK_FALSE(one.election.leader().has_value());
}

TEST_CASE(
    "An undecodable value without a lease under the leader key does not prevent an election") {
  boost::asio::io_context context;
  KeyValueTable table;
  Transaction invalid_write;
  invalid_write.operations.emplace_back(PutOperation{kKey, "no record", {}});
  table.Transact(invalid_write);
  Candidate one(context, table, "one");
  Candidate two(context, table, "two");
  REQUIRE(RunUntil(context, {&one, &two},
                   [&] { return one.election.leading() || two.election.leading(); }));
  CHECK_FALSE((one.election.leading() && two.election.leading()));
}

TEST_CASE("The order window ends relative to the send time of a renewal, not to its answer") {
  rc::check([] {
    const auto start = BootClock::time_point(std::chrono::seconds(1000));
    OrderWindow window(milliseconds(2'000));
    window.Win(start, start + milliseconds(3'000));
    auto last_sent = start;
    auto now = start;
    for (int step = 0; step < 100; ++step) {
      now += milliseconds(*rc::gen::inRange(0, 1'500));
      if (*rc::gen::inRange(0, 2) == 0) {
        const auto sent = now - milliseconds(*rc::gen::inRange(0, 900));
        window.Renew(sent);
        last_sent = std::max(last_sent, sent);
      }
      if (window.MayOrder(now)) {
        RC_ASSERT(now < last_sent + milliseconds(1'000));
        RC_ASSERT(now >= start + milliseconds(3'000));
      }
    }
    window.Lose();
    RC_ASSERT(!window.MayOrder(start + milliseconds(3'001)));
  });
}

TEST_CASE("A leader that resumes after its lease lapsed sends no order and loses leadership") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  ClockJump jump;
  CHECK(one.election.MayOrder());
  jump.Sleep(milliseconds(
      1'400));  // Shorter than the lease, half of which is reserved for orders in flight.
  CHECK_FALSE(one.election.MayOrder());
  jump.Sleep(milliseconds(10'000));
  CHECK_FALSE(one.election.MayOrder());  // Before its timers have run.
  table.RevokeLease(
      table.Range({kKey, ""}).entries.at(0).lease);  // The store has revoked it meanwhile.
  REQUIRE(RunUntil(context, {&one}, [&] { return !one.election.leading(); }));
}

}  // namespace
}  // namespace moorfold
