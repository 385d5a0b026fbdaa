// Each checker of the emulator finds its planted fault, and nothing where there is none.

#include "promise_checker.h"

#include <catch2/catch.hpp>

#include "common/boot_clock.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const PromiseChecker::Time kNow{seconds(1000)};

TEST_CASE("Sound behaviour breaks no promise") {
  PromiseChecker checker({});
  checker.Sent("a", RequestKind::kAtMostOnce);
  checker.Arrived("a", "i", kNow);
  checker.Ran("a", RequestKind::kAtMostOnce, "i", kNow);
  checker.Answered({"a", RequestKind::kAtMostOnce, 200, true, true, {}});
  checker.Sent("b", RequestKind::kRepeatable);
  checker.Ran("b", RequestKind::kRepeatable, "i", kNow);
  checker.Ran("b", RequestKind::kRepeatable, "j", kNow);
  checker.Ordered({"i", "one", 3, kNow});
  checker.Ordered({"i", "two", 4, kNow + seconds(4)});
  checker.Probed(4, 404, kNow, kNow + seconds(1), false);
  checker.Sent("c", RequestKind::kStream);
  checker.Left("c", kNow);
  checker.Arrived("c", "i", kNow + milliseconds(400));
  checker.Working("c", kNow + milliseconds(400));
  checker.Answered({"d", RequestKind::kRepeatable, 404, true, true, {}});  // A server's own.
  ClientAnswer crossed{"e", RequestKind::kStream, 0, false, false, {}};
  crossed.cut_at_stop = true;  // Never passed on.
  for (int request = 0; request < 9; ++request) checker.Answered(crossed);
  checker.Recovered(100, 26);
  checker.Finish();
  CHECK(checker.violations().empty());
}

TEST_CASE("Each broken promise is found by its name") {
  struct Case {
    const char* promise;
    std::function<void(PromiseChecker&)> plant;
  };
  const auto sent = [](PromiseChecker& checker) {
    checker.Sent("a", RequestKind::kAtMostOnce);
    checker.Ran("a", RequestKind::kAtMostOnce, "i", kNow);
  };
  const std::vector<Case> cases = {
      {"twice",
       [&](PromiseChecker& checker) {
         sent(checker);
         checker.Ran("a", RequestKind::kAtMostOnce, "j", kNow);
       }},
      {"unasked",
       [](PromiseChecker& checker) { checker.Ran("z", RequestKind::kRepeatable, "i", kNow); }},
      {"refused",
       [&](PromiseChecker& checker) {
         sent(checker);
         checker.Answered({"a", RequestKind::kAtMostOnce, 503, true, false, {}});
       }},
      {"refused",
       [](PromiseChecker& checker) {
         checker.Sent("a", RequestKind::kAtMostOnce);
         checker.Answered({"a", RequestKind::kAtMostOnce, 503, true, false, {}});
         checker.Ran("a", RequestKind::kAtMostOnce, "i", kNow);
       }},
      {"mixed",
       [](PromiseChecker& checker) {
         checker.Answered({"a", RequestKind::kRepeatable, 200, true, false, {}});
       }},
      {"order",
       [](PromiseChecker& checker) {
         checker.Answered({"a", RequestKind::kStream, 200, true, true, {1, 3}});
       }},
      {"drain",
       [](PromiseChecker& checker) {
         checker.Draining("i", kNow);
         checker.Arrived("a", "i", kNow + seconds(3));
       }},
      {"one",
       [](PromiseChecker& checker) {
         checker.Ordered({"i", "one", 3, kNow});
         checker.Ordered({"i", "two", 4, kNow + seconds(1)});
       }},
      {"one",
       [](PromiseChecker& checker) {
         checker.Ordered({"i", "one", 5, kNow});
         checker.Ordered({"i", "one", 4, kNow + seconds(9)});
       }},
      {"one",
       [](PromiseChecker& checker) {
         checker.Ordered({"i", "one", 5, kNow});
         checker.Ordered({"i", "two", 5, kNow + seconds(9)});
       }},
      {"limit", [](PromiseChecker& checker) { checker.Overfilled("i"); }},
      {"ceiling",
       [](PromiseChecker& checker) {
         for (int load = 0; load < 26; ++load) checker.LoadBegan(kNow);
       }},
      {"config",
       [](PromiseChecker& checker) {
         checker.Probed(4, 404, kNow, kNow + milliseconds(2'100), false);
       }},
      {"denied",
       [](PromiseChecker& checker) {
         for (int request = 0; request < 6; ++request)
           checker.Answered({"a", RequestKind::kRepeatable, 404, true, false, {}});
         checker.Finish();
       }},
      {"gone",
       [](PromiseChecker& checker) {
         checker.Left("a", kNow);
         for (int request = 0; request < 4; ++request)
           checker.Arrived("a", "i", kNow + milliseconds(600));
         checker.Finish();
       }},
      {"gone",
       [](PromiseChecker& checker) {
         for (const char* id : {"a", "b", "c", "d"}) {
           checker.Left(id, kNow);
           checker.Working(id, kNow + milliseconds(600));
         }
         checker.Finish();
       }},
      {"lost",
       [](PromiseChecker& checker) {
         checker.Arrived("a", "i", kNow);
         ClientAnswer cut{"a", RequestKind::kStream, 0, false, false, {}};
         cut.cut_at_stop = true;
         for (int request = 0; request < 4; ++request) checker.Answered(cut);
         checker.Finish();
       }},
      {"recover", [](PromiseChecker& checker) { checker.Recovered(100, 24); }},
      {"budget", [](PromiseChecker& checker) {
         for (int arrival = 0; arrival < 60; ++arrival) checker.Arrived("a", "i", kNow);
         checker.Finish();
       }}};
  for (const Case& each : cases) {
    CAPTURE(each.promise);
    PromiseChecker checker({});
    each.plant(checker);
    REQUIRE(checker.violations().size() >= 1);
    CHECK(checker.violations()[0].starts_with(each.promise));
  }
}

TEST_CASE("A late request to a leaving server is judged unless its gateway may be behind") {
  const auto start = BootClock::now();
  for (const bool behind : {false, true}) {
    PromiseChecker checker{PromiseChecker::Bounds{}};
    checker.SetMayBeBehind([behind](const std::string&) { return behind; });
    checker.Sent("r-1", RequestKind::kRepeatable);
    checker.Draining("i-1", start);
    checker.Arrived("r-1", "i-1", start + std::chrono::milliseconds(1'900));
    CHECK(checker.violations().empty());
    checker.Arrived("r-1", "i-1", start + std::chrono::milliseconds(2'100));
    CHECK(checker.violations().size() == (behind ? 0 : 1));
  }
}

}  // namespace
}  // namespace moorfold
