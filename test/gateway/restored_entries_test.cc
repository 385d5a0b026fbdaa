// After a store is restored from an older copy, it contains outdated server entries and lacks
// recent ones. These tests check that a daemon then keeps what it knows of the servers, and that
// moorfold's own records are written again.

#include <catch2/catch.hpp>

#include "fleet/fleet_messages.h"
#include "fleet/published_record.h"
#include "quarantine/quarantine_record.h"
#include "view_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// A view on a store with two servers; the store can be restored from a copy.
struct RestoredFixture : ViewFixture {
  RestoredFixture() {
    PutVersion(3);
    PutServer("i-1");
    PutServer("i-2");
    Start();
    REQUIRE(RunUntil([&] { return view.servers.all().size() == 2; }));
  }
  /// Restores the store and waits until the view has listed it.
  void RestoreStoreFrom(const KeyValueTable& copy) {
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

TEST_CASE("A leaving server stays out of use although a restored copy states that it is ready") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.PutServer("i-1", "draining");
  REQUIRE(fixture.RunUntil([&] { return !fixture.Usable("i-1"); }));
  fixture.RestoreStoreFrom(copy);
  CHECK_FALSE(fixture.Usable("i-1"));
  CHECK(fixture.Usable("i-2"));
  CHECK(fixture.metrics.stale_ready_states_overridden > 0);
  fixture.Put("servers/i-1", ViewFixture::Entry(2'000));  // The server has restarted.
  CHECK(fixture.RunUntil([&] { return fixture.Usable("i-1"); }));
}

TEST_CASE("A server whose entry was removed is not used only because a restored copy contains it") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.Remove("servers/i-1");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") == nullptr; }));
  fixture.RestoreStoreFrom(copy);
  CHECK_FALSE(fixture.Usable("i-1"));
  CHECK(fixture.metrics.restored_entries_deferred == 1);
  fixture.PutServer("i-1");  // A write proves that the server is running.
  CHECK(fixture.RunUntil([&] { return fixture.Usable("i-1"); }, milliseconds(1'000)));
}

TEST_CASE(
    "An entry of a restored copy is used once it has outlasted the expiry time of a dead server") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.Remove("servers/i-1");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") == nullptr; }));
  fixture.RestoreStoreFrom(copy);
  CHECK(fixture.RunUntil([&] { return fixture.Usable("i-1"); }, milliseconds(8'000)));
}

TEST_CASE(
    "Servers missing from a restored copy stay in use for a grace period until they write again") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.PutServer("i-3");
  fixture.PutServer("i-4");
  REQUIRE(fixture.RunUntil([&] { return fixture.Usable("i-4"); }));
  fixture.RestoreStoreFrom(copy);
  CHECK(fixture.Usable("i-3"));
  CHECK(fixture.Usable("i-4"));
  fixture.PutServer("i-3");
  CHECK(fixture.RunUntil([&] { return !fixture.Usable("i-4"); }, milliseconds(3'000)));
  CHECK(fixture.Usable("i-3"));
}

TEST_CASE(
    "A configuration missing from a restored copy stays in use but is not reported as newest") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.PutVersion(9);
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 9; }));
  fixture.RestoreStoreFrom(copy);
  CHECK(fixture.Version() == 9);
  const auto known_at = fixture.view.configuration_current_at;
  const std::uint64_t reads = fixture.metrics.store_read.count();
  fixture.RunUntil([] { return false; }, milliseconds(300));
  CHECK(fixture.view.configuration_current_at == known_at);
  CHECK(fixture.view.servers_current_at > known_at);
  CHECK(fixture.metrics.store_read.count() - reads < 100);  // Reads stay within their usual rate.
  fixture.PutVersion(9);
  CHECK(fixture.RunUntil([&] { return fixture.view.configuration_current_at > known_at; }));
  fixture.PutVersion(12);
  CHECK(fixture.RunUntil([&] { return fixture.Version() == 12; }));
}

TEST_CASE(
    "Handlers of internal keys receive the state of the restored copy, also for missing keys") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  fixture.Put("moorfold/leader", "someone");
  REQUIRE(fixture.RunUntil([&] { return fixture.internal_key_values.back() == "someone"; }));
  fixture.RestoreStoreFrom(copy);
  CHECK(fixture.internal_key_values.back() == "gone");
}

TEST_CASE("A report of a later era makes a daemon list the store although no read has failed") {
  RestoredFixture fixture;
  const KeyValueTable copy = fixture.table;
  for (int change = 0; change < 5; ++change) fixture.PutServer("i-9");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-9") != nullptr; }));
  fixture.table.RestoreFrom(copy);
  // The revision numbers exceed those that the daemon knows before it reads again.
  for (int change = 0; change < 30; ++change) fixture.PutServer("i-2", "draining");
  fixture.store_view.ObserveEra(fixture.table.era());
  CHECK(fixture.RunUntil([&] { return !fixture.Usable("i-2"); }, milliseconds(2'000)));
}

CaseUpdate Quarantined(const std::string& body) {
  CaseUpdate case_update;
  case_update.fingerprint = FingerprintOf({"host", "/", "model", body});
  case_update.service = "s";
  case_update.quarantined_versions = {"v1"};
  return case_update;
}

TEST_CASE("The leader writes its own records again after the store lost them in a restore") {
  boost::asio::io_context context;
  KeyValueTable table;
  FakeKeyValueStore store(context, table);
  EventLog log(-1, {});
  QuarantineRecord quarantine(store, log, "moorfold/quarantine", [](const QuarantineNotice&) {});
  PublishedRecord<CreditSharing> sharing(store, log, "moorfold/sharing",
                                         LogEvent::kSharingNotStored);
  quarantine.Seen("", table.revision());
  sharing.Seen(std::nullopt, table.revision());
  const KeyValueTable copy = table;
  const QuarantineNotice cases{{Quarantined("a")}};
  const CreditSharing shares{7, {"127.0.0.1:1"}};
  const auto write_until_both_stored = [&] {
    const auto deadline = BootClock::now() + milliseconds(6'000);
    while (table.Range({"moorfold/", "moorfold0"}).entries.size() != 2 &&
           BootClock::now() < deadline) {
      quarantine.Write(cases);
      sharing.Write(shares);
      context.restart();
      context.run_for(milliseconds(50));
    }
    return table.Range({"moorfold/", "moorfold0"}).entries.size() == 2;
  };
  REQUIRE(write_until_both_stored());
  table.RestoreFrom(copy);
  quarantine.Seen("", table.revision());  // As in a listing of the restored copy.
  sharing.Seen(std::nullopt, table.revision());
  CHECK(write_until_both_stored());
}

}  // namespace
}  // namespace moorfold
