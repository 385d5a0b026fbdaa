#pragma once

#include <optional>
#include <string_view>

#include "http/http_types.h"
#include "tenants/tenant.h"

namespace moorfold {

/// @param stated "IN,OUT": tokens of the prompt, and the most that come out.
/// @return their sum, or nothing where one of them is no whole number of at most nine digits.
std::optional<double> ParseTokenUsage(std::string_view stated);

/// @param token_usage name of the header that states tokens.
/// @return what a request counts against `limit`, in its unit; nothing where it states tokens that
/// cannot be counted, or states them twice.
std::optional<double> CountQuotaUnits(const QuotaLimit& limit, const HttpHeaders& headers,
                                      std::string_view token_usage);

}  // namespace moorfold
