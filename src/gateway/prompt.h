#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace moorfold {

/// One part of a prompt. Requests that begin with the same parts share what was computed for them.
struct PromptPart {
  std::string id;
  double tokens = 0;
};

/// @param text "ID:TOKENS,ID:TOKENS"; parts that cannot be read are left out.
std::vector<PromptPart> ParsePromptParts(std::string_view text);

/// What a request asks for: a model, or an adapter of one.
struct ModelReference {
  std::string model;
  std::string adapter;  ///< Empty: the model itself.

  auto operator<=>(const ModelReference&) const = default;
};

/// @param text "MODEL" or "MODEL/ADAPTER".
ModelReference ParseModelReference(std::string_view text);
/// @return the same form.
std::string ToString(const ModelReference& name);

}  // namespace moorfold
