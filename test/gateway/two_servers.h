#pragma once

#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "pipeline_fixture.h"

namespace moorfold {

inline const std::string kSealed = "X-Response-Seal: s1\r\nX-Request-Id: one\r\n";

/// Sends the same bytes in response to each request on a connection, and counts the requests.
inline ScriptedServer::Script Always(std::string answer, std::atomic<int>& requests) {
  return [answer, &requests](ScriptedConnection& connection) {
    while (!connection.ReadHead().empty()) {
      ++requests;
      connection.Write(answer);
    }
  };
}

inline std::string Answer(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

/// A pipeline with one server and, after `AddSecond`, a second one that answers every request.
struct TwoServers {
  explicit TwoServers(const std::string& answer, RouteType type = RouteType::kRepeatable)
      : first(Always(answer, first_requests)),
        second(Always(Answer("200 OK", kSealed), second_requests)) {
    fixture.SetRoutes({PipelineFixture::MakeRoute(type)});
    fixture.AddServer(first_id, first.endpoint());
  }
  void AddSecond() { fixture.AddServer(first_id == "i-1" ? "i-2" : "i-1", second.endpoint()); }
  std::string Send() { return fixture.Exchange(PipelineFixture::Request()); }

  /// Runs the test with either ID, so that the tie-break between servers does not matter.
  std::string first_id = GENERATE("i-1", "i-2");
  std::atomic<int> first_requests = 0;
  std::atomic<int> second_requests = 0;
  PipelineFixture fixture;
  ScriptedServer first;
  ScriptedServer second;
};

}  // namespace moorfold
