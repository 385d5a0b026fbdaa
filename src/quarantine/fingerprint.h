#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace moorfold {

/// Tells tries of the same request from other requests, without telling what they hold.
///
/// A client's tries carry another id each and come at any daemon; what stays is who asks, for which
/// path, with which body. The digest is cryptographic (BLAKE2b): nobody can make a request of their
/// own that shares the fingerprint of somebody else's, also since the caller is part of it.
struct Fingerprint {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const Fingerprint&) const = default;
};

/// What makes two tries the same request.
struct RequestIdentity {
  std::string_view caller;  ///< IP number of the client.
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view body;
};

Fingerprint FingerprintOf(const RequestIdentity& identity);

/// @return 32 hexadecimal digits.
std::string ToString(const Fingerprint& fingerprint);
/// @return nothing where `text` is not what ToString gives.
std::optional<Fingerprint> ParseFingerprint(std::string_view text);

/// For hash tables: the bytes are a digest already.
struct FingerprintHash {
  std::size_t operator()(const Fingerprint& fingerprint) const {
    std::size_t hash = 0;
    std::memcpy(&hash, fingerprint.bytes.data(), sizeof hash);
    return hash;
  }
};

}  // namespace moorfold
