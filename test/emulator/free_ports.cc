#include "free_ports.h"

#include <algorithm>
#include <numeric>
#include <random>
#include <stdexcept>
#include <string>

namespace moorfold {

namespace {

using boost::asio::ip::tcp;

constexpr int kFirst = 15'000;
constexpr int kPortsOfRange = 300;
constexpr int kRanges = 50;

}  // namespace

FreePorts::FreePorts(int run) : candidates_(kPortsOfRange) {
  const int first = kFirst + run % kRanges * kPortsOfRange;
  std::iota(candidates_.begin(), candidates_.end(), static_cast<std::uint16_t>(first));
  std::shuffle(candidates_.begin(), candidates_.end(), std::mt19937(std::random_device{}()));
}

std::uint16_t FreePorts::Next() {
  while (!candidates_.empty()) {
    const std::uint16_t port = candidates_.back();
    candidates_.pop_back();
    if (Hold(port)) return port;
  }
  throw std::runtime_error("all " + std::to_string(kPortsOfRange) +
                           " ports of this run's range are taken: end other runs, or start fewer "
                           "gateways");
}

/// A socket that is bound and does not listen holds the port against whoever does not share
/// addresses; only once it is bound does it share with the program that is to listen there.
bool FreePorts::Hold(std::uint16_t port) {
  tcp::acceptor holder(context_, tcp::v4());
  boost::system::error_code taken;
  holder.bind({boost::asio::ip::address_v4::loopback(), port}, taken);
  if (taken) return false;
  holder.set_option(tcp::acceptor::reuse_address(true));
  held_.push_back(std::move(holder));
  return true;
}

}  // namespace moorfold
