#include "http/http_types.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <charconv>

namespace moorfold {

Endpoint ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  unsigned port = 0;
  const char* begin = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(begin, end, port);
  constexpr unsigned kMaxPort = 65535;
  boost::system::error_code no_address;
  boost::asio::ip::make_address(text.substr(0, colon), no_address);
  if (colon == std::string::npos || no_address || error != std::errc{} || parsed != end ||
      port > kMaxPort)
    throw std::invalid_argument("'" + text + "' is no address; write IP:PORT, as 127.0.0.1:7400");
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  const auto same = [](char left, char right) {
    return std::tolower(static_cast<unsigned char>(left)) ==
           std::tolower(static_cast<unsigned char>(right));
  };
  for (const HttpHeader& header : headers)
    if (std::equal(header.name.begin(), header.name.end(), name.begin(), name.end(), same))
      return header.value;
  return {};
}

}  // namespace moorfold
