#include "simulation/world.h"

#include <cmath>

namespace moorfold {
namespace {
constexpr std::int64_t kWithinZoneMicroseconds = 150;
}  // namespace

Duration World::Exponential(Duration mean) {
  const double variate = -std::log(1.0 - Uniform());
  return Duration(static_cast<std::int64_t>(variate * static_cast<double>(mean.count())));
}

Duration World::NetworkDelay(const ZoneName& from, const ZoneName& to) {
  const std::int64_t base = kWithinZoneMicroseconds + (from == to ? 0 : zone_distance.count());
  return Duration(base + static_cast<std::int64_t>(Uniform() * static_cast<double>(base)));
}

}  // namespace moorfold
