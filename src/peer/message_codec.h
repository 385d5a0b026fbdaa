#pragma once

#include <string>
#include <string_view>

#include "core/claims/claim_messages.h"
#include "core/messages.h"

namespace moorfold {

/// Everything that daemons say to one another: the core's messages and those of the claims on
/// idempotency keys, which stay outside the core.
using PeerPayload = std::variant<PeerMessage, ClaimMessage>;

/// Binary encoding by cereal (portable binary, 32-bit lengths).
std::string EncodePayload(const PeerPayload& payload);
/// @throws DecodeError when the bytes are no payload, or go on after it.
PeerPayload DecodePayload(std::string_view bytes);

}  // namespace moorfold
