#pragma once

#include "http/http_types.h"
#include "tenants/key_digest.h"

namespace moorfold {

/// Result of reading the caller's key from a request.
enum class KeyState : std::uint8_t {
  kNone,       ///< No key.
  kOne,        ///< Exactly one well-formed key.
  kUnreadable  ///< Several keys, or malformed credentials.
};

struct PresentedKey {
  KeyState state = KeyState::kNone;
  KeyDigest digest;  ///< Set if `state` is kOne.
};

/// Name of the header that carries a caller's key (RFC 9110, 11.6.2).
inline constexpr const char* kAuthorizationHeader = "Authorization";

/// Reads "Authorization: Bearer KEY" (RFC 6750, 2.1; the scheme ignores case). A key in a URL query
/// is not read, since proxies on the way would log it.
PresentedKey ParsePresentedKey(const HttpHeaders& headers);

}  // namespace moorfold
