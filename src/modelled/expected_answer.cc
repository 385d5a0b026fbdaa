#include "modelled/expected_answer.h"

#include <xxhash.h>

namespace moorfold {

std::string ExpectedToken(const std::string& model, const std::string& prompt,
                          std::uint32_t position) {
  const std::uint64_t seed = XXH3_64bits_withSeed(model.data(), model.size(), position);
  const std::uint64_t hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), seed);
  constexpr std::uint64_t kVocabulary = 50'000;
  return "w" + std::to_string(hash % kVocabulary) + " ";
}

std::string ExpectedAnswer(const std::string& model, const std::string& prompt,
                           std::uint32_t tokens) {
  std::string answer;
  for (std::uint32_t position = 0; position < tokens; ++position)
    answer += ExpectedToken(model, prompt, position);
  return answer;
}

}  // namespace moorfold
