#pragma once

#include <functional>
#include <string>

#include "relay/change_log.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// @return the watcher's current record of a server; null if it has none.
using RecordFinder = std::function<const ServerRecord*(const std::string& server_id)>;

/// Limit for the servers in one answer: the channel carries 8 kB per datagram, and losing any IP
/// fragment loses the whole datagram.
inline constexpr std::size_t kMaxServersBytes = 7'000;
/// @return an upper bound of the encoded size of a change.
std::size_t EncodedBytes(const ServerChange& change);

/// Fills in the changes since the requested revision: the newest state of each server in the log.
/// If the log does not reach back that far, the answer reports a gap and holds no servers. If the
/// changes exceed one datagram, the answer holds the oldest ones that fit. A requester whose build
/// cannot distinguish a partial answer from a complete one gets a gap instead.
/// @param answer holds the requested revision in `from_revision`.
/// @param parts whether the requester accepts partial answers.
void FillChanges(ChangeAnswer& answer, const ChangeLog& changes, const RecordFinder& find_record,
                 bool parts);

/// @return whether all fields that request routing uses are equal; such a change is not relayed.
bool EqualForRouting(const ServerRecord& left, const ServerRecord& right);

}  // namespace moorfold
