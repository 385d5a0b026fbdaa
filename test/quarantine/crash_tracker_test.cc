#include "quarantine/crash_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using quarantine::CaseChangeKind;
using quarantine::CasesReceived;
using quarantine::ConnectionClosed;
using quarantine::CrashTracker;
using quarantine::Effects;
using quarantine::QuarantineState;
using quarantine::Released;
using quarantine::RequestSucceeded;
using quarantine::ServerEnded;
using quarantine::ServerResponded;
using quarantine::Settings;
using quarantine::Tick;
using quarantine::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kV1 = "v1";

Fingerprint FingerprintOfBody(const std::string& body) {
  return FingerprintOf({"host", "/p", "", body});
}

/// A tracker and a clock that the test advances.
struct TrackerFixture {
  explicit TrackerFixture(Settings settings = {}) : tracker(settings) {}

  Effects Apply(const quarantine::Event& event) { return tracker.Reduce(event, now); }
  void Advance(milliseconds time) {
    now += time;
    Apply(Tick{});
  }
  /// Crashes a server while it runs the given requests.
  void Crash(const std::string& server, const std::vector<std::string>& running,
             const std::string& version = kV1) {
    for (const std::string& each : running)
      Apply(ConnectionClosed{FingerprintOfBody(each), "s", server, version});
    Apply(ServerEnded{server});
  }
  QuarantineState StateOf(const std::string& body, const std::string& version = kV1) const {
    return tracker.StateFor(FingerprintOfBody(body), version, now);
  }

  CrashTracker tracker;
  Time now = Time(std::chrono::hours(100));
};

TEST_CASE(
    "A request that crashed three servers is quarantined even if another request ran on the same "
    "servers") {
  TrackerFixture fixture;
  fixture.Crash("i-1", {"crasher", "a"});
  CHECK(fixture.StateOf("crasher") == QuarantineState::kSuspect);
  fixture.Crash("i-2", {"crasher", "a"});
  fixture.Advance(seconds(1));
  // Request "a" ran on both servers as well.
  CHECK(fixture.StateOf("crasher") == QuarantineState::kSuspect);
  fixture.Crash("i-3", {"crasher", "b"});
  CHECK(fixture.StateOf("crasher") == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf("a") == QuarantineState::kSuspect);
  fixture.Advance(seconds(1));
  // The quarantined request explains both crashes.
  CHECK(fixture.StateOf("a") == QuarantineState::kSuspect);
}

TEST_CASE("Two crashed servers quarantine a request if no other request ran on both of them") {
  TrackerFixture fixture;
  fixture.Crash("i-1", {"crasher", "a"});
  fixture.Crash("i-2", {"crasher", "b"});
  // Evidence about other requests may still arrive.
  CHECK(fixture.StateOf("crasher") == QuarantineState::kUndecided);
  fixture.Advance(milliseconds(300));
  CHECK(fixture.StateOf("crasher") == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf("a") == QuarantineState::kSuspect);
  CHECK(fixture.StateOf("b") == QuarantineState::kSuspect);
}

TEST_CASE("A closed connection counts as a crash only once its server is shown to have ended") {
  TrackerFixture fixture;
  for (const char* server : {"i-1", "i-2", "i-3"}) {
    const auto probed =
        fixture.Apply(ConnectionClosed{FingerprintOfBody("x"), "s", server, kV1}).servers_to_probe;
    CHECK(probed == std::vector<std::string>{server});
  }
  CHECK_FALSE(fixture.tracker.HasCase(FingerprintOfBody("x")));
  fixture.now += milliseconds(1);
  // The server is running, so only the connection was cut.
  fixture.Apply(ServerResponded{"i-1", fixture.now});
  fixture.Apply(ServerEnded{"i-1"});
  CHECK_FALSE(fixture.tracker.HasCase(FingerprintOfBody("x")));
  // A request sent before the connection closed may have been answered before the crash.
  fixture.Apply(ServerResponded{"i-2", fixture.now - seconds(1)});
  fixture.Apply(ServerEnded{"i-2"});
  CHECK(fixture.StateOf("x") == QuarantineState::kSuspect);
  fixture.Advance(seconds(6));
  fixture.Apply(ServerEnded{"i-3"});  // After the confirmation timeout.
  CHECK(fixture.tracker.ExportCase(FingerprintOfBody("x"), fixture.now).crashes.size() == 1);
}

TEST_CASE("A complete response clears a request, before and after a crash") {
  TrackerFixture fixture;
  fixture.Apply(RequestSucceeded{FingerprintOfBody("polled"), kV1});
  fixture.Crash("i-1", {"polled", "a"});
  CHECK_FALSE(fixture.tracker.HasCase(FingerprintOfBody("polled")));
  fixture.Crash("i-2", {"a"});
  const Effects cleared = fixture.Apply(RequestSucceeded{FingerprintOfBody("a"), kV1});
  CHECK(fixture.StateOf("a") == QuarantineState::kClear);
  REQUIRE(cleared.changes.size() == 1);
  CHECK(cleared.changes[0].kind == CaseChangeKind::kCleared);
  fixture.Advance(seconds(11));
  fixture.Crash("i-3", {"a"});
  fixture.Advance(seconds(1));
  CHECK(fixture.StateOf("a") == QuarantineState::kSuspect);  // One crash since the clearance.
}

TEST_CASE("A quarantine holds for one server version, and one crash is enough on another version") {
  TrackerFixture fixture;
  for (const char* server : {"i-1", "i-2", "i-3"}) fixture.Crash(server, {"crasher"});
  CHECK(fixture.StateOf("crasher", "v1") == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf("crasher", "v2") == QuarantineState::kSuspect);
  TrackerFixture fixed_version = fixture;
  fixed_version.Apply(RequestSucceeded{FingerprintOfBody("crasher"), "v2"});
  CHECK(fixed_version.StateOf("crasher", "v1") == QuarantineState::kQuarantined);
  fixture.Crash("j-1", {"crasher", "a"}, "v2");
  CHECK(fixture.StateOf("crasher", "v2") == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf("a", "v2") == QuarantineState::kSuspect);
}

TEST_CASE("A quarantined request is released when its case expires or the operator releases it") {
  TrackerFixture fixture;
  for (const char* server : {"i-1", "i-2", "i-3"}) fixture.Crash(server, {"crasher", "other"});
  CHECK(fixture.tracker.quarantined() == 2);
  CHECK(fixture.tracker.List(fixture.now).size() == 2);
  fixture.Apply(Released{FingerprintOfBody("crasher")});
  CHECK(fixture.StateOf("crasher") == QuarantineState::kClear);
  CHECK(fixture.tracker.quarantined() == 1);
  fixture.Advance(seconds(599));
  CHECK(fixture.StateOf("other") == QuarantineState::kQuarantined);
  fixture.Advance(seconds(2));
  CHECK(fixture.StateOf("other") == QuarantineState::kClear);
  CHECK(fixture.tracker.quarantined() == 0);
  CHECK(fixture.tracker.size() == 0);
  CHECK(fixture.tracker.Digest() == 0);
}

TEST_CASE("Daemons that exchange cases agree, in any order and any number of times") {
  TrackerFixture one;
  TrackerFixture two;
  one.Crash("i-1", {"crasher", "a"});
  two.Crash("i-2", {"crasher", "b"});
  two.Crash("i-3", {"crasher", "c"});
  std::vector<CaseUpdate> exported;
  for (const char* body : {"crasher", "a"})
    exported.push_back(one.tracker.ExportCase(FingerprintOfBody(body), one.now));
  std::vector<CaseUpdate> exported_back;
  for (const char* body : {"c", "crasher", "b"})
    exported_back.push_back(two.tracker.ExportCase(FingerprintOfBody(body), two.now));
  const Effects merge_effects = two.Apply(CasesReceived{exported});
  CHECK(merge_effects.updated_cases.size() == 2);
  CHECK(two.StateOf("crasher") == QuarantineState::kQuarantined);
  // The second delivery changes nothing.
  CHECK(two.Apply(CasesReceived{exported}).updated_cases.empty());
  one.Apply(CasesReceived{exported_back});
  one.Apply(CasesReceived{exported_back});
  CHECK(one.StateOf("crasher") == QuarantineState::kQuarantined);
  one.Advance(seconds(1));
  two.Advance(seconds(1));
  CHECK(one.tracker.Digest() == two.tracker.Digest());
  // A clearance overrides earlier crashes even if they are received later.
  two.Apply(Released{FingerprintOfBody("crasher")});
  const CaseUpdate released = two.tracker.ExportCase(FingerprintOfBody("crasher"), two.now);
  one.Apply(CasesReceived{{released}});
  CHECK(one.StateOf("crasher") == QuarantineState::kClear);
  one.now += milliseconds(5);
  std::vector<CaseUpdate> late = exported_back;
  for (CaseUpdate& update : late)
    for (CrashReport& crash : update.crashes) crash.age_ms += 1'005;
  one.Apply(CasesReceived{late});
  CHECK(one.StateOf("crasher") == QuarantineState::kClear);
}

TEST_CASE("Invalid, oversized or future updates are dropped and counted, never applied in part") {
  TrackerFixture fixture;
  const CaseUpdate valid{FingerprintOfBody("x"), "s", {{"i-1", "v1", 5}}, {}, {}};
  std::vector<CaseUpdate> invalid(7, valid);
  invalid[0].service.clear();
  invalid[1].crashes[0].age_ms = -3'600'000;
  invalid[2].crashes.assign(9, valid.crashes[0]);
  invalid[3].crashes.push_back({std::string(300, 'i'), "v1", 5});
  invalid[4].clearances.push_back({"v1", -1});
  invalid[5].clearances.assign(5, {"v1", 1});
  invalid[6].quarantined_versions.assign(5, "v1");
  const Effects effects = fixture.Apply(CasesReceived{invalid});
  CHECK(effects.dropped == invalid.size());
  CHECK(fixture.tracker.size() == 0);
  CaseUpdate old = valid;
  old.crashes[0].age_ms = 3'600'000'000;
  fixture.Apply(CasesReceived{{old}});
  CHECK(fixture.tracker.size() == 0);
  // A quarantine without a crash as evidence is ignored.
  const CaseUpdate unsupported{FingerprintOfBody("x"), "s", {}, {{"v1", 5}}, {"v1"}};
  fixture.Apply(CasesReceived{{unsupported}});
  CHECK(fixture.StateOf("x") == QuarantineState::kClear);
}

TEST_CASE("The tracker stays within its bounds however many requests crash servers") {
  Settings settings;
  settings.max_cases = 50;
  TrackerFixture fixture(settings);
  for (const char* server : {"i-1", "i-2", "i-3"}) fixture.Crash(server, {"crasher"});
  for (int each = 0; each < 500; ++each)
    fixture.Crash("k-" + std::to_string(each), {"request-" + std::to_string(each)});
  CHECK(fixture.tracker.size() <= 50);
  CHECK(fixture.StateOf("crasher") == QuarantineState::kQuarantined);
  // Unconfirmed connections are bounded as well.
  for (int each = 0; each < 10'000; ++each)
    fixture.Apply(
        ConnectionClosed{FingerprintOfBody("connection-" + std::to_string(each)), "s", "i-9", kV1});
  fixture.Apply(ServerEnded{"i-9"});
  CHECK(fixture.tracker.size() <= 50);
}

TEST_CASE("No request is quarantined if the threshold is set to zero") {
  Settings settings;
  settings.servers = 0;
  TrackerFixture fixture(settings);
  for (const char* server : {"i-1", "i-2", "i-3", "i-4"}) fixture.Crash(server, {"crasher"});
  CHECK(fixture.StateOf("crasher") == QuarantineState::kClear);
}

TEST_CASE("A request that succeeds on one version is blamed for crashes on another") {
  TrackerFixture fixture;
  for (const char* server : {"i-1", "i-2", "i-3"}) {
    fixture.Apply(RequestSucceeded{FingerprintOfBody("crasher"), kV1});
    fixture.Crash(server, {"crasher"}, "v2");
    fixture.Advance(seconds(1));
  }
  CHECK(fixture.StateOf("crasher", "v2") == QuarantineState::kQuarantined);
  CHECK(fixture.StateOf("crasher", kV1) != QuarantineState::kQuarantined);
}

}  // namespace
}  // namespace moorfold
