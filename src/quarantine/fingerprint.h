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

/// Identifies retries of the same request without revealing its content.
///
/// Each retry of a client carries a new request ID and may reach any daemon in any zone. The
/// fingerprint covers what servers process and what stays the same: tenant, host, path, model and
/// body. The client address is left out, because a client appears under a different address at each
/// entry point, and a request that crashes servers does so whoever sends it. The digest is
/// cryptographic (BLAKE2b), so only equal content shares a fingerprint: an attacker cannot get
/// another client's request quarantined without being able to send the same content and crash
/// servers with it.
struct Fingerprint {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const Fingerprint&) const = default;
};

/// The fields that identify a request across retries.
struct RequestIdentity {
  std::string_view host;
  std::string_view target;  ///< Path and query string.
  std::string_view model;   ///< As named by the client; empty if there is none.
  std::string_view body;
  std::string_view tenant = {};  ///< Tenant of the request; empty if tenants are not in use.
};

Fingerprint FingerprintOf(const RequestIdentity& identity);

/// @return the fingerprint of a part that prompts of requests to the service share, whoever sends
/// them. It is marked, so that every daemon can tell it from the fingerprint of a request.
Fingerprint PartFingerprintOf(std::string_view service, std::string_view part_id);
bool IsPartFingerprint(const Fingerprint& fingerprint);

/// @return 32 hexadecimal digits.
std::string ToString(const Fingerprint& fingerprint);
/// @return nothing if `text` is not in the format of ToString.
std::optional<Fingerprint> ParseFingerprint(std::string_view text);

/// Hash function for hash tables. The bytes are already a digest, so their first bytes serve as the
/// hash.
struct FingerprintHash {
  std::size_t operator()(const Fingerprint& fingerprint) const {
    std::size_t hash = 0;
    std::memcpy(&hash, fingerprint.bytes.data(), sizeof hash);
    return hash;
  }
};

}  // namespace moorfold
