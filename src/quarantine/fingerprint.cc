#include "quarantine/fingerprint.h"

#include <sodium/crypto_generichash_blake2b.h>

#include <algorithm>
#include <charconv>
#include <initializer_list>

namespace moorfold {

namespace {

constexpr int kHexBase = 16;
constexpr std::size_t kDigitsPerByte = 2;
/// First bytes of the fingerprint of a prompt part.
constexpr std::array<std::uint8_t, 4> kPartMark = {0x50, 0xa4, 0x70, 0x74};

/// Prefixes each part with its length, so that different lists of parts never hash the same input.
void HashPart(crypto_generichash_blake2b_state& state, std::string_view part) {
  const std::uint64_t length = part.size();
  std::array<unsigned char, sizeof length> prefix{};
  std::memcpy(prefix.data(), &length, sizeof length);
  crypto_generichash_blake2b_update(&state, prefix.data(), prefix.size());
  crypto_generichash_blake2b_update(&state, reinterpret_cast<const unsigned char*>(part.data()),
                                    part.size());
}

Fingerprint Hash(std::initializer_list<std::string_view> parts) {
  crypto_generichash_blake2b_state state;
  crypto_generichash_blake2b_init(&state, nullptr, 0, Fingerprint::kBytes);
  for (const std::string_view part : parts) HashPart(state, part);
  Fingerprint fingerprint;
  crypto_generichash_blake2b_final(&state, fingerprint.bytes.data(), fingerprint.bytes.size());
  return fingerprint;
}

}  // namespace

Fingerprint FingerprintOf(const RequestIdentity& identity) {
  return Hash({identity.host, identity.target, identity.model, identity.body, identity.tenant});
}

Fingerprint PartFingerprintOf(std::string_view service, std::string_view part_id) {
  Fingerprint fingerprint = Hash({service, part_id});
  std::copy(kPartMark.begin(), kPartMark.end(), fingerprint.bytes.begin());
  return fingerprint;
}

bool IsPartFingerprint(const Fingerprint& fingerprint) {
  return std::equal(kPartMark.begin(), kPartMark.end(), fingerprint.bytes.begin());
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
