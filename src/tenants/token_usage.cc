#include "tenants/token_usage.h"

#include <charconv>
#include <cstdint>

#include "http/header_rules.h"

namespace moorfold {

namespace {

/// Nine digits exceed the context of any model, and sums of such numbers stay exact.
constexpr std::size_t kMaxDigits = 9;

std::optional<double> ParseCount(std::string_view text) {
  std::uint64_t count = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), count);
  const bool whole = read.ec == std::errc() && read.ptr == text.data() + text.size();
  if (!whole || text.size() > kMaxDigits) return std::nullopt;
  return static_cast<double>(count);
}

}  // namespace

std::optional<double> ParseTokenUsage(std::string_view stated) {
  const std::size_t comma = stated.find(',');
  if (comma == std::string_view::npos) return std::nullopt;
  std::string_view out = stated.substr(comma + 1);
  while (out.starts_with(' ')) out.remove_prefix(1);
  const std::optional<double> tokens_in = ParseCount(stated.substr(0, comma));
  const std::optional<double> tokens_out = ParseCount(out);
  if (!tokens_in || !tokens_out) return std::nullopt;
  return *tokens_in + *tokens_out;
}

std::optional<double> CountQuotaUnits(const QuotaLimit& limit, const HttpHeaders& headers,
                                      std::string_view token_usage) {
  if (limit.unit == QuotaUnit::kRequests) return 1;
  const HttpHeader* stated = nullptr;
  for (const HttpHeader& header : headers) {
    if (!EqualHeaderNames(header.name, token_usage)) continue;
    if (stated != nullptr) return std::nullopt;
    stated = &header;
  }
  return stated == nullptr ? limit.default_tokens : ParseTokenUsage(stated->value);
}

}  // namespace moorfold
