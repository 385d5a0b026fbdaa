#include <boost/json.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "scripted_server.h"
#include "store_client.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// @return the outcome of a listing from a store that answers every request with `body`.
Outcome<RangeResult> List(const std::string& body) {
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  ScriptedServer server([response](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) connection.Write(response);
  });
  boost::asio::io_context context;
  platform::StoreClientOptions options;
  options.call_timeout = milliseconds(5'000);
  platform::StoreClient client(context, server.endpoint(), options);
  std::optional<Outcome<RangeResult>> listing;
  client.Range({"", "\xff"}, [&](Outcome<RangeResult> outcome) { listing.emplace(outcome); });
  const auto deadline = BootClock::now() + std::chrono::seconds(60);
  while (!listing && BootClock::now() < deadline) context.run_one_for(milliseconds(20));
  REQUIRE(listing);
  return *listing;
}

std::string Item(const std::string& key, const std::string& fields) {
  return R"({"keyFile":")" + key + "\"," + fields + "}";
}

std::string Page(const std::string& odd_item) {
  const std::string before = Item("servers/a", R"("value":"e30=","revision":3,"lease":0)");
  const std::string after = Item("servers/z", R"("value":"e30=","revision":4,"lease":0)");
  return R"({"at":9,"more":false,"items":[)" + before + "," + odd_item + "," + after + "]}";
}

TEST_CASE("Base64 of any length is decoded within its buffer") {
  const std::string digits(200, 'Q');
  std::string items;
  for (std::size_t length = 0; length <= digits.size(); ++length)
    items += (length == 0 ? "" : ",") +
             Item("servers/" + std::to_string(1'000 + length),
                  R"("revision":5,"value":")" + digits.substr(0, length) + "\"");
  const Outcome<RangeResult> listing = List(R"({"at":9,"more":false,"items":[)" + items + "]}");
  REQUIRE(listing.ok());
  REQUIRE(listing.value().entries.size() == digits.size() + 1);
  for (std::size_t length = 0; length <= digits.size(); ++length) {
    INFO(length);
    const KeyValue& entry = listing.value().entries[length];
    CHECK(entry.readable == (length % 4 == 0));
    CHECK(entry.value.size() == (length % 4 == 0 ? length / 4 * 3 : 0));
  }
}

TEST_CASE("An odd item of a listing costs only itself") {
  const std::vector<std::string> odd_items = {
      "null",
      "7",
      "\"x\"",
      "[]",
      "{}",
      R"({"keyFile":7})",
      Item("servers/i-1", R"("value":null,"revision":5)"),
      Item("servers/i-1", R"("value":7,"revision":5)"),
      Item("servers/i-1", R"("value":"====","revision":5)"),
      Item("servers/i-1", R"("value":"e3=0","revision":5)"),
      Item("servers/i-1", R"("value":"e30=")"),
      Item("servers/i-1", R"("value":"e30=","revision":"5")"),
      Item("servers/i-1", R"("value":"e30=","revision":-5)"),
      Item("servers/i-1", R"("value":"e30=","revision":1e300)"),
      Item("servers/i-1", R"("value":"e30=","revision":18446744073709551615)"),
      Item("servers/i-1", R"("value":"e30=","revision":18446744073709551616)"),
      Item("servers/i-1", R"("value":"e30=","revision":5,"lease":"x")"),
      Item("servers/i-1", R"("value":"e30=","revision":5,"lease":-1e300)"),
      Item("servers/i-1", R"("value":"e30=","revision":5,"createdAt":[[[[[[[[{}]]]]]]]])"),
      Item("servers/i-1", R"("value":"e30=","revision":5,"gone":{})"),
      Item("servers/i-1\\u0000\\n\xc3\xa9", R"("value":"e30=","revision":5)"),
      Item("servers/i-\xff", R"("value":"e30=","revision":5)"),
  };
  for (const std::string& odd_item : odd_items) {
    INFO(odd_item);
    const Outcome<RangeResult> listing = List(Page(odd_item));
    CHECK(listing.ok());
    if (!listing.ok()) continue;
    CHECK(listing.value().entries.front().key == "servers/a");
    CHECK(listing.value().entries.back().key == "servers/z");
  }
}

}  // namespace
}  // namespace moorfold
