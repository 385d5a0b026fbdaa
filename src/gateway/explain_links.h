#pragma once

#include <string>
#include <vector>

#include "gateway/explain.h"

namespace moorfold {

/// Tells requests under which servers ended from those that were there by chance: from the attempts
/// whose link the server's side ended, per fingerprint, the servers and the daemons, most servers
/// first. A request that ends servers stands at the top with many of them; who shared a server with
/// it stands below with one or two.
/// @return lines for people, or an empty list when no link was ended by a server.
std::vector<std::string> ExplainEndedLinks(const std::vector<LoggedEvent>& events);

}  // namespace moorfold
