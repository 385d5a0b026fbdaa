// A daemon of a large fleet starts and catches up without listing all servers from the store.

#include <catch2/catch.hpp>

#include "fleet/fleet_messages.h"
#include "gateway/servers_page.h"
#include "relay_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kModel = R"({"name":"m","version":1,"adapters":["a1"]})";
constexpr std::size_t kPageEntries = 50;
constexpr int kServers = 400;

std::string ServerName(int number) { return "i-" + std::to_string(1'000 + number); }

/// A store with more servers than fit in a page, a relay that has listed it, and a starting daemon.
struct LargeFleet {
  LargeFleet() : table(TableOfAllServers()), relay(context, table, milliseconds(20)) {
    REQUIRE(RunUntil([&] { return relay.Record(ServerName(kServers - 1)) != nullptr; }));
    relay.store_view.SetWatching(true);
    starting.emplace(context, table, std::chrono::hours(1), kPageEntries);
    REQUIRE(RunUntil([&] { return starting->Version() == 3; }));
  }
  static KeyValueTable TableOfAllServers() {
    KeyValueTable table = InitialTable();
    for (int server = 0; server < kServers; ++server)
      PutInto(table, "servers/" + ServerName(server), ServerText("ready", kModel));
    return table;
  }
  void Put(const std::string& id, const std::string& state) {
    PutInto(table, "servers/" + id, ServerText(state, kModel));
  }
  void Remove(const std::string& id) {
    Transaction transaction;
    transaction.operations.emplace_back(DeleteOperation{"servers/" + id});
    table.Transact(transaction);
  }
  /// Exchanges pages until the daemon has all servers. @return the number of pages.
  int TakeAllPages() {
    int pages = 0;
    while (const std::optional<ServersRequest> request =
               starting->store_view.NextServersQuestion()) {
      const ServersPage page = relay.store_view.MakeServersPage(*request);
      CHECK(EncodeMessage(FleetMessage(page)).size() < 8'000);
      starting->store_view.ApplyServersPage(page, "relay");
      ++pages;
    }
    return pages;
  }
  ChangeAnswer Exchange() {
    const std::optional<ChangeRequest> request = starting->store_view.MakeChangeQuestion();
    REQUIRE(request);
    ChangeAnswer answer = relay.store_view.MakeChangeAnswer(*request, 1'000, true);
    starting->store_view.TakeAnswer(answer);
    return answer;
  }
  /// Waits until the relay has all earlier writes.
  void WaitForWatcher() {
    const std::string marker = "i-marker-" + std::to_string(++markers_);
    Put(marker, "ready");
    REQUIRE(RunUntil([&] { return relay.Record(marker) != nullptr; }));
  }
  bool RunUntil(const std::function<bool()>& condition,
                milliseconds timeout = milliseconds(20'000)) {
    const auto deadline = BootClock::now() + timeout;
    while (!condition() && BootClock::now() < deadline) {
      relay.store.Deliver();
      if (context.stopped()) context.restart();
      if (context.run_one_for(milliseconds(5)) == 0) std::this_thread::sleep_for(milliseconds(1));
    }
    return condition();
  }

  boost::asio::io_context context;
  KeyValueTable table;
  Member relay;
  std::optional<Member> starting;

 private:
  int markers_ = 0;
};

TEST_CASE("A configuration is in force before any server is listed") {
  LargeFleet fleet;
  CHECK(fleet.starting->store_view.AwaitsServers());
  CHECK(fleet.starting->view.ConfigurationCurrent(BootClock::now()));
  CHECK(fleet.starting->view.servers.all().empty());
  // No relay is named yet, and the daemon does not read the store meanwhile.
  fleet.RunUntil([] { return false; }, milliseconds(200));
  CHECK(fleet.starting->store.listings() == 0);
  CHECK_FALSE(fleet.starting->store_view.NextServersQuestion());
}

TEST_CASE("Without relays a daemon lists the servers immediately") {
  LargeFleet fleet;
  fleet.starting->store_view.SetRelays(false);
  REQUIRE(fleet.RunUntil([&] { return fleet.starting->Record(ServerName(399)) != nullptr; }));
  CHECK(fleet.starting->store.listings() == 1);
}

TEST_CASE("All servers come from a relay, followed by the changes made meanwhile") {
  LargeFleet fleet;
  fleet.starting->store_view.SetRelays(true);
  const std::optional<ServersRequest> first = fleet.starting->store_view.NextServersQuestion();
  REQUIRE(first);
  const ServersPage page = fleet.relay.store_view.MakeServersPage(*first);
  REQUIRE(page.more);
  fleet.starting->store_view.ApplyServersPage(page, "relay");
  // Changes before and after the current page position.
  fleet.Put(ServerName(0), "draining");
  fleet.Remove(ServerName(1));
  fleet.Remove(ServerName(398));
  fleet.WaitForWatcher();
  CHECK(fleet.TakeAllPages() > 2);
  CHECK_FALSE(fleet.starting->store_view.AwaitsServers());
  CHECK(fleet.starting->Record(ServerName(398)) == nullptr);
  fleet.Exchange();
  CHECK(fleet.starting->Record(ServerName(0))->draining);
  CHECK(fleet.starting->Record(ServerName(1)) == nullptr);
  CHECK(fleet.starting->view.servers.all().size() == fleet.relay.view.servers.all().size());
  CHECK(fleet.starting->store.listings() == 0);
}

TEST_CASE("A relay that has not read the store itself declines") {
  LargeFleet fleet;
  fleet.starting->store_view.SetRelays(true);
  const std::optional<ServersRequest> request = fleet.starting->store_view.NextServersQuestion();
  REQUIRE(request);
  Member another(fleet.context, fleet.table, std::chrono::hours(1), kPageEntries);
  const ServersPage page = another.store_view.MakeServersPage(*request);
  CHECK_FALSE(page.relays);
  CHECK(fleet.starting->store_view.ApplyServersPage(page, "relay") ==
        SnapshotReader::PageResult::kDeclined);
  CHECK(fleet.starting->store_view.AwaitsServers());
}

TEST_CASE(
    "Changes that exceed one datagram come in parts, and count as complete only with the last") {
  LargeFleet fleet;
  fleet.starting->store_view.SetRelays(true);
  fleet.TakeAllPages();
  fleet.Exchange();
  const auto known_at = fleet.starting->view.servers_current_at;
  for (int server = 0; server < 200; ++server) fleet.Put(ServerName(server), "draining");
  fleet.WaitForWatcher();
  ChangeAnswer answer = fleet.Exchange();
  REQUIRE(answer.partial);
  CHECK(EncodeMessage(FleetMessage(answer)).size() < 8'000);
  CHECK(fleet.starting->view.servers_current_at == known_at);
  CHECK(fleet.starting->Record(ServerName(0))->draining);
  int parts = 1;
  for (; answer.partial; ++parts) answer = fleet.Exchange();
  CHECK(parts > 2);
  CHECK(fleet.starting->Record(ServerName(199))->draining);
  CHECK(fleet.starting->view.servers_current_at > known_at);
  CHECK(fleet.starting->store.listings() == 0);
}

TEST_CASE(
    "If the relay's log does not reach back, servers are fetched again from it, not the store") {
  LargeFleet fleet;
  fleet.starting->store_view.SetRelays(true);
  fleet.TakeAllPages();
  fleet.Exchange();
  for (int round = 0; round < 4; ++round)
    for (int server = 0; server < kServers; ++server)
      fleet.Put(ServerName(server) + "-" + std::to_string(round), "ready");
  fleet.Remove(ServerName(7));
  fleet.WaitForWatcher();
  CHECK(fleet.Exchange().gap);
  CHECK(fleet.TakeAllPages() > 10);
  CHECK(fleet.starting->Record(ServerName(7)) == nullptr);
  CHECK(fleet.starting->view.servers.all().size() == fleet.relay.view.servers.all().size());
  CHECK(fleet.starting->store.listings() == 0);
}

TEST_CASE(
    "A newer configuration comes from a relay, also if the store is unreachable for the daemon") {
  LargeFleet fleet;
  fleet.starting->store_view.SetRelays(true);
  fleet.TakeAllPages();
  fleet.Exchange();
  fleet.starting->store.unreachable = true;
  PutInto(fleet.table, "op/config", R"({"version":9,"routes":[],"services":[]})");
  fleet.WaitForWatcher();
  fleet.Exchange();
  CHECK(fleet.starting->Version() == 3);
  const auto request = fleet.starting->store_view.NextConfigurationQuestion();
  REQUIRE(request);
  const std::optional<ConfigurationPart> part =
      fleet.relay.store_view.MakeConfigurationPart(*request);
  REQUIRE(part);
  fleet.starting->store_view.ApplyConfigurationPart(*part);
  CHECK(fleet.starting->Version() == 9);
  CHECK_FALSE(fleet.starting->store_view.NextConfigurationQuestion());
  fleet.Exchange();
  CHECK(fleet.starting->view.ConfigurationCurrent(BootClock::now()));
  // A relay does not answer for a version other than its own.
  CHECK_FALSE(fleet.relay.store_view.MakeConfigurationPart({8, 0}));
}

TEST_CASE("A configuration that no relay provides is read from the store") {
  LargeFleet fleet;
  fleet.starting->store_view.SetRelays(true);
  fleet.TakeAllPages();
  fleet.Exchange();
  PutInto(fleet.table, "op/config", R"({"version":9,"routes":[],"services":[]})");
  fleet.WaitForWatcher();
  fleet.Exchange();
  REQUIRE(fleet.RunUntil([&] { return fleet.starting->Version() == 9; }));
}

}  // namespace
}  // namespace moorfold
