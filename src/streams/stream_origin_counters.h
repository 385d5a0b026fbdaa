#pragma once

#include <cstdint>

namespace moorfold::streams {

struct StreamOriginCounters {
  std::uint64_t began_implied = 0;  ///< Streams that began without an entry.
  std::uint64_t entered = 0;        ///< Streams whose entry the store has acknowledged.
  std::uint64_t not_entered = 0;    ///< Streams dropped because the store did not acknowledge one.
  std::uint64_t found = 0;          ///< Look-ups that found out the version.
  std::uint64_t unknown = 0;        ///< Look-ups of streams whose version cannot be known.
  std::uint64_t unavailable = 0;    ///< Look-ups that the store did not answer.
};

}  // namespace moorfold::streams
