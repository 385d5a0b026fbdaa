// Tests for key lookup and for the validation of tenant lists.

#include "tenants/tenant_directory.h"

#include <catch2/catch.hpp>
#include <cmath>

namespace moorfold {
namespace {

Tenant MakeTenant(const std::string& name, const std::vector<std::string>& keys) {
  Tenant tenant;
  tenant.name = name;
  for (const std::string& key : keys) tenant.keys.push_back(DigestOfKey(key));
  return tenant;
}

TEST_CASE("A key maps to the tenant that lists it, among ten thousand") {
  std::vector<Tenant> tenants;
  for (int number = 0; number < 100; ++number) {
    std::vector<std::string> keys;
    for (int key = 0; key < 100; ++key)
      keys.push_back(std::to_string(number) + "-" + std::to_string(key));
    tenants.push_back(MakeTenant("t" + std::to_string(number), keys));
  }
  const TenantDirectory directory(tenants);
  REQUIRE(directory.Find(DigestOfKey("42-99")) != nullptr);
  CHECK(directory.Find(DigestOfKey("42-99"))->name == "t42");
  CHECK(directory.Find(DigestOfKey("42-100")) == nullptr);
  CHECK(directory.FindByName("t7") == &tenants[7]);
  CHECK(directory.FindByName("t100") == nullptr);
}

TEST_CASE("A tenant without keys is valid and matches no caller") {
  const std::vector<Tenant> tenants = {MakeTenant("quiet", {})};
  const TenantDirectory directory(tenants);
  CHECK_FALSE(directory.empty());
  CHECK(directory.Find(DigestOfKey("")) == nullptr);
}

TEST_CASE("A key listed twice by the same tenant is accepted") {
  const std::vector<Tenant> tenants = {MakeTenant("a", {"k", "k"})};
  CHECK(TenantDirectory(tenants).Find(DigestOfKey("k")) == &tenants[0]);
}

TEST_CASE("An inconsistent list of tenants is rejected with a remedy") {
  struct Case {
    std::vector<Tenant> tenants;
    const char* expected_message;
  };
  Tenant negative = MakeTenant("n", {});
  negative.limit.rate_per_second = -1;
  Tenant not_a_number = MakeTenant("n", {});
  not_a_number.limit.burst = std::nan("");
  Tenant infinite = MakeTenant("n", {});
  infinite.limit.default_tokens = INFINITY;
  const std::vector<Case> cases = {
      {{MakeTenant("a", {}), MakeTenant("a", {})}, "rename one"},
      {{MakeTenant("a", {"k"}), MakeTenant("b", {"k"})}, "give each its own"},
      {{MakeTenant("", {"k"})}, "give it one"},
      {{negative}, "write 0 for no limit"},
      {{not_a_number}, "write 0 for no limit"},
      {{infinite}, "write 0 for no limit"}};
  for (const Case& each : cases) {
    INFO(each.expected_message);
    CHECK_THROWS_WITH(TenantDirectory(each.tenants), Catch::Contains(each.expected_message));
  }
}

}  // namespace
}  // namespace moorfold
