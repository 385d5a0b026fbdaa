// Servers whose responses state that they are leaving while the store does not show it.

#include "gateway_deployment.h"
#include "two_servers.h"
#include "view_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

const std::string kLeaving = "Server-Leaving: 1\r\n";

TEST_CASE(
    "After any kind of response that states that its server is leaving, it gets no more requests") {
  const std::string answer = GENERATE(
      Answer("200 OK", kSealed + kLeaving), Answer("404 Not Found", kSealed + kLeaving),
      Answer("500 Internal Server Error", kSealed + kLeaving),
      Answer("503 Service Unavailable", "X-Request-Id: one\r\nX-Not-Executed: 1\r\n" + kLeaving),
      Answer("421 Misdirected Request", "X-Request-Id: one\r\n" + kLeaving));
  CAPTURE(answer);
  TwoServers servers(answer);
  servers.Send();
  const int got = servers.first_requests;
  REQUIRE(got > 0);
  servers.AddSecond();
  for (int request = 0; request < 8; ++request) {
    CHECK(PipelineFixture::Status(servers.Send()) == 200);
    std::this_thread::sleep_for(milliseconds(30));
  }
  CHECK(servers.first_requests == got);
}

TEST_CASE(
    "After a stream whose headers state that its server is leaving, it gets no more requests") {
  const std::string stream = "HTTP/1.1 200 OK\r\n" + kSealed + kLeaving +
                             "Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\n"
                             "id: 1\ndata: a\n\n\n";
  TwoServers servers(stream, RouteType::kStream);
  servers.Send();
  CHECK(servers.first_requests == 1);
  servers.AddSecond();
  CHECK(PipelineFixture::Status(servers.Send()) == 200);
  CHECK(servers.first_requests == 1);
}

TEST_CASE("A server that stated that it is leaving stays out of use when its entry reappears") {
  ViewFixture fixture;
  fixture.PutVersion(1);
  fixture.PutServer("i-1");
  fixture.Start();
  const auto find = [&] { return fixture.view.servers.Find("i-1"); };
  REQUIRE(fixture.RunUntil([&] { return find() != nullptr; }));
  ServerAdvisory statement;
  statement.leaving = true;
  find()->ApplyStatement(statement, BootClock::now(), BootClock::now(), true);
  CHECK_FALSE(find()->Usable(BootClock::now()));
  fixture.PutServer("i-1");
  fixture.RunUntil([] { return false; }, milliseconds(100));
  CHECK_FALSE(find()->Usable(BootClock::now()));
  fixture.Remove("servers/i-1");
  REQUIRE(fixture.RunUntil([&] { return find() == nullptr; }));
  fixture.PutServer("i-1");
  REQUIRE(fixture.RunUntil([&] { return find() != nullptr; }));
  CHECK_FALSE(find()->Usable(BootClock::now()));
  fixture.Put("servers/i-1", ViewFixture::Entry(2'000));  // The server has restarted.
  CHECK(fixture.RunUntil([&] { return find() != nullptr && find()->Usable(BootClock::now()); }));
}

TEST_CASE("Servers that state that they are leaving get no more requests during a store outage") {
  Deployment deployment(3);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  deployment.clients->Start(16);
  deployment.RunFor(milliseconds(1'000));
  std::vector<ServerEmulator*> leaving;
  const auto& servers = deployment.platform.servers();
  leaving.push_back(servers.front().get());  // A model server.
  leaving.push_back(servers.back().get());   // A server without models.
  deployment.platform.store().faults().unavailable = true;
  for (ServerEmulator* server : leaving) server->faults().says_leaving = true;
  // Each gateway learns it from a response to its own request.
  const auto all_recorded = [&] {
    return std::all_of(deployment.gateways.begin(), deployment.gateways.end(),
                       [&](const auto& each) {
                         return each->gateway.metrics().server_statements == leaving.size();
                       });
  };
  REQUIRE(deployment.RunUntil(all_recorded));
  deployment.RunFor(milliseconds(500));  // Requests in progress have arrived.
  std::vector<std::uint64_t> runs;
  for (const ServerEmulator* server : leaving) runs.push_back(server->runs());
  deployment.RunFor(milliseconds(3'000));
  for (std::size_t number = 0; number < leaving.size(); ++number)
    CHECK(leaving[number]->runs() == runs[number]);
  deployment.clients->Stop();
  deployment.RunUntil([&] { return deployment.clients->running() == 0; });
}

}  // namespace
}  // namespace moorfold
