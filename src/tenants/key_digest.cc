#include "tenants/key_digest.h"

#include <sodium/crypto_generichash_blake2b.h>
#include <sodium/randombytes.h>

namespace moorfold {

namespace {

using Secret = std::array<unsigned char, crypto_generichash_blake2b_KEYBYTES>;

Secret MakeSecret() {
  Secret secret{};
  randombytes_buf(secret.data(), secret.size());
  return secret;
}

}  // namespace

KeyDigest DigestOfKey(std::string_view key) {
  static const Secret kSecret = MakeSecret();
  KeyDigest digest;
  crypto_generichash_blake2b(digest.bytes.data(), digest.bytes.size(),
                             reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                             kSecret.data(), kSecret.size());
  return digest;
}

}  // namespace moorfold
