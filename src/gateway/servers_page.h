#pragma once

#include "gateway/server_directory.h"
#include "relay/relay_messages.h"

namespace moorfold {

/// @return the page asked for, with as many servers as a datagram carries. Of what stands there,
/// `relays`, `revision` and `age_us` are the caller's to fill in.
ServersPage FillPage(const ServersQuestion& question, const ServerDirectory& servers);

}  // namespace moorfold
