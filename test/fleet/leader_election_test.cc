#include "fleet/leader_election.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "fake_key_value_store.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr const char* kKey = "moorfold/leader";
constexpr const char* kHistoryKey = "moorfold/orders";
constexpr milliseconds kLease{1'500};

/// One candidate with its own connection to a shared store.
struct Candidate {
  Candidate(boost::asio::io_context& context, KeyValueTable& table, const std::string& name,
            milliseconds apart = milliseconds(60))
      : io(context),
        store(context, table),
        log(-1, {}),
        election(context, store, log,
                 {name, "127.0.0.1:1", kKey, kHistoryKey, kLease, apart, milliseconds(5'000),
                  milliseconds(0)}) {
    (void)store.Watch(
        PrefixRange("moorfold/"), 1,
        [this](const WatchBatch& batch) {
          for (const WatchEvent& event : batch.events) {
            const std::string& key = event.entry.key;
            if (event.deleted)
              election.KeyChanged(key, std::nullopt, event.entry.mod_revision);
            else
              election.KeyChanged(key, event.entry, event.entry.mod_revision);
          }
        },
        [](const PlatformFailure&) {});
    election.KeyChanged(kKey, std::nullopt, 1);
    election.Start();
  }
  /// Begins to announce a server; `announced` tells the result.
  void Announce(const std::string& server) {
    announced.reset();
    boost::asio::co_spawn(
        io,
        [](Candidate* self, std::string id) -> Awaitable<void> {
          self->announced = co_await self->election.Announce(id);
        }(this, server),
        boost::asio::detached);
  }

  boost::asio::io_context& io;
  FakeKeyValueStore store;
  EventLog log;
  LeaderElection election;
  std::optional<bool> announced;
};

/// Runs until `done`, letting changes reach all candidates.
bool RunUntil(boost::asio::io_context& context, std::vector<Candidate*> candidates,
              const std::function<bool()>& done, milliseconds patience = milliseconds(20'000)) {
  const auto give_up = steady_clock::now() + patience;
  while (!done() && steady_clock::now() < give_up) {
    for (Candidate* candidate : candidates) candidate->store.Deliver();
    context.run_one_for(milliseconds(10));
  }
  return done();
}

TEST_CASE("One of two candidates leads, and the other after it resigned") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  Candidate two(context, table, "two");
  REQUIRE(RunUntil(context, {&one, &two},
                   [&] { return one.election.MayOrder() || two.election.MayOrder(); }));
  CHECK(one.election.leading() != two.election.leading());
  Candidate& first = one.election.leading() ? one : two;
  Candidate& second = one.election.leading() ? two : one;
  const std::int64_t token = first.election.fencing_token();
  bool resigned = false;
  first.election.Resign([&] { resigned = true; });
  CHECK_FALSE(first.election.MayOrder());
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return second.election.MayOrder(); }));
  CHECK(resigned);
  CHECK(second.election.fencing_token() > token);
}

TEST_CASE("A server is announced in the store before an order goes there") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  one.Announce("i-1");
  RunUntil(context, {}, [&] { return one.announced.has_value(); });
  CHECK(one.announced == std::optional<bool>(false));  // It does not lead yet.
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  one.Announce("i-1");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.announced.has_value(); }));
  CHECK(one.announced == std::optional<bool>(true));
  const RangeResult keys = table.Range({kHistoryKey, ""});
  REQUIRE(keys.entries.size() == 1);
  const auto record = DecodeMessage<OrderHistoryRecord>(keys.entries.front().value);
  REQUIRE(record.servers.size() == 1);
  CHECK(record.servers.front().server_id == "i-1");
  CHECK(record.servers.front().holder == "one");
}

TEST_CASE("A new leader keeps away from the servers that the one before announced, no others") {
  boost::asio::io_context context;
  KeyValueTable table;
  const milliseconds apart(600'000);
  Candidate one(context, table, "one", apart);
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  one.Announce("i-1");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.announced.has_value(); }));
  Candidate two(context, table, "two", apart);
  one.election.Resign([] {});
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return two.election.MayOrder(); }));
  CHECK_FALSE(two.election.ServerFree("i-1"));
  CHECK(two.election.ServerFree("i-2"));
  two.Announce("i-1");
  REQUIRE(RunUntil(context, {&two}, [&] { return two.announced.has_value(); }));
  CHECK(two.announced == std::optional<bool>(false));
}

TEST_CASE("A leader whose key is gone announces nothing more, even before it hears of that") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  Transaction taken;  // The lease still stands; the key is another's now.
  taken.operations.emplace_back(
      PutOperation{kKey, EncodeMessage(LeaderRecord{"two", "127.0.0.1:2"}), 0});
  table.Transact(taken);
  one.Announce("i-1");
  REQUIRE(RunUntil(context, {}, [&] { return one.announced.has_value(); }));  // No watch answers.
  CHECK(one.announced == std::optional<bool>(false));
  CHECK_FALSE(one.election.leading());
  CHECK(table.Range({kHistoryKey, ""}).entries.empty());
}

TEST_CASE("A leader without the store orders nothing, and its lead lapses") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  one.store.unreachable = true;
  const auto cut = steady_clock::now();
  one.Announce("i-1");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.announced.has_value(); }));
  CHECK(one.announced == std::optional<bool>(false));
  REQUIRE(RunUntil(context, {&one}, [&] { return !one.election.leading(); }));
  CHECK(steady_clock::now() - cut < 2 * kLease);
  one.store.unreachable = false;
  CHECK(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
}

TEST_CASE("An announcement whose answer was lost is read back, and the next one holds") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  one.store.lose_answers = true;  // Done, but the leader cannot know.
  one.Announce("i-1");
  REQUIRE(RunUntil(context, {}, [&] { return !table.Range({kHistoryKey, ""}).entries.empty(); }));
  CHECK_FALSE(one.announced.value_or(false));
  one.store.lose_answers = false;
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  one.Announce("i-1");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.announced.has_value(); }));
  CHECK(one.announced == std::optional<bool>(true));
  CHECK(one.election.leading());
}

TEST_CASE("A claim whose answer was lost is recognised by its lease") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  bool lost = false;
  REQUIRE(RunUntil(context, {&one}, [&] {
    one.store.lose_answers = !lost && !table.Range({kKey, ""}).entries.empty();
    lost = lost || one.store.lose_answers;
    return one.election.MayOrder();
  }));
}

TEST_CASE("A restarted leader takes its own key over, with a higher token and a short wait") {
  boost::asio::io_context context;
  KeyValueTable table;
  std::int64_t token = 0;
  {
    Candidate one(context, table, "one");
    REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
    one.Announce("i-1");
    REQUIRE(RunUntil(context, {&one}, [&] { return one.announced.has_value(); }));
    token = one.election.fencing_token();
    context.stop();
  }
  boost::asio::io_context again;
  Candidate one(again, table, "one", milliseconds(600'000));
  REQUIRE(RunUntil(again, {&one}, [&] { return one.election.MayOrder(); }));
  CHECK(one.election.fencing_token() > token);
  CHECK(RunUntil(again, {&one}, [&] { return one.election.ServerFree("i-1"); }));
}

TEST_CASE("Whoever is offered leadership looks at once and leads") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  Candidate two(context, table, "two");
  REQUIRE(RunUntil(context, {&one, &two}, [&] { return two.election.leader().has_value(); }));
  bool resigned = false;
  one.election.Resign([&] { resigned = true; });
  REQUIRE(RunUntil(context, {&one}, [&] { return resigned; }));
  two.election.LookNow(true);  // Its watch has said nothing.
  CHECK(RunUntil(context, {}, [&] { return two.election.MayOrder(); }));
}

TEST_CASE("A silent leader's key is read until its lease has lapsed") {
  boost::asio::io_context context;
  KeyValueTable table;
  auto one = std::make_unique<Candidate>(context, table, "one");
  REQUIRE(RunUntil(context, {one.get()}, [&] { return one->election.MayOrder(); }));
  Candidate two(context, table, "two");
  REQUIRE(RunUntil(context, {one.get(), &two}, [&] { return two.election.leader().has_value(); }));
  two.election.HeardLeader();
  one->store.unreachable = true;  // As if it were killed.
  // Without a watch: only reading shows that the key has gone.
  CHECK(RunUntil(context, {}, [&] { return two.election.MayOrder(); }));
}

TEST_CASE("A leader record that cannot be read is skipped, and its key waited out") {
  boost::asio::io_context context;
  KeyValueTable table;
  Candidate one(context, table, "one");
  KeyValue garbage{kKey, "garbage", 50, 7};
  one.election.KeyChanged(kKey, garbage, 50);
  CHECK_FALSE(one.election.leader().has_value());
  RunUntil(
      context, {}, [&] { return one.election.leading(); }, milliseconds(500));
  CHECK_FALSE(one.election.leading());
}

TEST_CASE("A history that cannot be read keeps a new leader away from every server") {
  boost::asio::io_context context;
  KeyValueTable table;
  Transaction garbage;
  garbage.operations.emplace_back(PutOperation{kHistoryKey, "garbage", 0});
  table.Transact(garbage);
  Candidate one(context, table, "one");
  REQUIRE(RunUntil(context, {&one}, [&] { return one.election.MayOrder(); }));
  CHECK_FALSE(one.election.ServerFree("i-1"));
}

}  // namespace
}  // namespace moorfold
