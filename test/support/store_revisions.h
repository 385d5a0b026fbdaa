#pragma once

#include "ports/store_revision.h"

namespace moorfold {

/// A revision of a store that never came back from a copy, in which most tests stay.
constexpr StoreRevision At(std::int64_t number) { return {0, number}; }

}  // namespace moorfold
