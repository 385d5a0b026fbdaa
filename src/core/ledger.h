#pragma once

#include <compare>
#include <map>
#include <vector>

#include "core/types.h"

namespace moorfold {

/// Names one permit: the right to hold one replica of a model version in a zone.
struct PermitKey {
  ModelVersion servable;
  std::uint32_t index = 0;

  auto operator<=>(const PermitKey&) const = default;
};

/// kHeld: the replica may be loaded at `home`, nowhere else.
/// kMoving: it may be loaded nowhere; the old `home` is being released.
enum class PermitPhase : std::uint8_t { kHeld, kMoving };

struct Permit {
  PermitKey key;
  ServerName home;
  Incarnation incarnation = 0;  ///< Of the home, when it was admitted.
  PermitPhase phase = PermitPhase::kHeld;
  Revision since = 0;  ///< Ledger revision at which phase or home last changed.
  MebiBytes memory = 0;

  auto operator<=>(const Permit&) const = default;
};

/// The placement ledger of one zone: one document in the key-value service, changed only by
/// compare-and-swap. Its revision is the fence of every order.
struct Ledger {
  Revision revision = 0;
  std::uint64_t epoch = 0;  ///< Counts the changes of leader.
  DaemonName leader;
  Revision configuration_revision = 0;  ///< Never goes back.
  std::map<PermitKey, Permit> permits;

  auto operator<=>(const Ledger&) const = default;
};

/// What changed between two ledger revisions, as sent to the other daemons of the zone.
struct LedgerDelta {
  Revision base = 0;
  Revision revision = 0;
  std::uint64_t epoch = 0;
  DaemonName leader;
  Revision configuration_revision = 0;
  std::vector<Permit> changed;
  std::vector<PermitKey> removed;
};

LedgerDelta DiffLedgers(const Ledger& from, const Ledger& to);

/// @return false, changing nothing, when `delta` does not start at the ledger's revision.
bool ApplyDelta(const LedgerDelta& delta, Ledger& ledger);

}  // namespace moorfold
