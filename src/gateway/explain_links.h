#pragma once

#include <string>
#include <vector>

#include "gateway/explain.h"

namespace moorfold {

/// Helps to tell requests that crash servers from requests that only ran on a server when it
/// crashed. Lists, per request fingerprint, the servers and daemons of the attempts whose
/// connection the server closed, most servers first. A request that crashes servers is at the top
/// with many servers; requests that shared a server with it follow with one or two.
/// @return human-readable lines; empty if no server closed a connection.
std::vector<std::string> ExplainEndedLinks(const std::vector<LoggedEvent>& events);

}  // namespace moorfold
