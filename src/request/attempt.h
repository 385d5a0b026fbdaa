#pragma once

#include <cstdint>
#include <string>

namespace moorfold {

/// How one attempt at a back end ended.
enum class AttemptEnd : std::uint8_t {
  kAnswered,    ///< The caller has its answer (also one that names the caller's mistake).
  kNotRun,      ///< The back end did not run it: trying elsewhere is safe.
  kMayHaveRun,  ///< No whole answer came.
  kBroken,      ///< Part of the answer is with the caller already: it was cut off.
};

struct Attempt {
  AttemptEnd end = AttemptEnd::kNotRun;
  std::string problem;
  bool leaving = false;  ///< The back end refused because it is about to stop.
};

}  // namespace moorfold
