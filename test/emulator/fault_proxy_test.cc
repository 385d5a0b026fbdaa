#include "fault_proxy.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using boost::asio::ip::tcp;

bool CanConnect(const tcp::endpoint& address) {
  boost::asio::io_context context;
  boost::system::error_code error;
  tcp::socket(context).connect(address, error);
  return !error;
}

TEST_CASE("No other process is given the port of a proxy that refuses connections") {
  boost::asio::io_context context;
  FaultProxy proxy(context, {"127.0.0.1", 1});
  const tcp::endpoint address(boost::asio::ip::address_v4::loopback(), proxy.endpoint().port);
  proxy.SetRefusesNew(true);
  CHECK_FALSE(CanConnect(address));
  constexpr bool kReuseAddress = false;
  CHECK_THROWS(tcp::acceptor(context, address, kReuseAddress));
  proxy.SetRefusesNew(false);
  CHECK(CanConnect(address));
}

}  // namespace
}  // namespace moorfold
