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
/// A client's tries carry another id each and come at any daemon of any zone; what stays is what
/// servers get to work on: tenant, host, path, model and body. The caller's address is no part of
/// it: one caller is seen under another address at each entrance, and a request that ends servers
/// does so whoever sends it. The digest is cryptographic (BLAKE2b): only the same content shares a
/// fingerprint, so nobody can aim at a request whose content they cannot send themselves and end
/// servers with.
struct Fingerprint {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const Fingerprint&) const = default;
};

/// What makes two tries the same request.
struct RequestIdentity {
  std::string_view host;
  std::string_view target;  ///< Path and query.
  std::string_view model;   ///< As the caller names it; empty without one.
  std::string_view body;
  std::string_view tenant = {};  ///< In whose name it runs; empty without tenants.
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
