#pragma once

#include <cstdint>
#include <string>

namespace moorfold {

/// The text that the stand-in engine answers to a prompt, so that a caller can check that it got
/// its own whole answer: `tokens` words that depend on model, prompt and position.
std::string ExpectedToken(const std::string& model, const std::string& prompt,
                          std::uint32_t position);
std::string ExpectedAnswer(const std::string& model, const std::string& prompt,
                           std::uint32_t tokens);

}  // namespace moorfold
