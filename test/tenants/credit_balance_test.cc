// Tests for a tenant's credit at one daemon: order, expiry and merging.

#include "tenants/credit_balance.h"

#include <catch2/catch.hpp>

namespace moorfold::quota {
namespace {

using std::chrono::milliseconds;

const Time kNow{std::chrono::hours(1)};

TEST_CASE("The oldest credit is taken first, and expired credit is dropped") {
  CreditBalance balance;
  balance.Add({kNow, 5});
  balance.Add({kNow - milliseconds(900), 3});
  CHECK(balance.Units() == 8);
  CHECK(balance.Take(2) == kNow - milliseconds(900));
  balance.DropBefore(kNow - milliseconds(800));
  CHECK(balance.Units() == 5);
  CHECK(balance.Take(6) == std::nullopt);
  CHECK(balance.Units() == 5);  // A failed Take removes nothing.
  CHECK(balance.Take(5) == kNow);
  CHECK(balance.Units() == 0);
}

TEST_CASE("Parts created close together are merged with the older creation time") {
  CreditBalance balance;
  balance.Add({kNow, 1});
  balance.Add({kNow + milliseconds(49), 1});
  const std::vector<Credit> taken = balance.TakeUpTo(10);
  REQUIRE(taken.size() == 1);
  CHECK(taken[0].created_at == kNow);
  CHECK(taken[0].units == 2);
}

TEST_CASE("Zero and negative units are not added as credit") {
  CreditBalance balance;
  balance.Add({kNow, 0});
  balance.Add({kNow, -7});
  CHECK(balance.Units() == 0);
  CHECK(balance.Take(1) == std::nullopt);
  CHECK(balance.TakeUpTo(-1).empty());
}

TEST_CASE("Merging never makes credit younger and loses none") {
  std::vector<Credit> credits;
  for (int part = 0; part < 9; ++part) credits.push_back({kNow + milliseconds(100) * part, 1});
  const std::vector<Credit> merged = Merge(credits, 3);
  REQUIRE(merged.size() == 3);
  double units = 0;
  for (const Credit& credit : merged) units += credit.units;
  CHECK(units == 9);
  CHECK(merged.front().created_at == kNow);
  CHECK(merged.back().created_at <= credits.back().created_at);
}

}  // namespace
}  // namespace moorfold::quota
