#include <catch2/catch.hpp>

#include "fleet/fleet_messages.h"
#include "relay_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kModel = R"({"name":"m","version":1,"adapters":["a1"]})";

TEST_CASE("A follower gets servers from the watcher and does not read the store") {
  RelayFixture fixture;
  fixture.PutServer("i-2", "ready", kModel);
  fixture.PutServer("i-1", "draining", "");
  fixture.WaitForWatcher();
  fixture.follower.store.unreachable = true;  // The store is not needed.
  fixture.Exchange();
  REQUIRE(fixture.follower.Record("i-2") != nullptr);
  CHECK(fixture.follower.Record("i-2")->models == std::vector<LoadedModel>{{"m", {"a1"}}});
  CHECK(fixture.follower.Record("i-2")->endpoint.port == 1);
  CHECK(fixture.follower.Record("i-1")->draining);
  fixture.Remove("servers/i-2");
  fixture.WaitForWatcher();
  fixture.Exchange();
  CHECK(fixture.follower.Record("i-2") == nullptr);
  CHECK(fixture.follower.metrics.relay_answers_taken == 2);
  CHECK(fixture.follower.view.ConfigurationCurrent(BootClock::now()));
}

TEST_CASE("A heartbeat without changes relevant to request routing is not relayed") {
  RelayFixture fixture;
  fixture.WaitForWatcher();
  fixture.Exchange();
  for (int heartbeat = 0; heartbeat < 5; ++heartbeat) fixture.PutServer("i-1", "ready", "");
  fixture.PutServer("i-3", "ready", "");
  fixture.WaitForWatcher();
  const ChangeAnswer answer = fixture.Exchange();
  std::vector<std::string> changed_servers;
  for (const ServerChange& change : answer.servers) changed_servers.push_back(change.record.id);
  CHECK(changed_servers == std::vector<std::string>{"i-3", "i-marker-2"});
}

TEST_CASE("A configuration is read from the store when the watcher has a newer one") {
  RelayFixture fixture;
  fixture.Put("op/config", R"({"version":9,"routes":[],"services":[]})");
  fixture.PutServer("i-2", "ready", "");
  fixture.WaitForWatcher();
  CHECK(fixture.follower.Version() == 3);
  fixture.Exchange();
  REQUIRE(fixture.RunUntil([&] { return fixture.follower.Version() == 9; }));
  CHECK(fixture.follower.Record("i-2") != nullptr);
}

TEST_CASE("Changes that exceed one datagram are read from the store") {
  RelayFixture fixture;
  fixture.WaitForWatcher();
  fixture.Exchange();
  for (int server = 0; server < 20; ++server)
    fixture.PutServer("i-" + std::to_string(100 + server), "ready", kModel);
  fixture.WaitForWatcher();
  const ChangeAnswer whole = fixture.Exchange();
  CHECK(whole.servers.size() == 21);
  CHECK(EncodeMessage(FleetMessage(whole)).size() < 8'000);
  for (int server = 0; server < 120; ++server)
    fixture.PutServer("i-" + std::to_string(200 + server), "ready", kModel);
  fixture.WaitForWatcher();
  const ChangeAnswer gap = fixture.Exchange();
  CHECK(gap.gap);
  CHECK(gap.servers.empty());
  REQUIRE(fixture.RunUntil([&] {
    return fixture.follower.view.servers.all().size() == fixture.watcher.view.servers.all().size();
  }));
}

TEST_CASE("A follower at a revision older than the watcher's log reads the store itself") {
  RelayFixture fixture;
  fixture.watcher.store.EndWatch();
  fixture.watcher.store.unreachable = true;
  const std::optional<ChangeRequest> first_question =
      fixture.follower.store_view.MakeChangeQuestion();
  REQUIRE(first_question);
  ChangeRequest before_all = *first_question;
  before_all.revision = {fixture.table.era(), 0};
  const ChangeAnswer answer = fixture.watcher.store_view.MakeChangeAnswer(before_all, 20, false);
  CHECK(answer.gap);
  CHECK(answer.servers.empty());
  fixture.PutServer("i-2", "ready", "");
  fixture.follower.store_view.TakeAnswer(answer);
  REQUIRE(fixture.RunUntil([&] { return fixture.follower.Record("i-2") != nullptr; }));
}

TEST_CASE("An answer from a former leader makes a follower read the store") {
  RelayFixture fixture;
  ChangeAnswer answer;
  answer.asked_at_us = fixture.follower.store_view.MakeChangeQuestion()->asked_at_us;
  answer.leads = false;
  fixture.PutServer("i-2", "ready", "");
  fixture.follower.store_view.TakeAnswer(answer);
  REQUIRE(fixture.RunUntil([&] { return fixture.follower.Record("i-2") != nullptr; }));
}

TEST_CASE("A watcher that is cut off from the store does not make its followers current") {
  RelayFixture fixture;
  fixture.WaitForWatcher();
  fixture.Exchange();
  const auto before = fixture.follower.view.servers_current_at;
  fixture.watcher.store.unreachable = true;
  fixture.watcher.store.EndWatch();
  fixture.RunUntil([] { return false; }, milliseconds(300));
  fixture.Exchange();
  CHECK(fixture.follower.view.servers_current_at - before < milliseconds(150));
}

}  // namespace
}  // namespace moorfold
