// Refusals of requests that were sent through another daemon.

#include <catch2/catch.hpp>

#include "../gateway/pipeline_fixture.h"

namespace moorfold {
namespace {

const std::string kOwnId = "X-Request-Id: one\r\n";
const std::string kNotRun = "X-Not-Executed: 1\r\n";
const std::string kNoRunThere = "Moorfold-Detour-Result: 0;0\r\n";
const std::string kDeclined = "Moorfold-Detour-Result: 1;0\r\n";
const std::string kSealed = "X-Response-Seal: s1\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\n" + kSealed + kOwnId +
                        "Moorfold-Detour-Result: 0;1\r\nContent-Length: 4\r\n\r\ndone";

std::string RefusalBytes(const std::string& headers,
                         const std::string& status = "503 Service Unavailable") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

const std::string kProvenRefusal = RefusalBytes(kOwnId + kNotRun + kNoRunThere);
const std::string kDeclinedRefusal = RefusalBytes(kOwnId + kNotRun + kDeclined);
const std::string kRefusalOfAnother = RefusalBytes("X-Request-Id: two\r\n" + kNotRun + kNoRunThere);

/// Sends one request that may run only once to a daemon that has lost contact with the servers.
/// @return the status that the client gets.
unsigned SendThrough(ScriptedServer& other_daemon) {
  PipelineFixture fixture;
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  fixture.Isolate(other_daemon.endpoint());
  const std::string answer = fixture.Exchange(PipelineFixture::Request());
  return PipelineFixture::Status(answer);
}

TEST_CASE("A refusal by another daemon that does not prove that nothing ran is not passed on") {
  const std::string refusal =
      GENERATE(RefusalBytes(kNotRun + kNoRunThere), RefusalBytes(kOwnId + kNotRun),
               RefusalBytes(kOwnId + "Moorfold-Detour-Result: 0;1\r\n"),
               RefusalBytes(kOwnId + kNotRun + kNoRunThere + kSealed),
               RefusalBytes(kOwnId + kSealed, "408 Request Timeout"),
               RefusalBytes(kOwnId, "421 Misdirected"));
  ScriptedServer other_daemon([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) connection.Write(refusal);
  });
  CHECK(SendThrough(other_daemon) == 502);
}

TEST_CASE("A refusal by another daemon that proves that nothing ran is passed on") {
  ScriptedServer other_daemon([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) connection.Write(kProvenRefusal);
  });
  CHECK(SendThrough(other_daemon) == 503);
}

TEST_CASE("A response of another daemon to another request is not taken for the answer") {
  ScriptedServer other_daemon([&](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      connection.Write(kRefusalOfAnother);
      connection.Write(kOk);
    }
  });
  CHECK(SendThrough(other_daemon) == 200);
}

TEST_CASE("A daemon's refusal that comes twice is not reported for a request that it runs later") {
  std::atomic<int> refused{0};
  std::atomic<int> runs{0};
  ScriptedServer other_daemon([&](ScriptedConnection& connection) {
    bool repeats = false;
    while (!connection.ReadHead().empty()) {
      if (repeats) connection.Write(kProvenRefusal);
      repeats = refused++ == 0;
      if (!repeats) ++runs;
      connection.Write(repeats ? kDeclinedRefusal : kOk);
    }
  });
  const unsigned status = SendThrough(other_daemon);
  CHECK(runs <= 1);
  CHECK(status == (runs == 0 ? 503 : 200));
}

}  // namespace
}  // namespace moorfold
