#include "core/ledger.h"

namespace moorfold {

LedgerDelta DiffLedgers(const Ledger& from, const Ledger& to) {
  LedgerDelta delta{
      from.revision, to.revision, to.epoch, to.leader, to.configuration_revision, {}, {}};
  for (const auto& [key, permit] : to.permits) {
    const auto old = from.permits.find(key);
    if (old == from.permits.end() || old->second != permit) delta.changed.push_back(permit);
  }
  for (const auto& [key, permit] : from.permits)
    if (!to.permits.contains(key)) delta.removed.push_back(key);
  return delta;
}

bool ApplyDelta(const LedgerDelta& delta, Ledger& ledger) {
  if (delta.base != ledger.revision) return false;
  ledger.revision = delta.revision;
  ledger.epoch = delta.epoch;
  ledger.leader = delta.leader;
  ledger.configuration_revision = delta.configuration_revision;
  for (const Permit& permit : delta.changed) ledger.permits[permit.key] = permit;
  for (const PermitKey& key : delta.removed) ledger.permits.erase(key);
  return true;
}

}  // namespace moorfold
