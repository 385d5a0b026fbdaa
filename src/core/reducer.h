#pragma once

#include "core/effects.h"
#include "core/events.h"
#include "core/state.h"

namespace moorfold {

/// The one entry into the core: changes `state` by `event` and returns what the shell must do.
/// Pure: the same state and event always give the same result. Not thread-safe; the shell calls
/// it from one strand.
Effects Reduce(State& state, const Event& event);

}  // namespace moorfold
