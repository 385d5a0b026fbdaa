#include "free_ports.h"

#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace moorfold {
namespace {

using boost::asio::ip::tcp;

constexpr int kRun = 7;
/// Of forty gateways: requests, readiness and messages between gateways.
constexpr int kPortsOfWideRun = 120;

tcp::endpoint At(std::uint16_t port) { return {boost::asio::ip::address_v4::loopback(), port}; }

TEST_CASE("No two programs of a run are given one port") {
  FreePorts ports(kRun);
  std::set<std::uint16_t> given;
  for (int draw = 0; draw < kPortsOfWideRun; ++draw) given.insert(ports.Next());
  CHECK(given.size() == kPortsOfWideRun);
}

TEST_CASE("Runs beside each other are given different ports while their programs are down") {
  FreePorts one(kRun);
  FreePorts other(kRun);
  std::set<std::uint16_t> given;
  for (int draw = 0; draw < kPortsOfWideRun; ++draw) {
    given.insert(one.Next());
    given.insert(other.Next());
  }
  CHECK(given.size() == 2 * kPortsOfWideRun);
}

TEST_CASE("A program listens on its port, ends with a connection open, and listens there again") {
  FreePorts ports(kRun);
  const tcp::endpoint address = At(ports.Next());
  boost::asio::io_context context;
  for (int start = 0; start < 3; ++start) {
    tcp::acceptor listener(context, address);
    tcp::socket client(context);
    client.connect(address);
    const tcp::socket accepted = listener.accept();
    CHECK(accepted.is_open());
  }
}

TEST_CASE("A range without a free port says so") {
  FreePorts ports(kRun);
  std::vector<std::uint16_t> given;
  const auto take_all = [&] {
    while (true) given.push_back(ports.Next());
  };
  CHECK_THROWS_WITH(take_all(), Catch::Matchers::Contains("start fewer gateways"));
}

}  // namespace
}  // namespace moorfold
