#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace moorfold {

/// Stands for the era of what a build that knows no eras has written: earlier than any other.
inline constexpr std::int64_t kEraUntold = -1;

/// A store that never came back from a copy counts no return, or says nothing of eras.
inline constexpr std::int64_t kEraWithoutReturn = 0;

/// A point in the history of a key-value store. A store that comes back from an older copy of
/// itself gives its revisions out again: only with the era, which counts those returns, can two of
/// them be compared. Ordered by era first. A store that tells no era has era 0 for ever.
struct StoreRevision {
  std::int64_t era = 0;
  std::int64_t number = 0;  ///< Rises with each change within an era; 0: before any change.

  constexpr StoreRevision() = default;
  constexpr StoreRevision(std::int64_t era_of_store, std::int64_t number_in_era)
      : era(era_of_store), number(number_in_era) {}
  auto operator<=>(const StoreRevision&) const = default;

  /// @return the revision that follows in the same era.
  constexpr StoreRevision Next() const { return {era, number + 1}; }
};

/// @return "ERA.NUMBER", as it stands in logs.
inline std::string ToString(const StoreRevision& revision) {
  return std::to_string(revision.era) + "." + std::to_string(revision.number);
}

/// A lease of a key-value store. Numbers are given out again after a return from an older copy, so
/// a lease of an earlier era is never one of a later era, whatever its number.
struct LeaseId {
  std::int64_t era = 0;
  std::int64_t number = 0;  ///< 0: none.

  constexpr LeaseId() = default;
  constexpr LeaseId(std::int64_t era_of_store, std::int64_t number_in_era)
      : era(era_of_store), number(number_in_era) {}
  auto operator<=>(const LeaseId&) const = default;

  /// @return whether this names a lease at all.
  constexpr bool exists() const { return number != 0; }
};

}  // namespace moorfold
