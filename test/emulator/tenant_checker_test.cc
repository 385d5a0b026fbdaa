// The checker of tenants finds each thing that it judges.

#include "tenant_checker.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const BootClock::time_point kNow{seconds(1000)};

struct Fixture {
  Fixture() {
    checker.SetLimit("small", {1, 1});
    checker.Sent("r", "small", kNow);
  }
  TenantChecker checker;
};

TEST_CASE("Requests that run for their tenant, within its limit, are no violation") {
  Fixture fixture;
  fixture.checker.Ran("r", "small", 0, kNow);
  fixture.checker.Answered("r", 200, false);
  CHECK(fixture.checker.violations().empty());
}

TEST_CASE("A request that runs for another tenant, or with forged headers, is found") {
  Fixture fixture;
  fixture.checker.Ran("r", "large", 0, kNow);
  CHECK(fixture.checker.violations().size() == 1);
  fixture.checker.Ran("r", "small", 2, kNow);
  CHECK(fixture.checker.violations().size() == 2);
  CHECK(fixture.checker.summary().reserved_passed_on == 2);
}

TEST_CASE("A tenant over its limit is found in any window, and not one second too early") {
  // (1 x 8 + 1) x 1.1 + 4 = 13.9 requests.
  Fixture fixture;
  for (int request = 0; request < 13; ++request)
    fixture.checker.Ran("r", "small", 0, kNow + milliseconds(request));
  CHECK(fixture.checker.violations().empty());
  SECTION("one more in the window") {
    fixture.checker.Ran("r", "small", 0, kNow + milliseconds(7'999));
    CHECK(fixture.checker.violations().size() == 1);
    CHECK(fixture.checker.summary().most_used > 1);
  }
  SECTION("one more after it") {
    fixture.checker.Ran("r", "small", 0, kNow + milliseconds(8'001));
    CHECK(fixture.checker.violations().empty());
  }
}

TEST_CASE("Keys that nobody has, that are gone, and that are refused though there, are found") {
  struct Case {
    const char* tenant;
    bool there;
    milliseconds changed_ago;
    unsigned status;
    bool behind;
    bool violation;
  };
  const std::vector<Case> cases = {{"", true, seconds(9), 200, true, true},
                                   {"", true, seconds(9), 401, false, false},
                                   {"small", false, seconds(9), 200, false, true},
                                   {"small", false, seconds(1), 200, false, false},
                                   {"small", false, seconds(9), 200, true, false},
                                   {"small", false, seconds(9), 401, false, false},
                                   {"small", true, seconds(9), 401, true, true},
                                   {"small", true, seconds(1), 401, false, false},
                                   {"small", true, seconds(9), 503, true, false}};
  for (const Case& each : cases) {
    INFO(each.tenant << " " << each.there << " " << each.status << " " << each.behind);
    TenantChecker checker;
    checker.Sent("r", each.tenant, kNow);
    checker.KeyChanged("r", each.there && *each.tenant != 0, kNow - each.changed_ago);
    checker.Answered("r", each.status, each.behind);
    CHECK(checker.violations().empty() == !each.violation);
  }
}

TEST_CASE("A key that may have gone on the way is not judged; one that never changes still is") {
  TenantChecker checker;
  checker.Sent("turning", "t", kNow);
  checker.KeyChanged("turning", true, kNow - seconds(9));
  checker.KeyMayHaveGone("turning", kNow + seconds(1));
  checker.Answered("turning", 401, false);
  CHECK(checker.violations().empty());
  checker.Sent("fixed", "t", kNow);
  checker.KeyMayHaveGone("fixed", kNow + seconds(1));
  checker.Answered("fixed", 401, false);
  CHECK(checker.violations().size() == 1);
  checker.Sent("gone", "t", kNow);
  checker.KeyChanged("gone", false, kNow - seconds(9));
  checker.KeyMayHaveGone("gone", kNow + seconds(1));
  checker.Answered("gone", 200, false);
  CHECK(checker.violations().size() == 2);
}

TEST_CASE("Refusals for a limit that is far from used up are counted") {
  Fixture fixture;
  fixture.checker.Answered("r", 429, false);
  CHECK(fixture.checker.summary().refused_below_limit == 1);
}

}  // namespace
}  // namespace moorfold
