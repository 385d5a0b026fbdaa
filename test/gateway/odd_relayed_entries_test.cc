#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

#include "../relay/relay_fixture.h"
#include "fleet/demand_channel.h"
#include "fleet/fleet_messages.h"
#include "gateway/relay_service.h"
#include "http/upstream_connection.h"
#include "quarantine/quarantine_messages.h"
#include "relay/change_answer.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

/// Largest datagram that a daemon receives whole.
constexpr std::size_t kMaxDatagramBytes = 8'192;

std::string EntryWith(const std::string& fields) {
  return R"({"service":"s","zone":"z","address":"127.0.0.1:1","version":"v1","state":"ready",)"
         R"("slots":4,"models":[],)" +
         fields + "}";
}

std::string ManyModels(int count) {
  std::string models = R"("models":[)";
  for (int model = 0; model < count; ++model)
    models += (model == 0 ? "" : ",") + (R"({"name":"m)" + std::to_string(model) + "\"}");
  return models + "]";
}

/// Entries that fit no datagram, or only beside no other.
std::vector<std::string> LargeEntries() {
  std::string adapters = R"("models":[{"name":"m","adapters":["a")";
  for (int adapter = 0; adapter < 20'000; ++adapter) adapters += ",\"a\"";
  return {EntryWith(ManyModels(2'000)), EntryWith(ManyModels(100'000)), EntryWith(adapters + "]}]"),
          EntryWith(R"("version":")" + std::string(1'000'000, 'v') + "\""),
          EntryWith(R"("zone":")" + std::string(9'000, 'z') + "\"")};
}

TEST_CASE("An entry that fits no datagram does not keep others from the followers") {
  for (const std::string& large : LargeEntries()) {
    INFO(large.size());
    RelayFixture fixture;
    fixture.WaitForWatcher();
    fixture.Exchange(true);
    fixture.follower.store.unreachable = true;
    fixture.Put("servers/i-0-large", large);
    fixture.PutServer("i-2", "ready", "");
    fixture.WaitForWatcher();
    const ChangeAnswer answer = fixture.Exchange(true);
    CHECK_FALSE(answer.gap);
    CHECK(EncodeMessage(FleetMessage(answer)).size() <= kMaxDatagramBytes);
    CHECK(fixture.follower.Record("i-2") != nullptr);
    ServersRequest request{1, ""};
    bool more = true;
    std::size_t listed = 0;
    for (int pages = 0; more && pages < 10; ++pages) {
      const ServersPage page = fixture.watcher.store_view.MakeServersPage(request);
      CHECK(EncodeMessage(FleetMessage(page)).size() <= kMaxDatagramBytes);
      listed += page.servers.size();
      request.after = page.last;
      more = page.more;
    }
    CHECK_FALSE(more);
    CHECK(listed >= 4);
    CHECK(fixture.watcher.metrics.entries_skipped == 1);
  }
}

TEST_CASE("An entry with many models does not hold up the daemon that reads it") {
  RelayFixture fixture;
  fixture.WaitForWatcher();
  const auto began = BootClock::now();
  for (int beat = 0; beat < 3; ++beat) {
    fixture.Put("servers/i-0-large", EntryWith(ManyModels(50'000 + beat)));
    fixture.WaitForWatcher();
  }
  CHECK(BootClock::now() - began < milliseconds(5'000));
}

/// Records that a relay of another build may pass on.
std::vector<ServerRecord> OddRecords() {
  ServerRecord sound;
  sound.id = "i-odd";
  sound.service = "s";
  sound.endpoint = {"127.0.0.1", 1};
  sound.software_version = "v1";
  std::vector<ServerRecord> records(6, sound);
  records[0].endpoint.port = 0;
  records[1].endpoint.address = "no address";
  records[2].endpoint.address = std::string("127.0.0.1\0", 10);
  records[3].service.clear();
  records[4].software_version = std::string(6'000, 'v');
  records[5].id.clear();
  return records;
}

TEST_CASE("An odd record among those of a relay costs only itself") {
  for (const ServerRecord& odd : OddRecords()) {
    RelayFixture fixture;
    fixture.WaitForWatcher();
    fixture.Exchange();
    fixture.PutServer("i-2", "ready", "");
    fixture.WaitForWatcher();
    const std::optional<ChangeRequest> request = fixture.follower.store_view.MakeChangeQuestion();
    REQUIRE(request);
    ChangeAnswer answer = fixture.watcher.store_view.MakeChangeAnswer(*request, 20, true);
    answer.servers.insert(answer.servers.begin(), {answer.to_revision, false, odd});
    fixture.follower.store_view.TakeAnswer(answer);
    CHECK(fixture.follower.Record(odd.id) == nullptr);
    CHECK(fixture.follower.Record("i-2") != nullptr);
    CHECK(fixture.follower.metrics.entries_skipped == 1);
  }
}

TEST_CASE("A server whose address is none fails its requests and not the daemon") {
  boost::asio::io_context context;
  std::optional<HttpStage> failed_at;
  std::exception_ptr other;
  boost::asio::co_spawn(
      context,
      [&]() -> Awaitable<void> {
        UpstreamConnection connection(context, {"no address", 1});
        try {
          co_await connection.Connect(BootClock::now() + milliseconds(1'000));
        } catch (const HttpError& error) {
          failed_at = error.stage();
        }
      },
      [&](std::exception_ptr error) { other = error; });
  context.run_for(milliseconds(3'000));
  CHECK(other == nullptr);
  CHECK(failed_at == HttpStage::kConnecting);
}

}  // namespace
}  // namespace moorfold
