#pragma once

#include <functional>
#include <string>

#include "relay/change_log.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// @return a server's record as the watcher knows it now; null when it knows none.
using RecordFinder = std::function<const ServerRecord*(const std::string& server_id)>;

/// Of servers in one answer: a datagram is lost whole when a part of it is lost, and the channel
/// carries 8 kB.
inline constexpr std::size_t kMaxServersBytes = 7'000;
/// @return an upper bound of what a change takes in a message.
std::size_t EncodedBytes(const ServerChange& change);

/// Fills in what has changed since the question's revision: the newest state of each server that
/// the log names. Where the log does not reach back so far, the answer says that there is a gap and
/// holds none. Changes that are more than one datagram carries are told from the oldest on, as far
/// as it goes; whoever takes no part, since its build could not tell it from all, hears of a gap.
/// @param answer names the question's revision in `from_revision`.
/// @param parts whether the asker takes parts.
void FillChanges(ChangeAnswer& answer, const ChangeLog& changes, const RecordFinder& find_record,
                 bool parts);

/// @return whether nothing that a request's path needs differs: then a change is not relayed.
bool EqualForRouting(const ServerRecord& left, const ServerRecord& right);

}  // namespace moorfold
