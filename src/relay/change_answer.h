#pragma once

#include <functional>
#include <string>

#include "relay/change_log.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// @return a server's record as the watcher knows it now; null when it knows none.
using RecordFinder = std::function<const ServerRecord*(const std::string& server_id)>;

/// Fills in what has changed since the question's revision: the newest state of each server that
/// the log names. Where the log does not reach back so far, or the changes are more than one
/// datagram carries, the answer says that there is a gap and holds none: a part could not be told
/// from all.
/// @param answer names the question's revision in `from_revision`.
void FillChanges(ChangeAnswer& answer, const ChangeLog& changes, const RecordFinder& find_record);

/// @return whether nothing that a request's path needs differs: then a change is not relayed.
bool SameForRequests(const ServerRecord& left, const ServerRecord& right);

}  // namespace moorfold
