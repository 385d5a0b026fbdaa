#pragma once

#include "gateway/server_directory.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// Fills in the servers after `page.after`, as many as a datagram carries.
void FillServersPage(ServersPage& page, const ServerDirectory& servers);

}  // namespace moorfold
