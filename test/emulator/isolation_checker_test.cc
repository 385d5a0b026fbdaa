#include "isolation_checker.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;

const IsolationChecker::Time kCutAt{std::chrono::seconds(100)};

IsolationChecker Play(int served_at_isolated, int sent, milliseconds after) {
  IsolationChecker checker;
  checker.CutBegan({0}, kCutAt);
  for (int number = 0; number < sent; ++number) {
    checker.Ended(0, number < served_at_isolated, kCutAt + after);
    checker.Ended(1, true, kCutAt + after);
  }
  checker.CutEnded();
  return checker;
}

TEST_CASE("The isolation checker finds gateways that serve their callers worse than others") {
  CHECK(Play(20, 40, milliseconds(3'100)).violations().size() == 1);
  CHECK(Play(30, 40, milliseconds(3'100)).violations().empty());
}

TEST_CASE("The isolation checker leaves out the time in which a cut may show, and few failures") {
  CHECK(Play(0, 40, milliseconds(2'900)).violations().empty());
  CHECK(Play(0, 10, milliseconds(3'100)).violations().empty());
}

}  // namespace
}  // namespace moorfold
