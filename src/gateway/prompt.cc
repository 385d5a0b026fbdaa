#include "gateway/prompt.h"

#include <charconv>

namespace moorfold {

std::vector<PromptPart> ParsePromptParts(std::string_view text) {
  std::vector<PromptPart> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    std::string_view part = text.substr(0, comma);
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
    while (part.starts_with(' ')) part.remove_prefix(1);
    const std::size_t colon = part.find(':');
    if (colon == std::string_view::npos) continue;
    const std::string_view count = part.substr(colon + 1);
    double tokens = 0;
    const auto read = std::from_chars(count.data(), count.data() + count.size(), tokens);
    if (read.ec != std::errc()) continue;
    parts.push_back({std::string(part.substr(0, colon)), tokens});
  }
  return parts;
}

double TotalTokens(const std::vector<PromptPart>& parts) {
  double tokens = 0;
  for (const PromptPart& part : parts) tokens += part.tokens;
  return tokens;
}

ModelReference ParseModelReference(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return {std::string(text), {}};
  return {std::string(text.substr(0, slash)), std::string(text.substr(slash + 1))};
}

std::string ToString(const ModelReference& name) {
  return name.adapter.empty() ? name.model : name.model + "/" + name.adapter;
}

}  // namespace moorfold
