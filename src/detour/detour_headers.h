#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace moorfold::detour {

/// Header of a request that one daemon forwards to another; removed before a server gets it.
inline constexpr std::string_view kOriginHeader = "Moorfold-Detour";
/// Header of the response to such a request; removed before the client gets it.
inline constexpr std::string_view kResultHeader = "Moorfold-Detour-Result";

/// What the daemon that took a request from its client tells the daemon it forwards it to.
struct Origin {
  std::uint64_t token = 0;                 ///< From the DetourOffer.
  std::int64_t configuration_version = 0;  ///< By which the request was routed.
  bool first_attempt_counted = false;      ///< Already in the retry budget's count of requests.
  bool arrived = false;                    ///< A server has received it before.
  std::uint32_t may_have_run = 0;          ///< Number of servers on which it may have run.

  bool operator==(const Origin&) const = default;
};

/// What the other daemon tells about a request that it was forwarded.
struct Result {
  /// The daemon did not take the request; another daemon may.
  bool declined = false;
  std::uint32_t may_have_run = 0;  ///< Number of servers on which it may have run there.

  bool operator==(const Result&) const = default;
};

std::string Format(const Origin& origin);
/// @return nothing if the text is not what Format makes.
std::optional<Origin> ParseOrigin(std::string_view text);

std::string Format(const Result& result);
std::optional<Result> ParseResult(std::string_view text);

}  // namespace moorfold::detour
