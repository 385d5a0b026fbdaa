// Guards against comparing revisions of two eras of the store as if they were of one.
//
// Observed failure: requests reached a server 3.5 and 4.0 s after it had announced that it leaves;
// 3 s are allowed. 4 s before, the store had returned from an outage of 3 s, restored from an older
// copy: its revision dropped from 272 to 244 and then increased again. The leader applied the
// server's entry, written at revision 257, but relayed it to none of its 58 followers.
//
// Cause: all 58 had read revision 244 from the store, and within 0.6 s accepted revision 272 from
// the leader, which the restored store had not issued yet. The leader's change log kept the highest
// revision that it had ever seen, so its answers stated that nothing had changed up to 272. Each
// follower therefore treated entries written at 245 to 272 as old, in relayed answers, reads of
// changes and listings alike. Entries above 272 were applied everywhere.

#include <catch2/catch.hpp>

#include "relay_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBound{3'000};

/// Writes twenty changes, which a copy taken before does not contain.
void WriteMore(RelayFixture& fixture) {
  for (int change = 0; change < 20; ++change) fixture.PutServer("i-other", "ready", "");
}

/// Brings both daemons to the newest revision, then restores the store from a copy without the last
/// twenty changes and waits until both have read it.
void RestoreOlderCopy(RelayFixture& fixture) {
  const KeyValueTable copy = fixture.table;
  WriteMore(fixture);
  fixture.WaitForWatcher();
  fixture.Exchange();
  const std::int64_t before = fixture.table.revision().number;
  fixture.table.RestoreFrom(copy);
  REQUIRE(fixture.table.revision().number < before);
  fixture.watcher.store.EndWatch();
  ChangeAnswer retired;  // Makes the follower read the store, as an outage does.
  retired.leads = false;
  fixture.follower.store_view.TakeAnswer(retired);
  REQUIRE(fixture.RunUntil([&] {
    const std::int64_t now = fixture.table.revision().number;
    return fixture.watcher.metrics.store_revision_known == now &&
           fixture.follower.metrics.store_revision_known == now;
  }));
}

bool Draining(const Member& member, const std::string& server) {
  const ServerRecord* record = member.Record(server);
  return record != nullptr && record->draining;
}

TEST_CASE("A follower learns that a server is draining after the store's revisions went back") {
  RelayFixture fixture;
  RestoreOlderCopy(fixture);
  fixture.Exchange();
  fixture.PutServer("i-1", "draining", "");
  REQUIRE(fixture.RunUntil([&] { return Draining(fixture.watcher, "i-1"); }, kBound));
  const bool known = fixture.RunUntil(
      [&] {
        fixture.Exchange();
        return Draining(fixture.follower, "i-1");
      },
      kBound);
  CHECK(known);
}

TEST_CASE(
    "A reconnected daemon gets the current state although the restored store passed its revision") {
  boost::asio::io_context context;
  KeyValueTable table = InitialTable();
  Member member(context, table, milliseconds(20));
  const auto run_until = [&](const std::function<bool()>& condition) {
    const auto deadline = BootClock::now() + kBound;
    while (!condition() && BootClock::now() < deadline) {
      member.store.Deliver();
      if (context.stopped()) context.restart();
      context.run_one_for(milliseconds(5));
    }
    return condition();
  };
  REQUIRE(run_until([&] { return member.Record("i-1") != nullptr; }));
  const KeyValueTable copy = table;
  PutInto(table, "servers/i-2", ServerText("ready", ""));
  REQUIRE(run_until([&] { return member.Record("i-2") != nullptr; }));

  member.store.unreachable = true;
  member.store.EndWatch();
  table.RestoreFrom(copy);
  PutInto(table, "servers/i-1", ServerText("draining", ""));
  PutInto(table, "servers/i-2", ServerText("draining", ""));
  PutInto(table, "servers/i-3", ServerText("ready", ""));
  member.store.unreachable = false;

  REQUIRE(run_until([&] { return member.Record("i-3") != nullptr; }));
  CHECK(run_until([&] { return Draining(member, "i-1"); }));
  CHECK(run_until([&] { return Draining(member, "i-2"); }));
}

}  // namespace
}  // namespace moorfold
