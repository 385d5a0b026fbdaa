#include "overload/overload_detector.h"

#include <catch2/catch.hpp>

namespace moorfold::overload {
namespace {

using std::chrono::milliseconds;
using Time = OverloadDetector::Time;

constexpr double kLinkMbps = 10;
constexpr std::size_t kRequestBytes = 9'200;

Time At(std::int64_t ms) { return Time{} + std::chrono::hours(1) + milliseconds(ms); }

/// Offers requests at a steady rate for three seconds; while something is short, none is read.
/// @return the bytes per second that were read.
double BytesReadPerSecond(OverloadDetector& detector, int requests_per_second) {
  constexpr int kSeconds = 3;
  constexpr std::int64_t kMsPerSecond = 1'000;
  std::size_t bytes = 0;
  for (int number = 0; number < requests_per_second * kSeconds; ++number) {
    const Time now = At(number * kMsPerSecond / requests_per_second);
    if (detector.Update(now) != Shortage::kNone) continue;
    detector.ConnectionAccepted(now);
    detector.RequestRead(kRequestBytes, true, now);
    bytes += kRequestBytes;
  }
  return static_cast<double>(bytes) / kSeconds;
}

TEST_CASE("A daemon reads no more requests than its link carries") {
  constexpr double kLinkBytesPerSecond = kLinkMbps * 1e6 / 8;
  const int requests_per_second = GENERATE(200, 1'000, 5'000);
  CAPTURE(requests_per_second);
  OverloadDetector detector({kLinkMbps, 0});
  const double read = BytesReadPerSecond(detector, requests_per_second);
  CHECK(read < kLinkBytesPerSecond);
  CHECK(read > kLinkBytesPerSecond / 2);
}

TEST_CASE("A daemon whose link has room reads all requests") {
  constexpr int kRequestsPerSecond = 50;
  OverloadDetector detector({kLinkMbps, 0});
  CHECK(BytesReadPerSecond(detector, kRequestsPerSecond) == kRequestBytes * kRequestsPerSecond);
}

TEST_CASE("A link of unknown bandwidth is never short") {
  constexpr int kRequestsPerSecond = 5'000;
  OverloadDetector detector({0, 0});
  CHECK(BytesReadPerSecond(detector, kRequestsPerSecond) == kRequestBytes * kRequestsPerSecond);
}

TEST_CASE("Connections accepted at the same moment are counted before their requests are read") {
  constexpr int kConnections = 1'000;
  OverloadDetector detector({kLinkMbps, 0});
  int accepted = 0;
  while (accepted < kConnections && detector.Update(At(0)) == Shortage::kNone) {
    detector.ConnectionAccepted(At(0));
    ++accepted;
  }
  CHECK(detector.shortage() == Shortage::kLink);
  CHECK(accepted < kConnections / 10);
}

TEST_CASE("Connections without a request do not keep a daemon from accepting others") {
  constexpr int kConnections = 100;
  OverloadDetector detector({kLinkMbps, 0});
  for (int connection = 0; connection < kConnections; ++connection)
    detector.ConnectionAccepted(At(0));
  CHECK(detector.Update(At(0)) == Shortage::kLink);
  CHECK(detector.Update(At(2'000)) == Shortage::kNone);
}

TEST_CASE("Connections closed unread count for the link, since their requests have crossed it") {
  constexpr int kConnections = 100;
  OverloadDetector detector({kLinkMbps, 0});
  detector.ConnectionsClosedUnread(kConnections, At(0));
  CHECK(detector.Update(At(0)) == Shortage::kLink);
  CHECK(detector.Update(At(10'000)) == Shortage::kNone);
}

TEST_CASE("The link is short while all connections to servers are delayed") {
  OverloadDetector detector({kLinkMbps, 0});
  for (std::int64_t ms = 0; ms <= 200; ms += 20) detector.ConnectTimed(milliseconds(80), At(ms));
  CHECK(detector.Update(At(200)) == Shortage::kLink);
  for (std::int64_t ms = 220; ms <= 500; ms += 20) detector.ConnectTimed(milliseconds(2), At(ms));
  CHECK(detector.Update(At(500)) == Shortage::kNone);
}

TEST_CASE("A server to which connections are slow is no shortage of the link") {
  OverloadDetector detector({kLinkMbps, 0});
  for (std::int64_t ms = 0; ms <= 400; ms += 20)
    detector.ConnectTimed(milliseconds(ms % 40 == 0 ? 200 : 1), At(ms));
  CHECK(detector.Update(At(400)) == Shortage::kNone);
}

TEST_CASE("A link found slow is taken for as fast as it is said to be after some seconds") {
  constexpr int kRequestsPerSecond = 1'000;
  OverloadDetector calm({kLinkMbps, 0});
  OverloadDetector delayed({kLinkMbps, 0});
  for (std::int64_t ms = -20'000; ms <= -19'000; ms += 20)
    delayed.ConnectTimed(milliseconds(80), At(ms));
  for (std::int64_t ms = -19'000; ms < 0; ms += 1'000) delayed.Update(At(ms));
  CHECK(BytesReadPerSecond(delayed, kRequestsPerSecond) ==
        Approx(BytesReadPerSecond(calm, kRequestsPerSecond)).epsilon(0.05));
}

TEST_CASE("The processor is short while the event loop is late most of the time") {
  OverloadDetector detector({0, 0});
  for (int sample = 0; sample < 20; ++sample)
    detector.LoopSampled(milliseconds(30), milliseconds(40));
  CHECK(detector.Update(At(0)) == Shortage::kProcessor);
  for (int sample = 0; sample < 60; ++sample)
    detector.LoopSampled(milliseconds(0), milliseconds(10));
  CHECK(detector.Update(At(0)) == Shortage::kNone);
}

TEST_CASE("A single late timer is no shortage of the processor") {
  OverloadDetector detector({0, 0});
  detector.LoopSampled(milliseconds(30), milliseconds(40));
  CHECK(detector.Update(At(0)) == Shortage::kNone);
}

TEST_CASE("Connections are short when all that the daemon can hold are open") {
  OverloadDetector detector({0, 100});
  detector.SetOpenConnections(99);
  CHECK(detector.Update(At(0)) == Shortage::kNone);
  detector.SetOpenConnections(100);
  CHECK(detector.Update(At(0)) == Shortage::kConnections);
  detector.SetOpenConnections(95);
  CHECK(detector.Update(At(0)) == Shortage::kConnections);
  detector.SetOpenConnections(85);
  CHECK(detector.Update(At(0)) == Shortage::kNone);
}

TEST_CASE("The connections of a daemon leave descriptors for those to servers") {
  const std::size_t descriptors = GENERATE(300, 4'100, 8'192);
  CAPTURE(descriptors);
  CHECK(ConnectionCapacity(descriptors, 0) > 0);
  CHECK(ConnectionCapacity(descriptors, 0) * 2 <= descriptors - 200);
  CHECK(ConnectionCapacity(descriptors, 10) <= ConnectionCapacity(descriptors, 0));
  CHECK(ConnectionCapacity(0, 0) == 0);
}

}  // namespace
}  // namespace moorfold::overload
