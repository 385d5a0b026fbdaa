#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace moorfold {

/// One part of a prompt. A server reuses its prompt cache for requests that start with the same
/// parts.
struct PromptPart {
  std::string id;
  double tokens = 0;
};

/// @param text "ID:TOKENS,ID:TOKENS"; malformed parts are skipped.
std::vector<PromptPart> ParsePromptParts(std::string_view text);
/// @return the length of the whole prompt.
double TotalTokens(const std::vector<PromptPart>& parts);

/// The model, or adapter of a model, that a request names.
struct ModelReference {
  std::string model;
  std::string adapter;  ///< Empty: the model itself.

  auto operator<=>(const ModelReference&) const = default;
};

/// @param text "MODEL" or "MODEL/ADAPTER".
ModelReference ParseModelReference(std::string_view text);
/// @return "MODEL" or "MODEL/ADAPTER".
std::string ToString(const ModelReference& name);

}  // namespace moorfold
