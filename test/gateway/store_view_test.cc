#include "gateway/store_view.h"

#include <catch2/catch.hpp>

#include "common/boot_clock.h"
#include "view_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

TEST_CASE("Listing and watch together deliver every change in order and never go back") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 3; }));
  CHECK(fixture.view.servers.Find("i-1") != nullptr);
  fixture.PutVersion(9);
  fixture.PutServer("i-2");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-2") != nullptr; }));
  CHECK(fixture.Version() == 9);
  fixture.PutVersion(5);  // An older version is never applied.
  fixture.PutServer("i-1", "draining");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1")->record().draining; }));
  CHECK(fixture.Version() == 9);
  CHECK(fixture.configurations_applied == 2);
  CHECK(fixture.internal_key_values == std::vector<std::string>{"gone"});
}

TEST_CASE("Unreadable entries are skipped, and the view keeps its previous state") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 3; }));
  for (const char* bad : {"", "[]", "{\"version\":\"x\"}", "{\"version\":9,\"routes\":7}"})
    fixture.Put("op/config", bad);
  fixture.Put("strange/key", "x");
  fixture.PutServer("i-2");
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-2") != nullptr; }));
  CHECK(fixture.Version() == 3);
  CHECK(fixture.view.servers.Find("i-1")->record().slots == 4);
}

TEST_CASE(
    "A malformed entry of another writer removes its server only; other servers stay in use") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.PutServer("i-2");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.all().size() == 2; }));
  const std::string good = ViewFixture::Entry(1'000);
  const auto with = [&](const std::string& part, const std::string& other) {
    std::string text = good;
    return text.replace(text.find(part), part.size(), other);
  };
  const std::vector<std::string> entries = {
      "",
      "\xff\x01\x81",
      "[]",
      "{}",
      "{\"address\":\"nowhere\"}",
      with(R"("service":"s",)", ""),
      with(R"("service":"s")", R"("service":7)"),
      with(R"("zone":"z",)", ""),
      with(R"("version":"v1",)", ""),
      with(R"("state":"ready")", R"("state":"sleeping")"),
      with(R"("state":"ready",)", ""),
      with(R"("slots":4)", R"("slots":-4)"),
      with(R"("slots":4)", R"("slots":1e300)"),
      with(R"("slots":4)", R"("slots":"many")"),
      with(R"("slots":4,)", ""),
      with(R"("born":1000)", R"("born":"x")"),
      with(R"("born":1000)", R"("born":-1)"),
      with(R"("born":1000)", R"("born":1.5)"),
      with("127.0.0.1:1", "127.0.0.1:99999"),
      std::string(5'000, '['),
  };
  for (const std::string& entry : entries) {
    CAPTURE(entry);
    fixture.Put("servers/i-1", entry);
    CHECK(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") == nullptr; },
                           milliseconds(1'000)));
    CHECK(fixture.view.servers.Find("i-2") != nullptr);
    fixture.PutServer("i-1");
    CHECK(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") != nullptr; },
                           milliseconds(1'000)));
  }
}

TEST_CASE(
    "While the configuration is unreadable, the last one stays in use but is not reported as "
    "newest") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 3; }));
  fixture.store_view.SetWatching(true);
  fixture.Put("op/config", "\xff\xfe");
  fixture.RunUntil([] { return false; }, milliseconds(300));
  const auto known_at = fixture.view.configuration_current_at;
  const std::uint64_t reads = fixture.metrics.store_read.count();
  fixture.RunUntil([] { return false; }, milliseconds(500));
  CHECK(fixture.Version() == 3);
  CHECK(fixture.view.configuration_current_at == known_at);
  CHECK(fixture.view.servers_current_at > known_at);
  CHECK(fixture.metrics.store_read.count() - reads < 100);  // Reads stay within their usual rate.
  // No request waits for a read that cannot help.
  CHECK_FALSE(fixture.view.ShouldAwaitRead(fixture.view.servers_current_at));
  const std::optional<ChangeRequest> question = fixture.store_view.MakeChangeQuestion();
  REQUIRE(question);
  CHECK(fixture.store_view.MakeChangeAnswer(*question, 2, false).age_us > 400'000);
  fixture.PutVersion(3);  // Readable again, with the same version.
  CHECK(fixture.RunUntil([&] { return fixture.view.configuration_current_at > known_at; }));
}

TEST_CASE(
    "A restarted server replaces the earlier one of its id, whose later records are ignored") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.Put("servers/i-1", ViewFixture::Entry(1'000, "draining"));
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") != nullptr; }));
  const ServerPtr earlier = fixture.view.servers.Find("i-1");
  earlier->BeginRequest();
  fixture.Put("servers/i-1", ViewFixture::Entry(2'000));
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") != earlier; }));
  const ServerPtr later = fixture.view.servers.Find("i-1");
  REQUIRE(later != nullptr);
  CHECK(earlier->gone());
  CHECK(later->Usable(BootClock::now()));
  CHECK(later->in_flight() == 0);
  fixture.Put("servers/i-1", ViewFixture::Entry(1'000, "draining"));
  fixture.PutVersion(4);  // Delivered after the entry above.
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 4; }));
  CHECK(fixture.view.servers.Find("i-1") == later);
  CHECK_FALSE(later->record().draining);
}

TEST_CASE("Without an outage, the removal of an entry ends the use of its server at once") {
  // Found by randomized testing: a daemon that had just started applied the grace period of an
  // outage to a server that left without notice, and used it 2.4 s after its entry was removed.
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.Find("i-1") != nullptr; }));
  fixture.Remove("servers/i-1");
  fixture.PutVersion(4);  // Delivered in order, so the removal has been applied by then.
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 4; }));
  CHECK(fixture.view.servers.Find("i-1") == nullptr);
}

TEST_CASE("Servers whose entries expired in an outage stay in use for a grace period") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.PutServer("i-2");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.all().size() == 2; }));
  fixture.store.unreachable = true;
  fixture.store.EndWatch();
  fixture.RunUntil([] { return false; }, milliseconds(2'200));
  CHECK(fixture.view.servers.all().size() == 2);  // Known servers are kept in the meantime.
  fixture.Remove("servers/i-1");
  fixture.Remove("servers/i-2");
  fixture.PutVersion(4);
  fixture.store.unreachable = false;
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 4; }));
  CHECK(fixture.view.servers.all().size() == 2);
  fixture.PutServer("i-1");  // Its next heartbeat.
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.all().size() == 1; }));
  CHECK(fixture.view.servers.Find("i-1") != nullptr);
}

TEST_CASE("A watch that ended is started again after a listing") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 3; }));
  fixture.store.EndWatch();
  fixture.PutVersion(8);
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 8; }));
  fixture.PutVersion(12);
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 12; }));
}

/// Makes the view list the store once more, by discarding the store's history.
void ListAgain(ViewFixture& fixture) {
  fixture.store.history_gone = true;
  fixture.store.EndWatch();
  const std::uint64_t before = fixture.store.listings();
  REQUIRE(fixture.RunUntil([&] { return fixture.store.listings() > before; }));
  fixture.store.history_gone = false;
  fixture.RunUntil([] { return false; }, milliseconds(20));
}

TEST_CASE("Without an outage, a listing that lacks a server ends the use of that server at once") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.PutServer("i-2");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.all().size() == 2; }));
  fixture.Remove("servers/i-1");
  ListAgain(fixture);
  CHECK(fixture.view.servers.Find("i-1") == nullptr);
  CHECK(fixture.view.servers.Find("i-2") != nullptr);
}

TEST_CASE("Listings after an outage do not postpone the removal of servers that stay missing") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.PutServer("i-1");
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.view.servers.all().size() == 1; }));
  fixture.store.unreachable = true;
  fixture.store.EndWatch();
  fixture.RunUntil([] { return false; }, milliseconds(2'200));
  fixture.Remove("servers/i-1");
  fixture.store.unreachable = false;
  const auto back = BootClock::now();
  while (fixture.view.servers.Find("i-1") != nullptr &&
         BootClock::now() - back < milliseconds(4'000)) {
    ListAgain(fixture);
    fixture.PutServer("i-" + std::to_string(fixture.store.listings() + 10));
    fixture.RunUntil([] { return false; }, milliseconds(200));
  }
  CHECK(BootClock::now() - back < milliseconds(2'000));
}

TEST_CASE("Failed reads are counted by kind of read and reason") {
  ViewFixture fixture;
  fixture.PutVersion(3);
  fixture.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 3; }));
  fixture.RunUntil([] { return false; }, milliseconds(100));  // A read of changes is in progress.
  fixture.store.unreachable = true;
  fixture.store.EndWatch();
  fixture.RunUntil([] { return false; }, milliseconds(700));
  fixture.store.unreachable = false;
  fixture.PutVersion(4);
  REQUIRE(fixture.RunUntil([&] { return fixture.Version() == 4; }));
  const std::string figures = fixture.metrics.Render();
  CHECK(figures.find("store_reads_failed_total{read=\"changes\",reason=\"no_answer\"} 1") !=
        std::string::npos);
  CHECK(figures.find("store_reads_failed_total{read=\"listing\",reason=\"unavailable\"}") !=
        std::string::npos);
}

}  // namespace
}  // namespace moorfold
