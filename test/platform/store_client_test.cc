// What a store may answer that is no answer: it fails the call, in bounded time, and nothing of it
// is handed over.

#include "store_client.h"

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
  options.most_answer_bytes = 64 * 1024;
  return options;
}

/// One listing and one read of changes against a store that runs `script`.
struct Calls {
  explicit Calls(ScriptedServer::Script script)
      : server(std::move(script)), client(context, server.endpoint(), QuickOptions()) {
    client.Range({"", "\xff"},
                 [this](Outcome<RangeResult> outcome) { listing.emplace(std::move(outcome)); });
    watch = client.Watch(
        {"", "\xff"}, 1, [this](const WatchBatch&) { ++batches; },
        [this](const PlatformFailure& failure) { watch_failure = failure; });
    const auto give_up = BootClock::now() + std::chrono::seconds(60);
    while ((!listing || !watch_failure) && BootClock::now() < give_up)
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

TEST_CASE("What is no whole answer of the store fails the call and is believed in no part") {
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
      {"no object", Always(Ok("[]"))},
      {"fields of the wrong kind", Always(Ok(R"({"at":"x","items":7,"events":{}})"))},
      {"longer than any answer", Always(Ok(std::string(200 * 1024, ' ')))},
      {"pauses for ever",
       [&](ScriptedConnection& connection) {
         connection.ReadHead();
         connection.Write(Ok("{", 1'000));
         connection.AwaitClose(std::chrono::seconds(20));
       }},
      {"one byte now and then",
       [](ScriptedConnection& connection) {
         connection.ReadHead();
         connection.Write(Ok("{", 1'000));
         while (!connection.AwaitClose(milliseconds(50))) connection.Write(" ");
       }},
  };
  for (const Case& each : cases) {
    INFO(each.name);
    Calls calls(each.script);
    REQUIRE(calls.listing);
    REQUIRE(calls.watch_failure);
    CHECK_FALSE(calls.listing->ok());
    CHECK(calls.listing->failure().fault == PlatformFault::kNoAnswer);
    CHECK(calls.watch_failure->fault == PlatformFault::kNoAnswer);
    CHECK(calls.batches == 0);
  }
  INFO("pages that do not advance");
  Calls calls(Always(Ok(page)));
  REQUIRE(calls.listing);
  CHECK_FALSE(calls.listing->ok());
  CHECK(calls.listing->failure().message.find("endless pages") != std::string::npos);
}

}  // namespace
}  // namespace moorfold
