// Responses to a request that crashes servers, and whether it is forwarded.

#include <catch2/catch.hpp>

#include "../gateway/pipeline_fixture.h"
#include "gateway/quarantine_api.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

std::string Post(const std::string& body) {
  return "POST /p/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: one\r\nX-Deadline-Ms: 3000\r\n"
         "Connection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Servers that crash on any request.
struct CrashingServers {
  CrashingServers(PipelineFixture& fixture, int count) : fixture_(fixture) {
    for (int number = 0; number < count; ++number) {
      const auto index = static_cast<std::size_t>(number);
      crashing_servers.push_back(
          std::make_unique<ScriptedServer>([this, index](ScriptedConnection& caller) {
            if (caller.ReadHead().empty()) return;
            crashing_servers[index]->StopListening();
            caller.Reset();
          }));
      fixture_.AddServer("i-" + std::to_string(number), crashing_servers.back()->endpoint());
    }
  }
  /// Sends a request and waits until the evidence of this attempt has been processed.
  unsigned SendAndWait(const std::string& request, const std::string& from,
                       std::string* answer = nullptr) {
    const std::string raw_response = fixture_.Exchange(request, "", from);
    std::this_thread::sleep_for(milliseconds(100));
    if (answer != nullptr) *answer = raw_response;
    return PipelineFixture::Status(raw_response);
  }

  std::vector<std::unique_ptr<ScriptedServer>> crashing_servers;

 private:
  PipelineFixture& fixture_;
};

bool IsSuspected(PipelineFixture& fixture, const std::string& body) {
  quarantine::QuarantineState state{};
  const Fingerprint fingerprint = FingerprintOf({"h", "/p/x", "", body});
  fixture.OnThread([&] { state = fixture.quarantine().StateFor(fingerprint, ""); });
  return state != quarantine::QuarantineState::kClear;
}

/// Waits for the verdict: each crash is confirmed by probes of the server, which come late on an
/// overloaded machine.
bool IsQuarantinedWithinAMinute(PipelineFixture& fixture, const std::string& body) {
  const Fingerprint fingerprint = FingerprintOf({"h", "/p/x", "", body});
  const auto deadline = BootClock::now() + std::chrono::minutes(1);
  quarantine::QuarantineState state{};
  do {
    fixture.OnThread([&] { state = fixture.quarantine().StateFor(fingerprint, ""); });
    if (state == quarantine::QuarantineState::kQuarantined) return true;
    std::this_thread::sleep_for(milliseconds(5));
  } while (BootClock::now() < deadline);
  return false;
}

TEST_CASE("Retries of a request are recognized from any client address") {
  PipelineFixture fixture;
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  CrashingServers servers(fixture, 2);
  const std::string request = Post("the same each time");
  for (const char* from : {"127.0.0.1", "127.0.0.2"})
    CHECK(servers.SendAndWait(request, from) == 502);
  REQUIRE(IsQuarantinedWithinAMinute(fixture, "the same each time"));
  std::atomic<int> reached{0};
  ScriptedServer healthy_server([&](ScriptedConnection& caller) {
    while (!caller.ReadHead().empty()) {
      ++reached;
      caller.Write(
          "HTTP/1.1 200 OK\r\nX-Response-Seal: s1\r\nX-Request-Id: one\r\nContent-Length: 0\r\n"
          "Connection: close\r\n\r\n");
    }
  });
  fixture.AddServer("i-9", healthy_server.endpoint());
  std::string answer;
  CHECK(servers.SendAndWait(request, "127.0.0.4", &answer) == 503);
  CHECK(answer.find("\"code\":\"quarantined\"") != std::string::npos);
  CHECK(answer.find("\"executed\":\"no\"") != std::string::npos);
  CHECK(answer.find("Retry-After") == std::string::npos);
  CHECK(reached == 0);
  CHECK(servers.SendAndWait(Post("another body"), "127.0.0.1") == 200);
  CHECK(reached == 1);
}

TEST_CASE("Only a complete successful response clears a suspected request") {
  PipelineFixture fixture;
  fixture.SetRoutes({PipelineFixture::MakeRoute(RouteType::kAtMostOnce)});
  const std::string request = Post("the same each time");
  std::atomic<int> status{504};
  ScriptedServer healthy_server([&](ScriptedConnection& caller) {
    while (!caller.ReadHead().empty())
      caller.Write("HTTP/1.1 " + std::to_string(status) +
                   " x\r\nX-Response-Seal: s1\r\nX-Request-Id: one\r\nContent-Length: 0\r\n"
                   "Connection: close\r\n\r\n");
  });
  CrashingServers servers(fixture, 1);
  CHECK(servers.SendAndWait(request, "127.0.0.1") == 502);
  fixture.AddServer("i-9", healthy_server.endpoint());
  CHECK(servers.SendAndWait(request, "127.0.0.1") == 504);
  CHECK(IsSuspected(fixture, "the same each time"));
  status = 200;
  CHECK(servers.SendAndWait(request, "127.0.0.1") == 200);
  CHECK_FALSE(IsSuspected(fixture, "the same each time"));
}

TEST_CASE("The operator can list and release quarantined requests") {
  PipelineFixture fixture;
  const Fingerprint crashing_request = FingerprintOf({"h", "/p/x", "", "crasher"});
  const auto call = [&](const std::string& method, const std::string& target) {
    HttpResponse response;
    fixture.OnThread([&] {
      response = AnswerQuarantineCall({method, target, {}, ""}, fixture.quarantine());
    });
    return response;
  };
  CHECK(call("GET", "/quarantine").body.empty());
  fixture.OnThread([&] {
    for (const char* server : {"i-1", "i-2", "i-3"}) {
      fixture.quarantine().Note(quarantine::ConnectionClosed{crashing_request, "s", server, "v1"});
      fixture.quarantine().Note(quarantine::ServerEnded{server});
    }
  });
  const std::string row = call("GET", "/quarantine").body;
  CHECK(row.starts_with(ToString(crashing_request) + " s 3 5"));
  CHECK(row.ends_with(" v1\n"));
  struct Case {
    const char* method;
    std::string target;
    unsigned status;
    const char* remedy;
  };
  const std::vector<Case> invalid_calls = {
      {"POST", "/quarantine/release/zz", 400, "32 hexadecimal digits"},
      {"POST", "/quarantine/release/" + std::string(32, '0'), 404, "look at the list again"},
      {"GET", "/quarantine/release/" + ToString(crashing_request), 404,
       "POST /quarantine/release/"},
      {"GET", "/quarantines", 404, "GET /quarantine lists"}};
  for (const Case& invalid_call : invalid_calls) {
    CAPTURE(invalid_call.target);
    const HttpResponse response = call(invalid_call.method, invalid_call.target);
    CHECK(response.status == invalid_call.status);
    CHECK(response.body.find(invalid_call.remedy) != std::string::npos);
  }
  CHECK(call("POST", "/quarantine/release/" + ToString(crashing_request)).status == 200);
  CHECK(call("GET", "/quarantine").body.empty());
}

}  // namespace
}  // namespace moorfold
