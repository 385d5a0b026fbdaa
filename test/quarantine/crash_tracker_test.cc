#include "quarantine/crash_tracker.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using quarantine::CaseChangeKind;
using quarantine::CasesReceived;
using quarantine::CrashTracker;
using quarantine::Effects;
using quarantine::LinkEnded;
using quarantine::QuarantineState;
using quarantine::Released;
using quarantine::Served;
using quarantine::ServerAnswered;
using quarantine::ServerEnded;
using quarantine::Settings;
using quarantine::Tick;
using quarantine::Time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char* kV1 = "v1";

Fingerprint Print(const std::string& body) { return FingerprintOf({"host", "/p", "", body}); }

/// A book and a clock that the test moves.
struct BookFixture {
  explicit BookFixture(Settings settings = {}) : tracker(settings) {}

  Effects Do(const quarantine::Event& event) { return tracker.Reduce(event, now); }
  void Wait(milliseconds time) {
    now += time;
    Do(Tick{});
  }
  /// A server ends while it runs those requests.
  void Crash(const std::string& server, const std::vector<std::string>& running,
             const std::string& version = kV1) {
    for (const std::string& each : running) Do(LinkEnded{Print(each), "s", server, version});
    Do(ServerEnded{server});
  }
  QuarantineState Of(const std::string& body, const std::string& version = kV1) const {
    return tracker.StateFor(Print(body), version, now);
  }

  CrashTracker tracker;
  Time now = Time(std::chrono::hours(100));
};

TEST_CASE("Three servers that end under a request are enough, whoever was beside it") {
  BookFixture fixture;
  fixture.Crash("i-1", {"guilty", "a"});
  CHECK(fixture.Of("guilty") == QuarantineState::kSuspect);
  fixture.Crash("i-2", {"guilty", "a"});
  fixture.Wait(seconds(1));
  CHECK(fixture.Of("guilty") == QuarantineState::kSuspect);  // "a" was on both, too.
  fixture.Crash("i-3", {"guilty", "b"});
  CHECK(fixture.Of("guilty") == QuarantineState::kQuarantined);
  CHECK(fixture.Of("a") == QuarantineState::kSuspect);
  fixture.Wait(seconds(1));
  CHECK(fixture.Of("a") == QuarantineState::kSuspect);  // The other's guilt explains both.
}

TEST_CASE("Two servers are enough for the only request that was on both") {
  BookFixture fixture;
  fixture.Crash("i-1", {"guilty", "a"});
  fixture.Crash("i-2", {"guilty", "b"});
  CHECK(fixture.Of("guilty") ==
        QuarantineState::kUndecided);  // Others may have been there as well.
  fixture.Wait(milliseconds(300));
  CHECK(fixture.Of("guilty") == QuarantineState::kQuarantined);
  CHECK(fixture.Of("a") == QuarantineState::kSuspect);
  CHECK(fixture.Of("b") == QuarantineState::kSuspect);
}

TEST_CASE("A link that ended counts only once its server is shown to have ended") {
  BookFixture fixture;
  for (const char* server : {"i-1", "i-2", "i-3"}) {
    const auto looked_at = fixture.Do(LinkEnded{Print("x"), "s", server, kV1}).servers_to_probe;
    CHECK(looked_at == std::vector<std::string>{server});
  }
  CHECK_FALSE(fixture.tracker.HasCase(Print("x")));
  fixture.now += milliseconds(1);
  fixture.Do(ServerAnswered{"i-1", fixture.now});  // It lives: the link was cut.
  fixture.Do(ServerEnded{"i-1"});
  CHECK_FALSE(fixture.tracker.HasCase(Print("x")));
  // What was sent before the link ended may have been answered before the crash.
  fixture.Do(ServerAnswered{"i-2", fixture.now - seconds(1)});
  fixture.Do(ServerEnded{"i-2"});
  CHECK(fixture.Of("x") == QuarantineState::kSuspect);
  fixture.Wait(seconds(6));
  fixture.Do(ServerEnded{"i-3"});  // Too late to tell of that link.
  CHECK(fixture.tracker.ExportCase(Print("x"), fixture.now).crashes.size() == 1);
}

TEST_CASE("A whole answer clears a request, before and after a crash") {
  BookFixture fixture;
  fixture.Do(Served{Print("polled"), kV1});
  fixture.Crash("i-1", {"polled", "a"});
  CHECK_FALSE(fixture.tracker.HasCase(Print("polled")));
  fixture.Crash("i-2", {"a"});
  const Effects cleared = fixture.Do(Served{Print("a"), kV1});
  CHECK(fixture.Of("a") == QuarantineState::kClear);
  REQUIRE(cleared.changes.size() == 1);
  CHECK(cleared.changes[0].kind == CaseChangeKind::kCleared);
  fixture.Wait(seconds(11));
  fixture.Crash("i-3", {"a"});
  fixture.Wait(seconds(1));
  CHECK(fixture.Of("a") == QuarantineState::kSuspect);  // One crash since.
}

TEST_CASE("A verdict holds for one version of the servers, and one crash is enough on the next") {
  BookFixture fixture;
  for (const char* server : {"i-1", "i-2", "i-3"}) fixture.Crash(server, {"guilty"});
  CHECK(fixture.Of("guilty", "v1") == QuarantineState::kQuarantined);
  CHECK(fixture.Of("guilty", "v2") == QuarantineState::kSuspect);
  BookFixture mended = fixture;
  mended.Do(Served{Print("guilty"), "v2"});
  CHECK(mended.Of("guilty", "v1") == QuarantineState::kQuarantined);
  fixture.Crash("j-1", {"guilty", "a"}, "v2");
  CHECK(fixture.Of("guilty", "v2") == QuarantineState::kQuarantined);
  CHECK(fixture.Of("a", "v2") == QuarantineState::kSuspect);
}

TEST_CASE("An entry ends by its age or by the operator's word") {
  BookFixture fixture;
  for (const char* server : {"i-1", "i-2", "i-3"}) fixture.Crash(server, {"guilty", "other"});
  CHECK(fixture.tracker.quarantined() == 2);
  CHECK(fixture.tracker.List(fixture.now).size() == 2);
  fixture.Do(Released{Print("guilty")});
  CHECK(fixture.Of("guilty") == QuarantineState::kClear);
  CHECK(fixture.tracker.quarantined() == 1);
  fixture.Wait(seconds(599));
  CHECK(fixture.Of("other") == QuarantineState::kQuarantined);
  fixture.Wait(seconds(2));
  CHECK(fixture.Of("other") == QuarantineState::kClear);
  CHECK(fixture.tracker.quarantined() == 0);
  CHECK(fixture.tracker.size() == 0);
  CHECK(fixture.tracker.Digest() == 0);
}

TEST_CASE("What daemons tell each other makes them agree, in any order and any number of times") {
  BookFixture one;
  BookFixture two;
  one.Crash("i-1", {"guilty", "a"});
  two.Crash("i-2", {"guilty", "b"});
  two.Crash("i-3", {"guilty", "c"});
  std::vector<CaseUpdate> told;
  for (const char* body : {"guilty", "a"})
    told.push_back(one.tracker.ExportCase(Print(body), one.now));
  std::vector<CaseUpdate> told_back;
  for (const char* body : {"c", "guilty", "b"})
    told_back.push_back(two.tracker.ExportCase(Print(body), two.now));
  const Effects heard = two.Do(CasesReceived{told});
  CHECK(heard.news.size() == 2);
  CHECK(two.Of("guilty") == QuarantineState::kQuarantined);
  CHECK(two.Do(CasesReceived{told}).news.empty());  // The second time it is no news.
  one.Do(CasesReceived{told_back});
  one.Do(CasesReceived{told_back});
  CHECK(one.Of("guilty") == QuarantineState::kQuarantined);
  one.Wait(seconds(1));
  two.Wait(seconds(1));
  CHECK(one.tracker.Digest() == two.tracker.Digest());
  // A clearance wins over crashes before it, also where those are heard later.
  two.Do(Released{Print("guilty")});
  const CaseUpdate released = two.tracker.ExportCase(Print("guilty"), two.now);
  one.Do(CasesReceived{{released}});
  CHECK(one.Of("guilty") == QuarantineState::kClear);
  one.now += milliseconds(5);
  std::vector<CaseUpdate> late = told_back;
  for (CaseUpdate& news : late)
    for (CrashReport& crash : news.crashes) crash.age_ms += 1'005;
  one.Do(CasesReceived{late});
  CHECK(one.Of("guilty") == QuarantineState::kClear);
}

TEST_CASE("Contradictory, endless or future news are dropped and counted, never taken in part") {
  BookFixture fixture;
  const CaseUpdate good{Print("x"), "s", {{"i-1", "v1", 5}}, {}, {}};
  std::vector<CaseUpdate> bad(7, good);
  bad[0].service.clear();
  bad[1].crashes[0].age_ms = -3'600'000;
  bad[2].crashes.assign(9, good.crashes[0]);
  bad[3].crashes.push_back({std::string(300, 'i'), "v1", 5});
  bad[4].clearances.push_back({"v1", -1});
  bad[5].clearances.assign(5, {"v1", 1});
  bad[6].quarantined_versions.assign(5, "v1");
  const Effects effects = fixture.Do(CasesReceived{bad});
  CHECK(effects.dropped == bad.size());
  CHECK(fixture.tracker.size() == 0);
  CaseUpdate old = good;
  old.crashes[0].age_ms = 3'600'000'000;
  fixture.Do(CasesReceived{{old}});
  CHECK(fixture.tracker.size() == 0);
  // A verdict without a crash behind it is none.
  const CaseUpdate hollow{Print("x"), "s", {}, {{"v1", 5}}, {"v1"}};
  fixture.Do(CasesReceived{{hollow}});
  CHECK(fixture.Of("x") == QuarantineState::kClear);
}

TEST_CASE("However many requests crash servers, the book stays within its bounds") {
  Settings settings;
  settings.max_cases = 50;
  BookFixture fixture(settings);
  for (const char* server : {"i-1", "i-2", "i-3"}) fixture.Crash(server, {"guilty"});
  for (int each = 0; each < 500; ++each)
    fixture.Crash("k-" + std::to_string(each), {"request-" + std::to_string(each)});
  CHECK(fixture.tracker.size() <= 50);
  CHECK(fixture.Of("guilty") == QuarantineState::kQuarantined);
  // Links without a sign of their servers are bounded, too.
  for (int each = 0; each < 10'000; ++each)
    fixture.Do(LinkEnded{Print("link-" + std::to_string(each)), "s", "i-9", kV1});
  fixture.Do(ServerEnded{"i-9"});
  CHECK(fixture.tracker.size() <= 50);
}

TEST_CASE("Nothing is quarantined where the setting says so") {
  Settings settings;
  settings.servers = 0;
  BookFixture fixture(settings);
  for (const char* server : {"i-1", "i-2", "i-3", "i-4"}) fixture.Crash(server, {"guilty"});
  CHECK(fixture.Of("guilty") == QuarantineState::kClear);
}

}  // namespace
}  // namespace moorfold
