#pragma once

#include <map>
#include <string>
#include <vector>

#include "core/intent.h"
#include "core/types.h"

namespace moorfold {

enum class ChangeKind : std::uint8_t { kAdd, kChange, kRemove };

struct PlannedChange {
  ChangeKind kind = ChangeKind::kAdd;
  std::string subject;  ///< "model NAME" or "service NAME".
  std::string detail;   ///< What differs, for a person to read.
};

/// moorfold's answer to a stated intent. It takes effect only when an operator confirms it while
/// `base_revision` is still in force. A plan with refusals cannot be confirmed.
struct Plan {
  std::string id;  ///< A hash of base and intent: the same question has the same id.
  Revision base_revision = 0;
  std::vector<PlannedChange> changes;
  std::vector<std::string> warnings;
  std::vector<std::string> refusals;
  Intent intent;
};

/// The document that confirmation swaps: which configuration is in force.
struct ConfigurationHead {
  Revision revision = 0;
  std::string plan_id;  ///< Tells whether a write whose answer was lost took effect.
};

/// The whole configuration at one revision.
struct ConfigurationSnapshot {
  Revision revision = 0;
  Intent intent;
};

/// The servers of each zone, from the machine list: what an intent must fit on.
struct Fleet {
  std::map<ZoneName, std::vector<MebiBytes>> server_memory;
};

Fleet DescribeFleet(const std::vector<Machine>& machines);

/// Compares `intent` with what is in force and checks that it can be met by `fleet`.
Plan MakePlan(const ConfigurationSnapshot& in_force, const Intent& intent, const Fleet& fleet,
              std::string id);

}  // namespace moorfold
