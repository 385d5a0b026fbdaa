#include "detour/detour_headers.h"

#include <array>
#include <charconv>

namespace moorfold::detour {

namespace {

constexpr char kSeparator = ';';

/// Parses `text` as exactly `Count` decimal numbers between separators.
template <std::size_t Count>
std::optional<std::array<std::uint64_t, Count>> ParseNumbers(std::string_view text) {
  std::array<std::uint64_t, Count> numbers{};
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  for (std::size_t index = 0; index < Count; ++index) {
    if (index > 0 && (at == end || *at++ != kSeparator)) return std::nullopt;
    const auto read = std::from_chars(at, end, numbers[index]);
    if (read.ec != std::errc()) return std::nullopt;
    at = read.ptr;
  }
  return at == end ? std::optional(numbers) : std::nullopt;
}

template <std::size_t Count>
std::string FormatNumbers(const std::array<std::uint64_t, Count>& numbers) {
  std::string text;
  for (const std::uint64_t number : numbers) {
    if (!text.empty()) text += kSeparator;
    text += std::to_string(number);
  }
  return text;
}

}  // namespace

std::string Format(const Origin& origin) {
  return FormatNumbers<5>({origin.token, static_cast<std::uint64_t>(origin.configuration_version),
                           origin.first_attempt_counted ? 1U : 0U, origin.arrived ? 1U : 0U,
                           origin.may_have_run});
}

std::optional<Origin> ParseOrigin(std::string_view text) {
  const auto numbers = ParseNumbers<5>(text);
  if (!numbers) return std::nullopt;
  const auto& [token, version, counted, arrived, may_have_run] = *numbers;
  return Origin{token, static_cast<std::int64_t>(version), counted != 0, arrived != 0,
                static_cast<std::uint32_t>(may_have_run)};
}

std::string Format(const Result& result) {
  return FormatNumbers<2>({result.declined ? 1U : 0U, result.may_have_run});
}

std::optional<Result> ParseResult(std::string_view text) {
  const auto numbers = ParseNumbers<2>(text);
  if (!numbers) return std::nullopt;
  return Result{(*numbers)[0] != 0, static_cast<std::uint32_t>((*numbers)[1])};
}

}  // namespace moorfold::detour
