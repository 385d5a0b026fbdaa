#pragma once

#include "gateway/server_directory.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// Adds the servers after `page.after` to the page, as many as fit into one datagram.
void FillServersPage(ServersPage& page, const ServerDirectory& servers);

}  // namespace moorfold
