// When a retry counts against the budget.

#include <catch2/catch.hpp>

#include "../gateway/pipeline_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

TEST_CASE("A retry that waits for a server does not count against the budget before it is sent") {
  PipelineFixture fixture;
  std::atomic<int> requests{0};
  ScriptedServer server([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty())
      connection.Write(requests++ == 0
                           ? "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nRetry-After: 0.6\r\n"
                             "X-Request-Id: one\r\nContent-Length: 0\r\n\r\n"
                           : "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Request-Id: one\r\n"
                             "Content-Length: 4\r\n\r\ndone");
  });
  Route route = PipelineFixture::MakeRoute(RouteType::kAtMostOnce);
  route.target = milliseconds(2'000);
  fixture.SetRoutes({route});
  fixture.AddServer("i-1", server.endpoint());
  auto answer =
      std::async(std::launch::async, [&] { return fixture.Exchange(PipelineFixture::Request()); });
  while (requests == 0) std::this_thread::sleep_for(milliseconds(2));
  std::this_thread::sleep_for(milliseconds(200));
  std::uint64_t counted = 0;
  fixture.OnThread([&] { counted = fixture.metrics().retries.granted_used; });
  CHECK(requests == 1);
  CHECK(counted == 0);
  CHECK(answer.get().ends_with("done"));
  CHECK(fixture.metrics().retries.granted_used == 1);
}

}  // namespace
}  // namespace moorfold
