#include "fleet/fleet_messages.h"

#include <boost/asio/ip/address_v4.hpp>

#include "http/http_types.h"

namespace moorfold {

namespace {
constexpr unsigned kPortBits = 16;
constexpr std::int64_t kPortMask = (std::int64_t{1} << kPortBits) - 1;
}  // namespace

std::int64_t PackAddress(const std::string& address) {
  try {
    const Endpoint endpoint = ParseEndpoint(address);
    const auto number = boost::asio::ip::make_address_v4(endpoint.address).to_uint();
    return (std::int64_t{number} << kPortBits) | endpoint.port;
  } catch (const std::exception&) {  // Invalid address: encoded as unknown.
    return 0;
  }
}

std::string UnpackAddress(std::int64_t packed) {
  if (packed <= 0) return {};
  const auto number = static_cast<std::uint32_t>(packed >> kPortBits);
  const auto port = static_cast<std::uint16_t>(packed & kPortMask);
  return ToString(Endpoint{boost::asio::ip::address_v4(number).to_string(), port});
}

}  // namespace moorfold
