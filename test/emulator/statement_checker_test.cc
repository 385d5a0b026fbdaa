#include "statement_checker.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using Time = StatementChecker::Time;

const Time kStart{std::chrono::hours(1)};

/// Sends `count` requests, `apart` from each other, from `from` on.
void Send(StatementChecker& checker, Time from, int count, milliseconds apart) {
  for (int number = 0; number < count; ++number) checker.Arrived("i-1", from + apart * number);
}

TEST_CASE("One request beyond what a named limit allows in four seconds is a violation") {
  StatementChecker checker;
  checker.Named("i-1", 1.0, kStart);
  Send(checker, kStart + milliseconds(3'000), 11, milliseconds(100));
  CHECK(checker.violations().empty());
  checker.Arrived("i-1", kStart + milliseconds(6'900));
  CHECK(checker.violations().size() == 1);
}

TEST_CASE("Requests before a limit can be known, and after it has ended, are none") {
  StatementChecker checker;
  checker.Named("i-1", 1.0, kStart);
  Send(checker, kStart, 29, milliseconds(100));
  CHECK(checker.violations().empty());
  checker.Named("i-1", std::nullopt, kStart + milliseconds(3'000));
  Send(checker, kStart + milliseconds(3'100), 100, milliseconds(10));
  CHECK(checker.violations().empty());
}

TEST_CASE("What was excused for a disturbed daemon is no violation") {
  StatementChecker checker;
  checker.SetExcused([](Time, Time) { return true; });
  checker.Named("i-1", 1.0, kStart);
  Send(checker, kStart + milliseconds(3'000), 40, milliseconds(10));
  CHECK(checker.violations().empty());
}

}  // namespace
}  // namespace moorfold
