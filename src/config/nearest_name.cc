#include "config/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace moorfold {
namespace {

std::size_t EditDistance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 1; i <= left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

std::string NearestName(const std::string& name, const std::vector<std::string>& candidates) {
  const auto nearest = std::min_element(
      candidates.begin(), candidates.end(), [&](const std::string& left, const std::string& right) {
        return EditDistance(name, left) < EditDistance(name, right);
      });
  return nearest == candidates.end() ? std::string() : *nearest;
}

}  // namespace moorfold
