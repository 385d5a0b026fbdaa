#include "tenants/presented_key.h"

#include "http/header_rules.h"

namespace moorfold {

namespace {

constexpr std::string_view kScheme = "Bearer";
constexpr std::string_view kBlanks = " \t";

/// @return The key, or an empty string if there is none or if more than one word follows the
/// scheme.
std::string_view KeyIn(std::string_view credentials) {
  const std::size_t scheme_end = credentials.find_first_of(kBlanks);
  if (scheme_end == std::string_view::npos) return {};
  if (!EqualHeaderNames(credentials.substr(0, scheme_end), kScheme)) return {};
  const std::size_t begin = credentials.find_first_not_of(kBlanks, scheme_end);
  if (begin == std::string_view::npos) return {};
  const std::string_view key = credentials.substr(begin);
  const std::size_t end = key.find_first_of(" \t,");
  return end == std::string_view::npos ? key : std::string_view{};
}

}  // namespace

PresentedKey ParsePresentedKey(const HttpHeaders& headers) {
  PresentedKey presented;
  for (const HttpHeader& header : headers) {
    if (!EqualHeaderNames(header.name, kAuthorizationHeader)) continue;
    if (presented.state != KeyState::kNone) return {KeyState::kUnreadable, {}};
    const std::string_view key = KeyIn(header.value);
    if (key.empty()) return {KeyState::kUnreadable, {}};
    presented = {KeyState::kOne, DigestOfKey(key)};
  }
  return presented;
}

}  // namespace moorfold
