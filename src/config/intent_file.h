#pragma once

#include <string>

#include "core/intent.h"

namespace moorfold {

/// Reads an operators' intent (YAML, see docs/OPERATIONS.md).
/// @param file the name used in messages.
/// @throws ConfigError with all mistakes.
Intent ParseIntent(const std::string& text, const std::string& file);
Intent ReadIntentFile(const std::string& file);

}  // namespace moorfold
