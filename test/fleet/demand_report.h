#pragma once

#include <string>
#include <utility>
#include <vector>

#include "fleet/demand.h"
#include "fleet/fleet_messages.h"

namespace moorfold {

inline DemandReport MakeReport(const std::string& sender, std::vector<DemandEntry> entries,
                               std::vector<std::string> unreachable = {}) {
  DemandReport report;
  report.sender = sender;
  report.entries = std::move(entries);
  report.unreachable = std::move(unreachable);
  return report;
}

}  // namespace moorfold
