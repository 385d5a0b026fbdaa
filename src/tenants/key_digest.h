#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace moorfold {

/// Tells one client's key from another without holding it.
///
/// Keyed with random bytes of this process (BLAKE2b): a digest that leaks, as by a core dump, can
/// neither be used as a key nor be looked up in a list of digests of likely keys, and no two
/// processes give the same digest of one key.
struct KeyDigest {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const KeyDigest&) const = default;
};

/// @return the digest that this process gives of `key`. Any thread.
KeyDigest DigestOfKey(std::string_view key);

/// For hash tables: the bytes are a digest already.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const {
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes.data(), sizeof hash);
    return hash;
  }
};

}  // namespace moorfold
