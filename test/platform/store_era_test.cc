// Responses of the metadata store state its era, which rises when the store is restored from an
// older copy. A revision, lease or response of an earlier era must have no effect in a later one,
// although its number may be in use again there.

#include "store_era.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>

#include "common/boot_clock.h"
#include "scripted_server.h"
#include "store_client.h"

namespace moorfold {
namespace {

using platform::StoreEra;
using platform::StoreEraEvent;
using std::chrono::milliseconds;

struct EraFixture {
  std::vector<StoreEraEvent::Kind> events;
  StoreEra era{[this](const StoreEraEvent& event) { events.push_back(event.kind); }};
};

TEST_CASE("Responses of an earlier era are rejected and reported once") {
  EraFixture fixture;
  CHECK(fixture.era.Observe("1") == 1);
  CHECK(fixture.era.Observe("1") == 1);
  CHECK(fixture.era.Observe("4") == 4);
  CHECK(fixture.era.IsSuperseded(3));
  CHECK_FALSE(fixture.era.IsSuperseded(4));
  for (int answer = 0; answer < 3; ++answer) CHECK(fixture.era.Observe("1") == std::nullopt);
  CHECK(fixture.era.newest() == 4);
  using Kind = StoreEraEvent::Kind;
  CHECK(fixture.events == std::vector<Kind>{Kind::kAdvanced, Kind::kAdvanced, Kind::kRegressed});
}

TEST_CASE("A store that states no era is in era 0 until it states a later one") {
  EraFixture fixture;
  CHECK(fixture.era.Observe("") == 0);
  CHECK(fixture.era.Observe("") == 0);
  CHECK(fixture.events.size() == 1);
  CHECK(fixture.era.Observe("2") == 2);
  CHECK(fixture.era.IsSuperseded(0));
  CHECK(fixture.era.Observe("") == std::nullopt);  // Its era is unknown.
}

TEST_CASE("A response with a malformed era is rejected once an era was stated") {
  for (const char* text : {"x", "-1", "1.5", "99999999999999999999", "3 ", "3,4"}) {
    CAPTURE(text);
    EraFixture fixture;
    CHECK(fixture.era.Observe("3") == 3);
    CHECK(fixture.era.Observe(text) == std::nullopt);
    CHECK(fixture.era.Observe(text) == std::nullopt);
    CHECK(fixture.events.size() == 2);
    CHECK(fixture.era.Observe("3") == 3);
  }
}

std::string Answer(std::int64_t era, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A store that responds to each call in the era set by `era`.
struct ScriptedStore {
  ScriptedStore()
      : server([this](ScriptedConnection& connection) {
          while (true) {
            const std::string head = connection.ReadHead();
            if (head.empty()) return;
            ++calls;
            const std::int64_t now = era;
            if (head.find("kv-range") != std::string::npos)
              connection.Write(Answer(now, R"({"at":50,"items":[],"more":false})"));
            else if (head.find("kv-watch") != std::string::npos)
              connection.Write(Answer(now, R"({"at":60,"events":[]})"));
            else if (head.find("kv-txn") != std::string::npos)
              connection.Write(Answer(now, R"({"revision":51})"));
            else
              connection.Write(Answer(now, R"({"lease":9,"ttlMs":3000})"));
          }
        }),
        client(context, server.endpoint(), {}) {}

  template <typename T>
  Outcome<T> Await(std::function<void(KeyValueStore::Callback<T>)> call) {
    std::optional<Outcome<T>> outcome;
    call([&](Outcome<T> result) { outcome.emplace(std::move(result)); });
    const auto deadline = BootClock::now() + std::chrono::seconds(60);
    while (!outcome && BootClock::now() < deadline) {
      if (context.stopped()) context.restart();
      context.run_one_for(milliseconds(20));
    }
    REQUIRE(outcome);
    return std::move(*outcome);
  }
  Outcome<RangeResult> Read() {
    return Await<RangeResult>([&](auto done) { client.Range({"k", ""}, done); });
  }
  Outcome<TransactionResult> Write(StoreRevision condition, LeaseId lease) {
    Transaction transaction;
    transaction.comparisons.push_back({"k", condition});
    transaction.operations.emplace_back(PutOperation{"k", "v", lease});
    return Await<TransactionResult>([&](auto done) { client.Transact(transaction, done); });
  }
  Outcome<Duration> Renew(LeaseId lease) {
    return Await<Duration>([&](auto done) { client.KeepLeaseAlive(lease, done); });
  }
  /// @return why the watch ended, if it ended before its first batch.
  std::optional<PlatformFailure> Watch(StoreRevision start) {
    std::optional<PlatformFailure> ended;
    bool received_batch = false;
    const auto watch = client.Watch(
        {"", "\xff"}, start, [&](const WatchBatch&) { received_batch = true; },
        [&](const PlatformFailure& failure) { ended = failure; });
    const auto deadline = BootClock::now() + std::chrono::seconds(60);
    while (!ended && !received_batch && BootClock::now() < deadline) {
      if (context.stopped()) context.restart();
      context.run_one_for(milliseconds(20));
    }
    return ended;
  }

  boost::asio::io_context context;
  std::atomic<std::int64_t> era{3};
  std::atomic<int> calls{0};
  ScriptedServer server;
  platform::StoreClient client;
};

TEST_CASE("Revisions and leases carry the era of the response") {
  ScriptedStore store;
  CHECK(store.Read().value().revision == StoreRevision{3, 50});
  const auto lease =
      store.Await<LeaseId>([&](auto done) { store.client.GrantLease(milliseconds(3'000), done); });
  CHECK(lease.value() == LeaseId{3, 9});
  const auto written = store.Write({3, 50}, {3, 9});
  CHECK(written.value().succeeded);
  CHECK(written.value().revision == StoreRevision{3, 51});
  CHECK(store.client.era() == 3);
}

TEST_CASE("Calls that refer to an earlier era are not sent once a later one is known") {
  ScriptedStore store;
  store.era = 4;
  REQUIRE(store.Read().ok());
  const int calls = store.calls;
  const auto compared = store.Write({3, 50}, {});
  REQUIRE(compared.ok());
  CHECK_FALSE(compared.value().succeeded);
  const auto leased = store.Write({4, 50}, {3, 9});
  REQUIRE(leased.ok());
  CHECK_FALSE(leased.value().succeeded);
  CHECK(store.Renew({3, 9}).failure().fault == PlatformFault::kRejected);
  REQUIRE(store.Watch({3, 51}));
  CHECK(store.Watch({3, 51})->fault == PlatformFault::kRejected);
  CHECK(store.calls == calls);
}

TEST_CASE("A call that is answered in a later era than it refers to fails") {
  ScriptedStore store;
  REQUIRE(store.Read().ok());
  store.era = 4;
  SECTION("the outcome of a write is unknown: it may have matched a reused revision number") {
    CHECK(store.Write({3, 50}, {3, 9}).failure().fault == PlatformFault::kNoAnswer);
  }
  SECTION("a renewal may have renewed a different lease with the same number") {
    CHECK(store.Renew({3, 9}).failure().fault == PlatformFault::kRejected);
  }
  SECTION("a watch would deliver changes of a different history") { REQUIRE(store.Watch({3, 51})); }
  CHECK(store.client.era() == 4);
}

TEST_CASE("A response of an earlier era after one of a later era is discarded") {
  ScriptedStore store;
  store.era = 4;
  REQUIRE(store.Read().ok());
  store.era = 3;
  const auto read = store.Read();
  REQUIRE_FALSE(read.ok());
  CHECK(read.failure().fault == PlatformFault::kNoAnswer);
  CHECK(store.client.era() == 4);
}

}  // namespace
}  // namespace moorfold
