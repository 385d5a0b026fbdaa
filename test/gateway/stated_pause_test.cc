// Servers that reject a request with a Retry-After.

#include <catch2/catch.hpp>

#include "two_servers.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

TEST_CASE("A server that rejects a request with a Retry-After gets no requests for that time") {
  const std::string refusal = Answer(
      "503 Service Unavailable", "X-Request-Id: one\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n");
  TwoServers servers(refusal);
  const auto began = BootClock::now();
  const std::string answer = servers.Send();
  CHECK(PipelineFixture::Status(answer) == 503);
  // A later request could wait until the pause ends.
  while (BootClock::now() - began < milliseconds(1'700)) {
    servers.Send();
    std::this_thread::sleep_for(milliseconds(20));
  }
  CHECK(servers.first_requests == 1);
  std::this_thread::sleep_for(milliseconds(500));
  servers.Send();
  CHECK(servers.first_requests == 2);
}

TEST_CASE(
    "If all servers have asked for a pause, requests are refused at once with its remaining time") {
  const std::string refusal = Answer(
      "503 Service Unavailable", "X-Request-Id: one\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n");
  TwoServers servers(refusal);
  servers.Send();
  const auto began = BootClock::now();
  const std::string answer = servers.Send();
  CHECK(BootClock::now() - began < milliseconds(100));
  CHECK(PipelineFixture::Status(answer) == 503);
  const std::size_t at = answer.find("Retry-After: ");
  REQUIRE(at != std::string::npos);
  const double seconds = std::stod(answer.substr(at + 13));
  CHECK(seconds > 1.5);
  CHECK(seconds < 3.5);
  servers.AddSecond();
  CHECK(PipelineFixture::Status(servers.Send()) == 200);
}

}  // namespace
}  // namespace moorfold
