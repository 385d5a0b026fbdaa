#include "tenants/tenant_directory.h"

#include <cmath>

namespace moorfold {

namespace {

/// More than any fleet serves. Larger values would make sums of many limits inexact.
constexpr double kMaxUnits = 1e15;

bool IsValidLimitValue(double number) {
  return std::isfinite(number) && number >= 0 && number < kMaxUnits;
}

}  // namespace

TenantDirectory::TenantDirectory(const std::vector<Tenant>& tenants) {
  for (const Tenant& tenant : tenants) Add(tenant);
}

void TenantDirectory::Add(const Tenant& tenant) {
  if (tenant.name.empty()) throw TenantListError("a tenant has no name; give it one");
  const QuotaLimit& limit = tenant.limit;
  if (!IsValidLimitValue(limit.rate_per_second) || !IsValidLimitValue(limit.burst) ||
      !IsValidLimitValue(limit.default_tokens))
    throw TenantListError("tenant " + tenant.name +
                          " has a limit that is negative or absurd; write 0 for no limit");
  if (!by_name_.try_emplace(tenant.name, &tenant).second)
    throw TenantListError("two tenants are called " + tenant.name + "; rename one");
  for (const KeyDigest& key : tenant.keys) {
    const auto [entry, fresh] = by_key_.try_emplace(key, &tenant);
    if (!fresh && entry->second != &tenant)
      throw TenantListError("tenants " + entry->second->name + " and " + tenant.name +
                            " share a key; give each its own");
  }
}

const Tenant* TenantDirectory::Find(const KeyDigest& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const Tenant* TenantDirectory::FindByName(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : found->second;
}

}  // namespace moorfold
