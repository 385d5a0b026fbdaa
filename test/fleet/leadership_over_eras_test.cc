// Leader election when the store is restored from an older copy. The leader key, its lease and
// their revisions are gone or outdated, and the store issues the same numbers again. No machine may
// lead on the basis of the state before the restore.

#include <catch2/catch.hpp>

#include "candidate.h"
#include "fleet/fencing_token.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// Half of the candidates' lease, the longest order and the separation between orders.
constexpr milliseconds kOrdersEndAfterRestore{750 + 600 + 60};

/// Delivers the current state of the leader key to the candidate, as a listing of the store does.
void DeliverListing(Candidate& candidate, KeyValueTable& table) {
  const RangeResult read = table.Range({kLeaderKey, ""});
  if (read.entries.empty())
    candidate.election.KeyChanged(std::nullopt, read.revision);
  else
    candidate.election.KeyChanged(read.entries.front(), read.entries.front().mod_revision);
}

void Write(KeyValueTable& table, int changes) {
  Transaction transaction;
  transaction.operations.emplace_back(PutOperation{"servers/i-1", "x", {}});
  for (int change = 0; change < changes; ++change) table.Transact(transaction);
}

TEST_CASE("Tokens rise with restores of the store and with revisions, and stay exact as doubles") {
  CHECK(FencingToken({kEraUntold, 7}) == 7);
  CHECK(FencingToken({0, 244}) == 244);  // The same token as in builds without store eras.
  CHECK(FencingToken({1, 1}) > FencingToken({0, 1'000'000'000}));
  CHECK(FencingToken({2, 2}) > FencingToken({2, 1}));
  CHECK(FencingToken({3, 1}) > FencingToken({2, kTokensPerEra * 5}));
  CHECK(FencingToken({1LL << 40, 5}) <= kMaxFencingToken);
  CHECK(static_cast<std::int64_t>(static_cast<double>(kMaxFencingToken)) == kMaxFencingToken);
}

TEST_CASE("A leader stops at the first sign of a later era, even if its lease seems valid") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  const KeyValueTable copy = table;  // Contains the key and the lease.
  Write(table, 20);
  table.RestoreFrom(copy);
  const std::int64_t token = one.election.fencing_token();
  bool answered = false;
  one.store.Range({"any", ""}, [&](const Outcome<RangeResult>&) { answered = true; });
  REQUIRE(RunUntil(context, {}, [&] { return answered; }));
  CHECK_FALSE((one.election.MayOrder() && one.election.fencing_token() == token));
  REQUIRE(RunUntil(context, {}, [&] { return one.election.MayOrder(); }));
  CHECK(one.election.fencing_token() > token);  // Although the store issues lower revisions.
}

TEST_CASE("A lease of an earlier era is not renewed when its number now belongs to another lease") {
  boost::asio::io_context context;
  KeyValueTable table;
  const KeyValueTable empty = table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  const LeaseId lease = table.Range({kLeaderKey, ""}).entries.front().lease;
  one.store.unreachable = true;
  table.RestoreFrom(empty);
  const LeaseId other = table.GrantLease(std::chrono::minutes(10), WallClock().Now());
  REQUIRE(other.number == lease.number);
  CHECK(other != lease);
  Transaction claim;
  claim.operations.emplace_back(PutOperation{
      kLeaderKey, EncodeMessage(LeaderRecord{"two", "127.0.0.1:2", true, false, {}}), other});
  table.Transact(claim);
  one.store.unreachable = false;
  CHECK(RunUntil(context, {}, [&] { return !one.election.leading(); }));
  CHECK_FALSE(RunUntil(
      context, {}, [&] { return one.election.MayOrder(); }, milliseconds(1'000)));
}

TEST_CASE("A new leader of a later era waits until the previous leader's orders have ended") {
  boost::asio::io_context context;
  KeyValueTable table;
  const KeyValueTable empty = table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  Candidate two(context, table, "two");
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return two.election.leader().has_value(); }));
  one.store.unreachable = true;  // Partitioned: it leads until half of its lease is over.
  table.RestoreFrom(empty);
  const auto restored_at = BootClock::now();
  DeliverListing(two, table);
  REQUIRE(RunUntil(context, {}, [&] { return two.election.leading(); }));
  CHECK(BootClock::now() - restored_at < kOrdersEndAfterRestore);  // The key is free at once.
  REQUIRE(RunUntil(context, {}, [&] { return two.election.MayOrder(); }));
  CHECK(BootClock::now() - restored_at >= kOrdersEndAfterRestore);
  CHECK_FALSE(one.election.MayOrder());
  CHECK(two.election.fencing_token() > one.election.fencing_token());
}

TEST_CASE("A restarted leader does not trust its own settled record from a restored copy") {
  boost::asio::io_context context;
  KeyValueTable table;
  auto one = std::make_unique<Candidate>(context, table, "one");
  REQUIRE(RunUntil(context, {one.get()}, [&] {
    const auto& leader = one->election.leader();
    return one->election.MayOrder() && leader && leader->settled;
  }));
  const KeyValueTable copy = table;
  Candidate two(context, table, "two");
  bool resigned = false;
  one->election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {one.get(), &two}, [&] { return two.election.MayOrder(); }));
  two.election.NoteOrder(
      "i-1");  // It sends an order and is partitioned when the store is restored.
  two.store.unreachable = true;
  table.RestoreFrom(copy);
  const auto restored_at = BootClock::now();
  Candidate restarted(context, table, "one");  // "one" restarts and sees its own old record.
  DeliverListing(restarted, table);
  REQUIRE(RunUntil(context, {}, [&] { return restarted.election.MayOrder(); }));
  CHECK(BootClock::now() - restored_at >= kOrdersEndAfterRestore);
  CHECK_FALSE(restarted.election.load_history_known());
}

TEST_CASE(
    "A history handed over within the same era is inherited without the wait after a restore") {
  boost::asio::io_context context;
  KeyValueTable table;
  table.RestoreFrom(KeyValueTable{});
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  Candidate two(context, table, "two");  // Sees the era for the first time now.
  DeliverListing(two, table);
  const auto started_at = BootClock::now();
  bool resigned = false;
  one.election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {&one}, [&] { return resigned; }));
  DeliverListing(two, table);
  two.election.ReadLeaderKeyNow(true);
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return two.election.MayOrder(); }));
  CHECK(BootClock::now() - started_at < kOrdersEndAfterRestore);
  CHECK(two.election.load_history_known());
}

TEST_CASE(
    "A leader that resigns while its settled record is being written still hands over its "
    "history") {
  boost::asio::io_context context;
  KeyValueTable table;
  table.RestoreFrom(KeyValueTable{});
  Candidate one(context, table, "one");
  // The store has accepted the settled record, but its answer is still in flight.
  REQUIRE(RunUntil(context, {&one}, [&] {
    const RangeResult read = table.Range({kLeaderKey, ""});
    return !read.entries.empty() && DecodeMessage<LeaderRecord>(read.entries.front().value).settled;
  }));
  bool resigned = false;
  one.election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {&one}, [&] { return resigned; }));
  const RangeResult left = table.Range({kLeaderKey, ""});
  REQUIRE(left.entries.size() == 1);
  CHECK(DecodeMessage<LeaderRecord>(left.entries.front().value).released);
}

TEST_CASE(
    "A leader that resigns after another machine took the key leaves that machine's record "
    "intact") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  const LeaseId lease = table.GrantLease(std::chrono::minutes(10), WallClock().Now());
  Transaction claim;
  claim.operations.emplace_back(PutOperation{
      kLeaderKey, EncodeMessage(LeaderRecord{"two", "127.0.0.1:2", true, false, {}}), lease});
  table.Transact(claim);
  bool resigned = false;
  one.election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {}, [&] { return resigned; }));
  const RangeResult left = table.Range({kLeaderKey, ""});
  REQUIRE(left.entries.size() == 1);
  const auto record = DecodeMessage<LeaderRecord>(left.entries.front().value);
  CHECK(record.name == "two");
  CHECK_FALSE(record.released);
}

}  // namespace
}  // namespace moorfold
