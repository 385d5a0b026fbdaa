// Answers of the metadata store tell its era. A revision, a lease or an answer of an earlier era
// has no effect in a later one, though its number may be in use again there.

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
  std::vector<StoreEraEvent::Kind> news;
  StoreEra era{[this](const StoreEraEvent& each) { news.push_back(each.kind); }};
};

TEST_CASE("Eras rise, and what is of an earlier one is refused and told once") {
  EraFixture fixture;
  CHECK(fixture.era.Observe("1") == 1);
  CHECK(fixture.era.Observe("1") == 1);
  CHECK(fixture.era.Observe("4") == 4);
  CHECK(fixture.era.IsSuperseded(3));
  CHECK_FALSE(fixture.era.IsSuperseded(4));
  for (int answer = 0; answer < 3; ++answer) CHECK(fixture.era.Observe("1") == std::nullopt);
  CHECK(fixture.era.newest() == 4);
  using Kind = StoreEraEvent::Kind;
  CHECK(fixture.news == std::vector<Kind>{Kind::kAdvanced, Kind::kAdvanced, Kind::kRegressed});
}

TEST_CASE("A store that tells no era is in era 0, and one that begins to tell is in a later one") {
  EraFixture fixture;
  CHECK(fixture.era.Observe("") == 0);
  CHECK(fixture.era.Observe("") == 0);
  CHECK(fixture.news.size() == 1);
  CHECK(fixture.era.Observe("2") == 2);
  CHECK(fixture.era.IsSuperseded(0));
  CHECK(fixture.era.Observe("") == std::nullopt);  // Of which era it is cannot be told.
}

TEST_CASE("An era that is no whole number makes an answer unusable once eras are told") {
  for (const char* text : {"x", "-1", "1.5", "99999999999999999999", "3 ", "3,4"}) {
    CAPTURE(text);
    EraFixture fixture;
    CHECK(fixture.era.Observe("3") == 3);
    CHECK(fixture.era.Observe(text) == std::nullopt);
    CHECK(fixture.era.Observe(text) == std::nullopt);
    CHECK(fixture.news.size() == 2);
    CHECK(fixture.era.Observe("3") == 3);
  }
}

std::string Answer(std::int64_t era, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A store that answers each call, in whatever era it is told to.
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
    const auto give_up = BootClock::now() + std::chrono::seconds(60);
    while (!outcome && BootClock::now() < give_up) {
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
  /// @return why the watch ended, if it did before it brought something.
  std::optional<PlatformFailure> Watch(StoreRevision start) {
    std::optional<PlatformFailure> ended;
    bool brought = false;
    const auto watch = client.Watch(
        {"", "\xff"}, start, [&](const WatchBatch&) { brought = true; },
        [&](const PlatformFailure& failure) { ended = failure; });
    const auto give_up = BootClock::now() + std::chrono::seconds(60);
    while (!ended && !brought && BootClock::now() < give_up) {
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

TEST_CASE("Revisions and leases that are read carry the era of the answer") {
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

TEST_CASE("Once a later era is known, calls that name an earlier one are not sent") {
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

TEST_CASE("What is answered in a later era than it names has not come about as meant") {
  ScriptedStore store;
  REQUIRE(store.Read().ok());
  store.era = 4;
  SECTION("a write may have been done, on what has the same number now") {
    CHECK(store.Write({3, 50}, {3, 9}).failure().fault == PlatformFault::kNoAnswer);
  }
  SECTION("a renewal renewed something else's lease") {
    CHECK(store.Renew({3, 9}).failure().fault == PlatformFault::kRejected);
  }
  SECTION("a watch shows changes of another history") { REQUIRE(store.Watch({3, 51})); }
  CHECK(store.client.era() == 4);
}

TEST_CASE("An answer of an earlier era that comes after a later one is none") {
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
