#pragma once

namespace moorfold::balancing {

/// Prompt tokens that a model server prefills in a millisecond.
inline constexpr double kPrefillTokensPerMs = 38;

}  // namespace moorfold::balancing
