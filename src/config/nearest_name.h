#pragma once

#include <string>
#include <vector>

namespace moorfold {

/// @return the candidate with the smallest edit distance to `name`; empty without candidates.
std::string NearestName(const std::string& name, const std::vector<std::string>& candidates);

}  // namespace moorfold
