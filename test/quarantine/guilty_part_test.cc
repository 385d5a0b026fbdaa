// Decides which part of prompts crashes servers, from the crashes and successes of requests that
// share some of their parts.

#include <algorithm>
#include <catch2/catch.hpp>

#include "quarantine/crash_tracker.h"

namespace moorfold {
namespace {

using quarantine::CasesReceived;
using quarantine::ConnectionClosed;
using quarantine::CrashTracker;
using quarantine::QuarantineState;
using quarantine::Released;
using quarantine::RequestSucceeded;
using quarantine::ServerEnded;
using quarantine::Settings;
using quarantine::Tick;
using quarantine::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kV1 = "v1";
using Parts = std::vector<std::string>;

Fingerprint Part(const std::string& id) { return PartFingerprintOf("s", id); }

/// A tracker, a clock that the test advances, and requests of which no two are alike.
struct PartFixture {
  explicit PartFixture(Settings settings = {}) : tracker(settings) {}

  static std::vector<Fingerprint> Fingerprints(const Parts& parts) {
    std::vector<Fingerprint> fingerprints;
    for (const std::string& part : parts) fingerprints.push_back(Part(part));
    return fingerprints;
  }
  Fingerprint NewRequest() {
    return FingerprintOf({"host", "/p", "", "body " + std::to_string(next_body++)});
  }
  /// Crashes a new server while it runs one request with each list of parts.
  void Crash(const std::vector<Parts>& running, const std::string& version = kV1) {
    const std::string server = "i-" + std::to_string(next_server++);
    for (const Parts& parts : running)
      tracker.Reduce(ConnectionClosed{NewRequest(), "s", server, version, Fingerprints(parts)},
                     now);
    tracker.Reduce(ServerEnded{server}, now);
    Advance(seconds(1));
  }
  void Succeed(const Parts& parts, const std::string& version = kV1) {
    tracker.Reduce(RequestSucceeded{NewRequest(), version, Fingerprints(parts)}, now);
  }
  void Advance(milliseconds time) {
    now += time;
    tracker.Reduce(Tick{}, now);
  }
  bool Quarantined(const std::string& part, const std::string& version = kV1) const {
    return tracker.StateFor(Part(part), version, now) == QuarantineState::kQuarantined;
  }

  QuarantineState StateOf(const Parts& parts) const {
    return tracker.StateOfParts(Fingerprints(parts), kV1);
  }

  CrashTracker tracker;
  Time now = Time(std::chrono::hours(100));
  int next_server = 1;
  int next_body = 1;
};

TEST_CASE("A part under which three servers crashed is quarantined, a part with successes is not") {
  PartFixture fixture;
  for (int crash = 0; crash < 3; ++crash) {
    CHECK_FALSE(fixture.Quarantined("guilty"));
    fixture.Crash({{"first", "guilty"}, {"first", "other"}});
    fixture.Succeed({"first", "other"});
  }
  CHECK(fixture.Quarantined("guilty"));
  CHECK_FALSE(fixture.Quarantined("first"));
  CHECK_FALSE(fixture.Quarantined("other"));
}

TEST_CASE("Sound parts of 64 requests on each crashed server are spared") {
  PartFixture fixture;
  for (int crash = 0; crash < 5; ++crash) {
    std::vector<Parts> running = {{"first", "guilty"}};
    for (int neighbor = 0; neighbor < 63; ++neighbor)
      running.push_back({"first", "rare-" + std::to_string((crash * 7 + neighbor) % 100)});
    fixture.Crash(running);
    fixture.Succeed({"first", "rare-99"});
  }
  CHECK(fixture.Quarantined("guilty"));
  CHECK(fixture.tracker.quarantined() == 1);
}

TEST_CASE("Two guilty parts are both quarantined, even if they share a crashed server") {
  PartFixture fixture;
  fixture.Crash({{"first", "guilty"}, {"first", "guilty too"}});
  for (int crash = 0; crash < 4; ++crash) {
    fixture.Crash({{"first", "guilty"}});
    fixture.Crash({{"first", "guilty too"}});
    fixture.Succeed({"first", "other"});
  }
  CHECK(fixture.Quarantined("guilty"));
  CHECK(fixture.Quarantined("guilty too"));
  CHECK_FALSE(fixture.Quarantined("first"));
}

TEST_CASE("A guilty first part is quarantined although all requests of a route have it") {
  PartFixture fixture;
  for (int crash = 0; crash < 3; ++crash) {
    fixture.Crash({{"guilty", "a" + std::to_string(crash)}, {"other", "b"}});
    fixture.Succeed({"other", "b"});
  }
  CHECK(fixture.Quarantined("guilty"));
  CHECK(fixture.tracker.quarantined() == 1);
}

TEST_CASE("Parts that always come together are quarantined after the fifth crash") {
  PartFixture fixture;
  for (int crash = 0; crash < 4; ++crash) fixture.Crash({{"guilty", "companion"}});
  CHECK(fixture.tracker.quarantined() == 0);
  fixture.Crash({{"guilty", "companion"}});
  CHECK(fixture.Quarantined("guilty"));
  CHECK(fixture.Quarantined("companion"));
}

TEST_CASE(
    "A sound part quarantined with a guilty one is unproven for requests without the guilty one") {
  PartFixture fixture;
  for (int crash = 0; crash < 5; ++crash) fixture.Crash({{"first", "guilty"}});
  REQUIRE(fixture.Quarantined("first"));
  CHECK(fixture.StateOf({"first", "guilty"}) == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf({"first", "sound"}) == QuarantineState::kUnproven);
  CHECK(fixture.StateOf({"other", "sound"}) == QuarantineState::kClear);
  fixture.Succeed({"first", "sound"});
  CHECK(fixture.StateOf({"first", "sound"}) == QuarantineState::kClear);
  CHECK(fixture.StateOf({"first", "guilty"}) == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf({"guilty"}) == QuarantineState::kQuarantined);
}

TEST_CASE(
    "A sound part with more crashes than the guilty one is unproven, and cleared by a success") {
  PartFixture fixture;
  fixture.Crash({{"first", "guilty too"}});
  for (int crash = 0; crash < 4; ++crash) fixture.Crash({{"first", "guilty"}});
  REQUIRE(fixture.Quarantined("first"));
  CHECK(fixture.StateOf({"first", "sound"}) == QuarantineState::kUnproven);
  fixture.Succeed({"first", "sound"});
  CHECK(fixture.StateOf({"first", "sound"}) == QuarantineState::kClear);
  CHECK(fixture.Quarantined("guilty"));
}

TEST_CASE("A guilty part is proven after two crashes without the part that always came with it") {
  PartFixture fixture;
  for (int crash = 0; crash < 5; ++crash) fixture.Crash({{"guilty", "companion"}});
  fixture.Crash({{"guilty", "a"}});
  CHECK(fixture.StateOf({"guilty", "b"}) == QuarantineState::kUnproven);
  fixture.Crash({{"guilty", "b"}});
  CHECK(fixture.StateOf({"guilty", "c"}) == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf({"companion", "c"}) == QuarantineState::kUnproven);
}

TEST_CASE("A part that crashed servers beside no other suspected part needs no trial") {
  PartFixture fixture;
  for (int crash = 0; crash < 3; ++crash)
    fixture.Crash({{"guilty", "rare-" + std::to_string(crash)}});
  REQUIRE(fixture.Quarantined("guilty"));
  CHECK(fixture.StateOf({"guilty", "new"}) == QuarantineState::kQuarantined);
}

TEST_CASE("A daemon that missed the clearance of a quarantined part is told again") {
  PartFixture fixture;
  for (int crash = 0; crash < 3; ++crash) fixture.Crash({{"sound"}});
  REQUIRE(fixture.Quarantined("sound"));
  const CasesReceived outdated{{fixture.tracker.ExportCase(Part("sound"), fixture.now)}};
  fixture.Succeed({"sound"});
  REQUIRE_FALSE(fixture.Quarantined("sound"));
  const auto effects = fixture.tracker.Reduce(outdated, fixture.now);
  CHECK(effects.updated_cases == std::vector<Fingerprint>{Part("sound")});
  CHECK_FALSE(fixture.Quarantined("sound"));
}

TEST_CASE("A part that crashes one version is quarantined there and spared where it succeeds") {
  PartFixture fixture;
  for (int crash = 0; crash < 3; ++crash) {
    fixture.Succeed({"first", "guilty"}, kV1);
    fixture.Crash({{"first", "guilty"}}, "v2");
    fixture.Succeed({"first", "other"}, "v2");
  }
  CHECK(fixture.Quarantined("guilty", "v2"));
  CHECK_FALSE(fixture.Quarantined("guilty", kV1));
  CHECK_FALSE(fixture.Quarantined("first", "v2"));
}

TEST_CASE("A part that begins to crash servers after many successes is quarantined in time") {
  PartFixture fixture;
  for (int success = 0; success < 100; ++success) fixture.Succeed({"first", "guilty"});
  fixture.Crash({{"first", "guilty"}});
  for (int crash = 0; crash < 3; ++crash) {
    fixture.Crash({{"first", "guilty"}});
    fixture.Succeed({"first", "other"});
  }
  CHECK(fixture.Quarantined("guilty"));
}

TEST_CASE("Crashes that daemons saw one each add up, and a success that one of them saw counts") {
  PartFixture receiver;
  receiver.Succeed({"first"});
  for (int daemon = 0; daemon < 3; ++daemon) {
    PartFixture observer;
    observer.now = receiver.now;
    observer.next_server = 100 + daemon;
    observer.next_body = 100 + daemon;
    observer.Crash({{"first", "guilty"}});
    CasesReceived received;
    for (const char* part : {"first", "guilty"})
      received.cases.push_back(observer.tracker.ExportCase(Part(part), observer.now));
    receiver.tracker.Reduce(received, receiver.now);
    receiver.Advance(milliseconds(400));
    receiver.Succeed({"first"});
  }
  CHECK(receiver.Quarantined("guilty"));
  CHECK_FALSE(receiver.Quarantined("first"));
}

TEST_CASE("Parts that clients invent neither grow the memory nor push out a suspected part") {
  Settings settings;
  settings.max_cases = 500;
  PartFixture fixture(settings);
  fixture.Crash({{"first", "guilty"}});
  fixture.Crash({{"first", "guilty"}});
  for (int crash = 0; crash < 20; ++crash) {
    std::vector<Parts> running;
    for (int request = 0; request < 64; ++request)
      running.push_back({"invented-" + std::to_string(crash * 64 + request)});
    fixture.Crash(running);
  }
  CHECK(fixture.tracker.size() <= 500);
  CHECK(fixture.tracker.HasCase(Part("guilty")));
  fixture.Crash({{"guilty"}});
  CHECK(fixture.Quarantined("guilty"));
}

TEST_CASE("A quarantined part can be released, and is remembered with the stored cases") {
  PartFixture fixture;
  for (int crash = 0; crash < 3; ++crash) fixture.Crash({{"guilty"}});
  REQUIRE(fixture.Quarantined("guilty"));
  PartFixture restarted;
  restarted.tracker.Reduce(CasesReceived{{fixture.tracker.ExportCase(Part("guilty"), fixture.now)}},
                           restarted.now);
  CHECK(restarted.Quarantined("guilty"));
  restarted.Advance(seconds(2));
  restarted.tracker.Reduce(Released{Part("guilty")}, restarted.now);
  CHECK_FALSE(restarted.Quarantined("guilty"));
}

TEST_CASE("Servers that crash at the same moment do not quarantine a part of their requests") {
  PartFixture fixture;
  for (int server = 0; server < 12; ++server) {
    const std::string id = "rack-" + std::to_string(server);
    fixture.tracker.Reduce(ConnectionClosed{fixture.NewRequest(), "s", id, kV1, {Part("first")}},
                           fixture.now);
    fixture.tracker.Reduce(ServerEnded{id}, fixture.now);
  }
  fixture.Advance(seconds(2));
  CHECK_FALSE(fixture.Quarantined("first"));
  // The crowded moment leaves room for evidence of later ones.
  for (int crash = 0; crash < 4; ++crash) fixture.Crash({{"first"}});
  CHECK(fixture.Quarantined("first"));
}

TEST_CASE("Evidence that comes again changes nothing, so daemons do not pass it on for ever") {
  PartFixture observer;
  for (int server = 0; server < 12; ++server) {
    const std::string id = "rack-" + std::to_string(server);
    observer.tracker.Reduce(ConnectionClosed{observer.NewRequest(), "s", id, kV1, {Part("first")}},
                            observer.now);
    observer.tracker.Reduce(ServerEnded{id}, observer.now);
  }
  PartFixture receiver;
  CasesReceived received;
  received.cases.push_back(observer.tracker.ExportCase(Part("first"), observer.now));
  CHECK_FALSE(receiver.tracker.Reduce(received, receiver.now).updated_cases.empty());
  CHECK(receiver.tracker.Reduce(received, receiver.now).updated_cases.empty());
  CasesReceived back;
  back.cases.push_back(receiver.tracker.ExportCase(Part("first"), receiver.now));
  CHECK(observer.tracker.Reduce(back, observer.now).updated_cases.empty());
}

TEST_CASE("Fingerprints of parts are marked, and differ by service and id") {
  CHECK(IsPartFingerprint(Part("a")));
  CHECK_FALSE(IsPartFingerprint(FingerprintOf({"host", "/p", "", "a"})));
  CHECK(Part("a") != Part("b"));
  CHECK(Part("a") != PartFingerprintOf("other", "a"));
}

}  // namespace
}  // namespace moorfold
