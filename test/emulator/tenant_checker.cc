#include "tenant_checker.h"

#include <algorithm>

namespace moorfold {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kTooMany = 429;
/// Of what is promised: whoever has used less than that may not be told that it is too much.
constexpr double kClearlyBelow = 0.5;

}  // namespace

void TenantChecker::Sent(const std::string& id, const std::string& tenant, Time at) {
  requests_[id] = {tenant, at, !tenant.empty(), Time{}};
}

void TenantChecker::KeyChanged(const std::string& id, bool there, Time since) {
  requests_[id].key_there = there;
  requests_[id].key_since = since;
}

void TenantChecker::KeyMayHaveGone(const std::string& id, Time now) {
  Request& request = requests_[id];
  const bool changes = request.key_since != Time{};
  if (changes && request.key_there) request.key_since = now;
}

double TenantChecker::Promised(const EmulatedLimit& limit) const {
  const double window_s = std::chrono::duration<double>(bounds_.window).count();
  return (limit.rate_per_second * window_s + limit.burst) * (1 + bounds_.overshoot) + bounds_.slack;
}

double TenantChecker::Used(const std::string& tenant, Time now) {
  std::deque<Time>& ran = ran_[tenant];
  while (!ran.empty() && ran.front() <= now - bounds_.window) ran.pop_front();
  return static_cast<double>(ran.size());
}

void TenantChecker::Ran(const std::string& id, const std::string& tenant, std::uint64_t reserved,
                        Time at) {
  const auto known = requests_.find(id);
  if (known == requests_.end()) return;
  const std::string& owner = known->second.tenant;
  if (tenant != owner) violations_.push_back(id + " ran for '" + tenant + "', not '" + owner + "'");
  if (reserved > 0) violations_.push_back(id + " carried headers that are not its client's");
  summary_.reserved_passed_on += reserved;
  ran_[owner].push_back(at);
  const EmulatedLimit& limit = limits_[owner];
  if (limit.rate_per_second <= 0) return;
  const double share = Used(owner, at) / Promised(limit);
  if (share > 1 && summary_.most_used <= 1)
    violations_.push_back("'" + owner + "' went over its limit with " + id);
  summary_.most_used = std::max(summary_.most_used, share);
}

bool TenantChecker::Proper(const std::string& id) const {
  const auto known = requests_.find(id);
  if (known == requests_.end()) return true;
  return known->second.key_there && known->second.key_since == Time{};
}

void TenantChecker::Answered(const std::string& id, unsigned status, bool behind) {
  const auto known = requests_.find(id);
  if (known == requests_.end()) return;
  const Request& request = known->second;
  const bool settled = request.sent > request.key_since + bounds_.configuration;
  if (status == kOk && request.tenant.empty())
    violations_.push_back(id + " was served with a key that nobody has");
  if (status == kOk && !request.key_there && settled && !behind) {
    ++summary_.served_with_key_gone;
    violations_.push_back(id + " was served with a key that is gone");
  }
  // A gateway that may be behind must not say so of a key that may be new.
  if (status == kUnauthorized && request.key_there && settled)
    violations_.push_back(id + " was refused for its key, which is there");
  const EmulatedLimit& limit = limits_[request.tenant];
  if (status == kTooMany && limit.rate_per_second > 0 &&
      Used(request.tenant, BootClock::now()) < kClearlyBelow * Promised(limit))
    ++summary_.refused_below_limit;
}

}  // namespace moorfold
