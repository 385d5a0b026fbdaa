#pragma once

#include "fleet/server_record.h"

namespace moorfold {

/// Checks that a server can be contacted, and that its record can be kept and passed on to other
/// daemons in one datagram.
/// @throws std::runtime_error names the field that is out of its range.
void CheckServerRecord(const ServerRecord& record);

}  // namespace moorfold
