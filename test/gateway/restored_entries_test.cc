// A store that came back from an older copy names servers as they were, and lacks what was written
// since: what a daemon knows of them by then holds, and what is ours is written again.

#include <catch2/catch.hpp>

#include "fleet/fleet_messages.h"
#include "fleet/kept_record.h"
#include "quarantine/quarantine_record.h"
#include "view_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// A view on a store with two servers, of which copies can be brought back.
struct RestoredFixture : ViewFixture {
  RestoredFixture() {
    PutVersion(3);
    PutServer("i-1");
    PutServer("i-2");
    Start();
    REQUIRE(RunUntil([&] { return view.servers.all().size() == 2; }));
  }
  /// Until the store as it came back has been listed.
  void ComeBackFrom(const KeyValueTable& copy) {
    table.RestoreFrom(copy);
    store.EndWatch();
    REQUIRE(RunUntil([&] { return metrics.store_era == table.era(); }));
    RunUntil([] { return false; }, milliseconds(30));
  }
  bool Usable(const std::string& id) {
    const ServerPtr server = view.servers.Find(id);
    return server != nullptr && server->Usable(BootClock::now());
  }
};

TEST_CASE("A server that has said that it leaves stays out of use where a copy calls it ready") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.PutServer("i-1", "draining");
  REQUIRE(fixture.RunUntil([&] { return !fixture.Usable("i-1"); }));
  fixture.ComeBackFrom(copy);
  CHECK_FALSE(fixture.Usable("i-1"));
  CHECK(fixture.Usable("i-2"));
  CHECK(fixture.metrics.stale_ready_states_overridden > 0);
  fixture.Put("servers/i-1", ViewFixture::Entry(2'000));  // It has started again.
  CHECK(fixture.RunUntil([&] { return fixture.Usable("i-1"); }));
}

TEST_CASE("A server whose entry had gone is not used just because a copy names it") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.Remove("servers/i-1");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") == nullptr; }));
  fixture.ComeBackFrom(copy);
  CHECK_FALSE(fixture.Usable("i-1"));
  CHECK(fixture.metrics.restored_entries_deferred == 1);
  fixture.PutServer("i-1");  // It writes: it lives.
  CHECK(fixture.RunUntil([&] { return fixture.Usable("i-1"); }, milliseconds(1'000)));
}

TEST_CASE("An entry of a copy is believed once it has outlasted the silence of a dead server") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.Remove("servers/i-1");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") == nullptr; }));
  fixture.ComeBackFrom(copy);
  CHECK(fixture.RunUntil([&] { return fixture.Usable("i-1"); }, milliseconds(8'000)));
}

TEST_CASE("Servers that a copy lacks go on being used for a moment, until they write again") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.PutServer("i-3");
  fixture.PutServer("i-4");
  REQUIRE(fixture.RunUntil([&] { return fixture.Usable("i-4"); }));
  fixture.ComeBackFrom(copy);
  CHECK(fixture.Usable("i-3"));
  CHECK(fixture.Usable("i-4"));
  fixture.PutServer("i-3");
  CHECK(fixture.RunUntil([&] { return !fixture.Usable("i-4"); }, milliseconds(3'000)));
  CHECK(fixture.Usable("i-3"));
}

TEST_CASE("A configuration that a copy lacks goes on, and is not called newest meanwhile") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.PutVersion(9);
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 9; }));
  fixture.ComeBackFrom(copy);
  CHECK(fixture.Version() == 9);
  const auto known_at = fixture.view.configuration_current_at;
  const std::uint64_t reads = fixture.metrics.store_read.count();
  fixture.RunUntil([] { return false; }, milliseconds(300));
  CHECK(fixture.view.configuration_current_at == known_at);
  CHECK(fixture.view.servers_current_at > known_at);
  CHECK(fixture.metrics.store_read.count() - reads < 100);  // Reads keep their pace.
  fixture.PutVersion(9);
  CHECK(fixture.RunUntil([&] { return fixture.view.configuration_current_at > known_at; }));
  fixture.PutVersion(12);
  CHECK(fixture.RunUntil([&] { return fixture.Version() == 12; }));
}

TEST_CASE("Own keys are told as the copy has them, also where it lacks them") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.Put("moorfold/leader", "someone");
  REQUIRE(fixture.RunUntil([&] { return fixture.own_key.back() == "someone"; }));
  fixture.ComeBackFrom(copy);
  CHECK(fixture.own_key.back() == "gone");
}

TEST_CASE("A sign of a later era makes a daemon list the store, though no read has failed") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  for (int change = 0; change < 5; ++change) fixture.PutServer("i-9");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-9") != nullptr; }));
  fixture.table.RestoreFrom(copy);
  // The numbers pass what the daemon knows before it reads again.
  for (int change = 0; change < 30; ++change) fixture.PutServer("i-2", "draining");
  fixture.store_view.NoteEra(fixture.table.era());
  CHECK(fixture.RunUntil([&] { return !fixture.Usable("i-2"); }, milliseconds(2'000)));
}

CaseNews Quarantined(const std::string& body) {
  CaseNews news;
  news.fingerprint = FingerprintOf({"host", "/", "model", body});
  news.service = "s";
  news.quarantined_versions = {"v1"};
  return news;
}

TEST_CASE("What is ours is written again by the leader that remembers it") {
  boost::asio::io_context context;
  KeyValueTable table;
  FakeKeyValueStore store(context, table);
  EventLog log(-1, {});
  QuarantineRecord quarantine(store, log, "moorfold/quarantine", [](const QuarantineNotice&) {});
  KeptRecord<CreditSharing> sharing(store, log, "moorfold/sharing", LogEvent::kSharingNotStored);
  quarantine.Seen("", table.revision());
  sharing.Seen(std::nullopt, table.revision());
  const KeyValueTable copy = table;
  const QuarantineNotice cases{{Quarantined("a")}};
  const CreditSharing shares{7, {"127.0.0.1:1"}};
  const auto write_until_stored = [&] {
    const auto give_up = BootClock::now() + milliseconds(6'000);
    while (table.Range({"moorfold/", "moorfold0"}).entries.size() != 2 &&
           BootClock::now() < give_up) {
      quarantine.Write(cases);
      sharing.Write(shares);
      context.restart();
      context.run_for(milliseconds(50));
    }
    return table.Range({"moorfold/", "moorfold0"}).entries.size() == 2;
  };
  REQUIRE(write_until_stored());
  table.RestoreFrom(copy);
  quarantine.Seen("", table.revision());  // As the listing of the copy tells.
  sharing.Seen(std::nullopt, table.revision());
  CHECK(write_until_stored());
}

}  // namespace
}  // namespace moorfold
