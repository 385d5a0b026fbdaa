#pragma once

#include <cstdint>
#include <string_view>

namespace moorfold {

/// Initial value of HashAppend.
inline constexpr std::uint64_t kHashOffsetBasis = 14695981039346656037ULL;

/// 64-bit FNV-1a: the same value on every daemon and in every build, unlike std::hash.
constexpr std::uint64_t HashAppend(std::uint64_t hash, std::string_view text) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * kPrime;
  return hash;
}

/// Spreads differences over all bits: FNV-1a values of short texts that differ only in the last
/// character differ in few bits.
constexpr std::uint64_t MixHash(std::uint64_t hash) {
  constexpr unsigned kShift = 29;
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ULL;
  return (hash ^ (hash >> kShift)) * kMultiplier;
}

}  // namespace moorfold
