// Tests for the cost of a request against its tenant's limit.

#include "tenants/token_usage.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

constexpr const char* kTokens = "X-Tokens";

TEST_CASE("Only two whole numbers are accepted as a token count") {
  struct Case {
    const char* stated;
    std::optional<double> sum;
  };
  const std::vector<Case> cases = {{"1460,80", 1540},
                                   {"0,0", 0},
                                   {"1460, 80", 1540},
                                   {"", std::nullopt},
                                   {"1460", std::nullopt},
                                   {"1460,", std::nullopt},
                                   {",80", std::nullopt},
                                   {"-1,80", std::nullopt},
                                   {"+1,80", std::nullopt},
                                   {"1e3,80", std::nullopt},
                                   {"1460,80,1", std::nullopt},
                                   {"1460;80", std::nullopt},
                                   {"0x10,1", std::nullopt},
                                   {" 1460,80", std::nullopt},
                                   {"999999999,1", 1'000'000'000},
                                   {"9999999999,1", std::nullopt},
                                   {"18446744073709551616,1", std::nullopt}};
  for (const Case& each : cases) {
    INFO(each.stated);
    CHECK(ParseTokenUsage(each.stated) == each.sum);
  }
}

TEST_CASE("A request costs one unit, its stated tokens, or the default token count") {
  const QuotaLimit requests{QuotaUnit::kRequests, 10, 0, 0};
  const QuotaLimit tokens{QuotaUnit::kTokens, 10, 0, 200};
  CHECK(CountQuotaUnits(requests, {{kTokens, "no number"}}, kTokens) == 1.0);
  CHECK(CountQuotaUnits(tokens, {}, kTokens) == 200.0);
  CHECK(CountQuotaUnits(tokens, {{"x-tokens", "7,3"}}, kTokens) == 10.0);
  CHECK(CountQuotaUnits(tokens, {{kTokens, "seven"}}, kTokens) == std::nullopt);
  CHECK(CountQuotaUnits(tokens, {{kTokens, "7,3"}, {"x-tokens", "1,1"}}, kTokens) == std::nullopt);
}

}  // namespace
}  // namespace moorfold
