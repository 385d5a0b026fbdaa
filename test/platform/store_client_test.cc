// Invalid, truncated or stalled responses of the store must fail the call in bounded time, and no
// part of them may reach the caller.

#include "store_client.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>

#include "common/boot_clock.h"
#include "scripted_server.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

std::string Ok(const std::string& body, std::size_t stated_length) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(stated_length) + "\r\n\r\n" + body;
}
std::string Ok(const std::string& body) { return Ok(body, body.size()); }

ScriptedServer::Script Always(const std::string& bytes) {
  return [bytes](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) connection.Write(bytes);
  };
}

platform::StoreClientOptions QuickOptions() {
  platform::StoreClientOptions options;
  options.call_timeout = milliseconds(300);
  options.watch_wait = milliseconds(100);
  options.progress_timeout = milliseconds(200);
  options.longest_answer = milliseconds(800);
  options.max_answer_bytes = 64 * 1024;
  return options;
}

/// Runs one listing and one watch against a store that runs `script`.
struct ListAndWatch {
  explicit ListAndWatch(ScriptedServer::Script script)
      : server(std::move(script)), client(context, server.endpoint(), QuickOptions()) {
    client.Range({"", "\xff"},
                 [this](Outcome<RangeResult> outcome) { listing.emplace(std::move(outcome)); });
    watch = client.Watch(
        {"", "\xff"}, {}, [this](const WatchBatch&) { ++batches; },
        [this](const PlatformFailure& failure) { watch_failure = failure; });
    const auto deadline = BootClock::now() + std::chrono::seconds(60);
    while ((!listing || !watch_failure) && BootClock::now() < deadline)
      context.run_one_for(milliseconds(20));
  }

  boost::asio::io_context context;
  ScriptedServer server;
  platform::StoreClient client;
  std::optional<Outcome<RangeResult>> listing;
  std::unique_ptr<WatchHandle> watch;
  int batches = 0;
  std::optional<PlatformFailure> watch_failure;
};

TEST_CASE("An invalid or incomplete response fails the call and delivers no part of it") {
  const std::string item = R"({"keyFile":"servers/a","value":"e30=","revision":3,"lease":0})";
  const std::string page = R"({"at":3,"more":true,"items":[)" + item + "]}";
  const std::string events = R"({"at":3,"events":[)" + item + "]}";
  struct Case {
    const char* name;
    ScriptedServer::Script script;
  };
  const std::vector<Case> cases = {
      {"cut short",
       [&](ScriptedConnection& connection) {
         connection.ReadHead();
         connection.Write(Ok(events, 2 * events.size()));
       }},
      {"undecodable", Always(Ok("{\"at\":3,"))},
      {"not an object", Always(Ok("[]"))},
      {"fields of the wrong kind", Always(Ok(R"({"at":"x","items":7,"events":{}})"))},
      {"exceeds the size limit", Always(Ok(std::string(200 * 1024, ' ')))},
      {"stalls",
       [&](ScriptedConnection& connection) {
         connection.ReadHead();
         connection.Write(Ok("{", 1'000));
         connection.AwaitClose(std::chrono::seconds(20));
       }},
      {"one byte every 50 ms",
       [](ScriptedConnection& connection) {
         connection.ReadHead();
         connection.Write(Ok("{", 1'000));
         while (!connection.AwaitClose(milliseconds(50))) connection.Write(" ");
       }},
  };
  for (const Case& each : cases) {
    INFO(each.name);
    ListAndWatch calls(each.script);
    REQUIRE(calls.listing);
    REQUIRE(calls.watch_failure);
    CHECK_FALSE(calls.listing->ok());
    CHECK(calls.listing->failure().fault == PlatformFault::kNoAnswer);
    CHECK(calls.watch_failure->fault == PlatformFault::kNoAnswer);
    CHECK(calls.batches == 0);
  }
  INFO("pages that do not advance");
  ListAndWatch calls(Always(Ok(page)));
  REQUIRE(calls.listing);
  CHECK_FALSE(calls.listing->ok());
  CHECK(calls.listing->failure().message.find("endless pages") != std::string::npos);
}

TEST_CASE("Malformed items do not prevent the rest of a response from being decoded") {
  const std::string items =
      R"([{"keyFile":"servers/a","value":"e30=","revision":3,"lease":0},
          {"value":"e30=","revision":3}, {"keyFile":7,"value":"e30="}, 5, null,
          {"keyFile":"servers/b","value":7,"revision":3},
          {"keyFile":"servers/c","revision":"x","value":"e30="},
          {"keyFile":"servers/d","value":"*no base 64*","revision":3}])";
  std::atomic<int> watches{0};
  ListAndWatch calls([&](ScriptedConnection& connection) {
    while (true) {
      const std::string head = connection.ReadHead();
      if (head.empty()) return;
      const bool watch = head.find("kv-watch") != std::string::npos;
      if (watch && watches++ > 0) {
        connection.Write(Ok("[]"));  // Ends the watch.
        return;
      }
      connection.Write(watch ? Ok(R"({"at":9,"events":)" + items + "}")
                             : Ok(R"({"at":9,"more":false,"items":)" + items + "}"));
      if (watch) return;
    }
  });
  REQUIRE(calls.listing);
  REQUIRE(calls.listing->ok());
  const std::vector<KeyValue>& entries = calls.listing->value().entries;
  REQUIRE(entries.size() == 4);
  CHECK(entries[0].readable);
  CHECK(entries[0].value == "{}");
  for (std::size_t number = 1; number < entries.size(); ++number) {
    CAPTURE(number);
    CHECK_FALSE(entries[number].readable);
    CHECK(entries[number].mod_revision.number > 0);
  }
  CHECK(calls.batches == 1);
}

TEST_CASE("A cancelled listing requests no further page") {
  std::atomic<int> pages = 0;
  ScriptedServer server([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      const std::string key = "k" + std::to_string(++pages);
      connection.Write(Ok(R"({"items":[{"keyFile":")" + key +
                          R"(","value":"","revision":1,"createdAt":1}],"more":true,"at":5})"));
    }
  });
  boost::asio::io_context context;
  platform::StoreClient client(context, server.endpoint(), QuickOptions());
  std::optional<Outcome<RangeResult>> listing;
  client.RangeWhile([&] { return pages < 3; }, {"", "\xff"}, ReadConsistency::kLinearizable,
                    [&](Outcome<RangeResult> outcome) { listing.emplace(std::move(outcome)); });
  const auto deadline = BootClock::now() + std::chrono::seconds(60);
  while (!listing && BootClock::now() < deadline) context.run_one_for(milliseconds(20));
  REQUIRE(listing);
  CHECK_FALSE(listing->ok());
  CHECK(pages == 3);
}

}  // namespace
}  // namespace moorfold
