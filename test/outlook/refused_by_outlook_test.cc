// Tests requests in the pipeline whose models have an outlook.

#include <catch2/catch.hpp>

#include "../gateway/pipeline_fixture.h"
#include "outlook/outlook_receiver.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kModelHeader = "X-Model: m\r\n";
/// Without an outlook the request waits for 1.2 s.
constexpr milliseconds kAtOnce{600};

struct OutlookFixture : PipelineFixture {
  OutlookFixture() {
    SetRoutes({MakeRoute(RouteType::kAtMostOnce)}, true);
    AddServer("without", {"127.0.0.1", 1}, {{"other", {}}});
  }
  void Announce(std::int64_t ready_in_ms) {
    OnThread([&] {
      outlook::ApplyNotice({"s", {{"m", ready_in_ms}}}, BootClock::now(), view().expected);
      view().changed.NotifyAll();
    });
  }
};

TEST_CASE("A request whose model cannot be ready in time is refused at once and counts as demand") {
  OutlookFixture fixture;
  fixture.Announce(20'000);
  const auto began = BootClock::now();
  const std::string answer = fixture.Exchange(PipelineFixture::Request("/p/x", kModelHeader));
  CHECK(BootClock::now() - began < kAtOnce);
  CHECK(PipelineFixture::Status(answer) == 503);
  CHECK(answer.find("Retry-After") != std::string::npos);
  fixture.OnThread([&] {
    CHECK(fixture.metrics().requests_refused_by_outlook == 1);
    const std::vector<DemandEntry> entries = fixture.view().demand.Take();
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].waiting == 1);
    CHECK(entries[0].arrivals == 1);
  });
}

TEST_CASE("A request that already waits is refused when the outlook arrives") {
  OutlookFixture fixture;
  std::string answer;
  std::thread client(
      [&] { answer = fixture.Exchange(PipelineFixture::Request("/p/x", kModelHeader)); });
  bool waits = false;
  while (!waits) fixture.OnThread([&] { waits = fixture.metrics().waits_for_server == 1; });
  const auto announced = BootClock::now();
  fixture.Announce(20'000);
  client.join();
  CHECK(BootClock::now() - announced < kAtOnce);
  CHECK(PipelineFixture::Status(answer) == 503);
}

TEST_CASE("A model that a server holds is served whatever the outlook says") {
  OutlookFixture fixture;
  fixture.Announce(20'000);
  ScriptedServer server([](ScriptedConnection& connection) {
    connection.ReadHead();
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Request-Id: one\r\nConnection: close\r\n"
        "Content-Length: 2\r\n\r\nok");
  });
  fixture.AddServer("i-1", server.endpoint(), {{"m", {}}});
  const std::string answer = fixture.Exchange(PipelineFixture::Request("/p/x", kModelHeader));
  CHECK(PipelineFixture::Status(answer) == 200);
  fixture.OnThread([&] { CHECK(fixture.metrics().requests_refused_by_outlook == 0); });
}

}  // namespace
}  // namespace moorfold
