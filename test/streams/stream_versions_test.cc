#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <thread>

#include "common/closable_context.h"
#include "memory_store.h"
#include "streams/implied_version_planner.h"
#include "streams/stream_origins.h"
#include "streams/stream_version_keeper.h"

namespace moorfold::streams {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BootClock::time_point kStart{};

ImpliedVersionRecord OneService(ImpliedState state, const std::string& version,
                                std::int64_t era = 0) {
  return {era, {{"s", state, version}}};
}

/// Plans of one leader for one service.
struct Leader {
  ImpliedVersion Plan(const std::map<std::string, std::uint32_t>& versions, seconds at,
                      std::int64_t era = 0) {
    stored = planner.Plan(stored, era, {{"s", versions}}, lifetimes, kStart + at);
    return stored->Find("s");
  }
  StreamLifetimes lifetimes{seconds(60), seconds(180)};
  ImpliedVersionPlanner planner;
  std::optional<ImpliedVersionRecord> stored;
};

/// One daemon's StreamOrigins before a store.
struct Daemon {
  Daemon() : store(context), origins(context, store, counters, {}) {}
  ~Daemon() { context.DestroyHandlers(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  template <typename T>
  T Run(Awaitable<T> call) {
    std::optional<T> result;
    boost::asio::co_spawn(
        context, [&]() -> Awaitable<void> { result = co_await std::move(call); },
        boost::asio::detached);
    while (!result) {
      context.restart();
      context.run_one_for(milliseconds(20));
    }
    return *result;
  }
  BootClock::time_point Soon() const { return BootClock::now() + milliseconds(300); }
  bool Begin(const std::string& id, const std::string& version, bool may_omit = true) {
    return Run(origins.Record(id, {"s", version}, may_omit, Soon()));
  }
  OriginAnswer Find(const std::string& id, bool only_service = true) {
    return Run(origins.Find(id, {"s", only_service}, Soon()));
  }
  void PutRecord(const ImpliedVersionRecord& record) {
    store.Put(kImpliedVersionKey, EncodeMessage(record));
  }
  /// The daemon starts anew and knows only what the store holds.
  std::unique_ptr<Daemon> Restarted() const {
    auto next = std::make_unique<Daemon>();
    next->store.entries() = const_cast<Daemon*>(this)->store.entries();
    return next;
  }

  ClosableContext context{1};
  MemoryStore store;
  StreamOriginCounters counters;
  StreamOrigins origins;
};

}  // namespace

TEST_CASE("The implied version stays while it has servers, whatever others have more") {
  Leader leader;
  CHECK(leader.Plan({{"v1", 3}}, seconds(0)).software_version == "v1");
  const ImpliedVersion mixed = leader.Plan({{"v1", 1}, {"v2", 9}}, seconds(1));
  CHECK(mixed == ImpliedVersion{"s", ImpliedState::kOpen, "v1"});
}

TEST_CASE("The implied version does not change while streams without an entry may go on") {
  Leader leader;
  leader.Plan({{"v1", 3}}, seconds(0));
  CHECK(leader.Plan({{"v2", 3}}, seconds(1)) == ImpliedVersion{"s", ImpliedState::kClosing, "v1"});
  CHECK(leader.Plan({{"v2", 3}}, seconds(240)).state == ImpliedState::kClosing);
  leader.planner.Reset();  // Another leader may have opened and closed it meanwhile.
  CHECK(leader.Plan({{"v2", 3}}, seconds(300)).state == ImpliedState::kClosing);
  CHECK(leader.Plan({{"v2", 3}}, seconds(540)) == ImpliedVersion{"s", ImpliedState::kOpen, "v2"});
}

TEST_CASE("A closing version is open again at once when it has servers again") {
  Leader leader;
  leader.Plan({{"v1", 3}}, seconds(0));
  leader.Plan({{"v2", 3}}, seconds(1));
  CHECK(leader.Plan({{"v1", 1}, {"v2", 3}}, seconds(2)) ==
        ImpliedVersion{"s", ImpliedState::kOpen, "v1"});
}

TEST_CASE("Nothing is implied by a record of an earlier era until its streams have ended") {
  Leader leader;
  leader.stored = OneService(ImpliedState::kOpen, "v1", 0);
  CHECK(leader.Plan({{"v2", 3}}, seconds(0), 1).state == ImpliedState::kNone);
  CHECK(leader.Plan({{"v2", 3}}, seconds(239), 1).state == ImpliedState::kNone);
  CHECK(leader.Plan({{"v2", 3}}, seconds(240), 1) ==
        ImpliedVersion{"s", ImpliedState::kOpen, "v2"});
}

TEST_CASE("A service whose servers are seen later than its route has an implied version at once") {
  Leader leader;
  leader.Plan({}, seconds(0));
  CHECK(leader.Plan({{"v1", 3}}, seconds(1)) == ImpliedVersion{"s", ImpliedState::kOpen, "v1"});
}

TEST_CASE("A stream at another version than the implied one is found after a restart") {
  Daemon daemon;
  daemon.PutRecord(OneService(ImpliedState::kOpen, "v1"));
  REQUIRE(daemon.Begin("one", "v2"));
  REQUIRE(daemon.Begin("two", "v1"));
  CHECK(daemon.store.writes == 1);
  const auto next = daemon.Restarted();
  CHECK(next->Find("one").origin.software_version == "v2");
  CHECK(next->Find("two").origin.software_version == "v1");
  CHECK(next->Find("unknown").origin.software_version == "v1");
}

TEST_CASE("No stream begins unrecorded without the store, and none is guessed") {
  Daemon daemon;
  daemon.store.silent = true;
  CHECK_FALSE(daemon.Begin("one", "v1"));
  CHECK(daemon.Find("two").state == OriginState::kStoreUnavailable);
  // What was not acknowledged proves nothing: the stream may have begun elsewhere since.
  CHECK(daemon.Find("one").state == OriginState::kStoreUnavailable);
}

TEST_CASE("A stream without an entry is unknown in a store restored from an older copy") {
  Daemon daemon;
  daemon.PutRecord(OneService(ImpliedState::kOpen, "v1"));
  REQUIRE(daemon.Begin("one", "v1"));
  daemon.store.RaiseEra();
  CHECK(daemon.Find("two").state != OriginState::kKnown);
}

TEST_CASE("A cached record that is closing is not taken for the present one") {
  Daemon daemon;
  daemon.PutRecord(OneService(ImpliedState::kClosing, "v1"));
  REQUIRE(daemon.Begin("one", "v1"));
  CHECK(daemon.store.writes == 1);
  daemon.PutRecord(OneService(ImpliedState::kOpen, "v2"));
  CHECK(daemon.Find("two").origin.software_version == "v2");
}

TEST_CASE("A stream of a route with several services is known by its entry only") {
  Daemon daemon;
  daemon.PutRecord(OneService(ImpliedState::kOpen, "v1"));
  REQUIRE(daemon.Begin("one", "v1", false));
  const auto next = daemon.Restarted();
  CHECK(next->Find("one", false).state == OriginState::kKnown);
  CHECK(next->Find("two", false).state == OriginState::kUnknown);
}

TEST_CASE("A second stream under the same name does not begin at another version") {
  Daemon daemon;
  daemon.PutRecord(OneService(ImpliedState::kOpen, "v3"));
  REQUIRE(daemon.Begin("one", "v1"));
  CHECK_FALSE(daemon.Begin("one", "v2"));
  const auto next = daemon.Restarted();
  CHECK_FALSE(next->Begin("one", "v2"));
  CHECK(next->counters.not_entered == 1);
}

TEST_CASE("A client that names no stream goes on only if all streams began at one version") {
  Daemon daemon;
  daemon.PutRecord(OneService(ImpliedState::kOpen, "v1"));
  StreamService service{"s", true};
  CHECK(daemon.Run(daemon.origins.FindUnnamed(service, daemon.Soon())).state ==
        OriginState::kKnown);
  REQUIRE(daemon.Begin("one", "v2"));
  CHECK(daemon.Run(daemon.origins.FindUnnamed(service, daemon.Soon())).state ==
        OriginState::kUnknown);
}

TEST_CASE("An odd record or entry of another writer names no version") {
  Daemon daemon;
  daemon.store.Put(kImpliedVersionKey, "\xff\x01 no record");
  CHECK(daemon.Find("one").state != OriginState::kKnown);
  daemon.store.Put(OriginKey("two"), "\xff");
  CHECK(daemon.Find("two").state == OriginState::kUnknown);
}

TEST_CASE("A leader writes the record once and calls the store no more while versions stay") {
  Daemon daemon;
  EventLog log(-1, {});
  StreamVersionKeeper keeper(daemon.store, log, {},
                             {[] { return true; },
                              [] {
                                return ServersByVersion{{"s", {{"v1", 2}}}};
                              },
                              [] { return milliseconds(15'000); }});
  const auto end = BootClock::now() + milliseconds(2'500);
  while (BootClock::now() < end) {
    keeper.Tick();
    daemon.context.restart();
    daemon.context.poll();
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(daemon.store.writes == 1);
  CHECK(daemon.store.reads == 2);  // The record, and entries that an earlier leader may have left.
  CHECK(daemon.Find("one").origin.software_version == "v1");
}

}  // namespace moorfold::streams
