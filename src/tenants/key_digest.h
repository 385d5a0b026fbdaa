#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace moorfold {

/// Identifies a client's key without storing the key.
///
/// A BLAKE2b hash keyed with random bytes of this process. A digest that leaks, for example in a
/// core dump, cannot be used as a key or looked up in a table of digests of likely keys, and two
/// processes compute different digests of one key.
struct KeyDigest {
  static constexpr std::size_t kBytes = 16;

  std::array<std::uint8_t, kBytes> bytes{};

  auto operator<=>(const KeyDigest&) const = default;
};

/// @return This process's digest of `key`. Thread-safe.
KeyDigest DigestOfKey(std::string_view key);

/// Hash for unordered containers; takes leading digest bytes, which are uniformly distributed.
struct KeyDigestHash {
  std::size_t operator()(const KeyDigest& digest) const {
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes.data(), sizeof hash);
    return hash;
  }
};

}  // namespace moorfold
