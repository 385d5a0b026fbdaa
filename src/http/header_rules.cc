#include "http/header_rules.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace moorfold {

namespace {

constexpr std::array<std::string_view, 10> kHopByHop = {"connection",
                                                        "keep-alive",
                                                        "proxy-connection",
                                                        "proxy-authenticate",
                                                        "proxy-authorization",
                                                        "te",
                                                        "trailer",
                                                        "transfer-encoding",
                                                        "upgrade",
                                                        "content-length"};

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

bool EqualHeaderNames(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

HopByHopHeaders::HopByHopHeaders(const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    if (!EqualHeaderNames(header.name, "connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      named_.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
  }
}

bool HopByHopHeaders::Contains(std::string_view name) const {
  const auto same = [&](std::string_view other) { return EqualHeaderNames(name, other); };
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), same) ||
         std::any_of(named_.begin(), named_.end(), same);
}

HttpHeaders EndToEndHeaders(const HttpHeaders& headers) {
  const HopByHopHeaders hop_by_hop(headers);
  HttpHeaders end_to_end;
  for (const HttpHeader& header : headers)
    if (!hop_by_hop.Contains(header.name)) end_to_end.push_back(header);
  return end_to_end;
}

}  // namespace moorfold
