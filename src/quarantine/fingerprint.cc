#include "quarantine/fingerprint.h"

#include <sodium/crypto_generichash_blake2b.h>

#include <charconv>

namespace moorfold {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kDigitsPerByte = 2;

/// Prefixes each part with its length, so that different lists of parts never hash the same input.
void HashPart(crypto_generichash_blake2b_state& state, std::string_view part) {
  const std::uint64_t length = part.size();
  std::array<unsigned char, sizeof length> prefix{};
  std::memcpy(prefix.data(), &length, sizeof length);
  crypto_generichash_blake2b_update(&state, prefix.data(), prefix.size());
  crypto_generichash_blake2b_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                                    part.size());
}

}  // namespace

Fingerprint FingerprintOf(const RequestIdentity& identity) {
  crypto_generichash_blake2b_state state;
  crypto_generichash_blake2b_init(&state, nullptr, 0, Fingerprint::kBytes);
  for (const std::string_view part :
       {identity.host, identity.target, identity.model, identity.body, identity.tenant})
    HashPart(state, part);
  Fingerprint fingerprint;
  crypto_generichash_blake2b_final(&state, fingerprint.bytes.data(), fingerprint.bytes.size());
  return fingerprint;
}

std::string ToString(const Fingerprint& fingerprint) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : fingerprint.bytes) {
    text += kDigits[byte / kHexBase];
    text += kDigits[byte % kHexBase];
  }
  return text;
}

std::optional<Fingerprint> ParseFingerprint(std::string_view text) {
  if (text.size() != kDigitsPerByte * Fingerprint::kBytes) return std::nullopt;
  Fingerprint fingerprint;
  for (std::size_t byte = 0; byte < Fingerprint::kBytes; ++byte) {
    const char* begin = text.data() + byte * kDigitsPerByte;
    const char* end = begin + kDigitsPerByte;
    const auto parsed = std::from_chars(begin, end, fingerprint.bytes[byte], kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  }
  return fingerprint;
}

}  // namespace moorfold
