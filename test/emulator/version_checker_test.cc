#include "version_checker.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

VersionChecker::Event Event(int number, const std::string& version, const std::string& attempt) {
  return {number, "i-" + version, version, attempt, 0};
}

TEST_CASE("A stream of one version over several servers and tries is no violation") {
  VersionChecker checker;
  checker.Received("s", Event(1, "v1", "s-1"), true);
  checker.Received("s", {2, "i-other", "v1", "s-1", 1}, true);
  checker.Received("s", Event(3, "v1", "s-2"), true);
  checker.Received("t", Event(1, "v2", "t-1"), true);
  CHECK(checker.violations().empty());
  CHECK(checker.summary().streams == 2);
}

TEST_CASE("Joined streams are told apart by whether one answer or several tries joined them") {
  VersionChecker checker;
  checker.Received("inside", Event(1, "v1", "inside-1"), true);
  checker.Received("inside", Event(2, "v2", "inside-1"), true);
  checker.Received("inside", Event(3, "v1", "inside-1"), true);
  checker.Received("over", Event(1, "v1", "over-1"), true);
  checker.Received("over", Event(2, "v2", "over-2"), true);
  CHECK(checker.summary().joined_inside == 1);
  CHECK(checker.summary().joined_over == 1);
  CHECK(checker.violations().size() == 2);
}

TEST_CASE("Events that are missing, come twice or belong to another stream are violations") {
  VersionChecker checker;
  checker.Received("late", Event(2, "v1", "late-1"), true);
  checker.Received("gap", Event(1, "v1", "gap-1"), true);
  checker.Received("gap", Event(3, "v1", "gap-1"), true);
  checker.Received("twice", Event(1, "v1", "twice-1"), true);
  checker.Received("twice", Event(1, "v1", "twice-2"), true);
  checker.Received("foreign", Event(1, "v1", "foreign-1"), false);
  CHECK(checker.summary().misnumbered == 3);
  CHECK(checker.summary().foreign_events == 1);
  CHECK(checker.violations().size() == 4);
}

TEST_CASE("Take-ups are compared with the new streams of the same seconds") {
  VersionChecker checker;
  using TakeUp = VersionChecker::TakeUp;
  checker.Asked(false, 1);
  checker.Asked(true, 1);
  checker.Asked(true, 2);
  checker.Asked(false, 3);
  checker.TookUp(TakeUp::kWentOn, 1);
  checker.TookUp(TakeUp::kRefused, 2);
  checker.TookUp(TakeUp::kFailed, 4);
  CHECK(checker.BeginShareBesideTakeUps() == Approx(0.75));
  CHECK(checker.summary().GoOnShare() == Approx(1.0 / 3));
  CHECK(checker.summary().refused == 1);
}

}  // namespace
}  // namespace moorfold
