#pragma once

#include "http/http_types.h"
#include "tenants/key_digest.h"

namespace moorfold {

/// What a request shows of its caller.
enum class KeyState : std::uint8_t {
  kNone,       ///< No key.
  kOne,        ///< One key, as it should be.
  kUnreadable  ///< Several keys, or something that is no key.
};

struct PresentedKey {
  KeyState state = KeyState::kNone;
  KeyDigest digest;  ///< Where `state` is kOne.
};

/// Name of the header that carries a caller's key (RFC 9110, 11.6.2).
inline constexpr const char* kAuthorizationHeader = "Authorization";

/// Reads "Authorization: Bearer KEY" (RFC 6750, 2.1; the scheme ignores case). A key in the query
/// of a URL is not read: it would stand in logs on its way.
PresentedKey ParsePresentedKey(const HttpHeaders& headers);

}  // namespace moorfold
