#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "gateway/wait_policy.h"
#include "outlook/outlook_messages.h"

namespace moorfold::outlook {

/// @param from "IP:PORT" of the sender of a notice.
/// @param leader "IP:PORT" of the current leader; empty if none is known.
/// @param relays "IP:PORT" of the relays that forward notices to this daemon.
/// @return whether the notice is accepted.
bool IsAcceptedSender(const std::string& from, const std::string& leader,
                      const std::vector<std::string>& relays);

/// Records the notice's times in `expected`. A time below 0 or above 10 minutes is ignored, and so
/// are entries beyond the maximum number.
/// @return the number of ignored entries.
std::size_t ApplyNotice(const LoadOutlookNotice& notice, SteadyTime now,
                        ExpectedModelLoads& expected);

}  // namespace moorfold::outlook
