#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

namespace moorfold {

/// Ports of loopback for the programs of one run, below those that the kernel gives to outgoing
/// connections: a program that is started again finds its own free.
///
/// A port stays held while this object lives: it is given out once, and another run passes it
/// over, also while its program is down. One thread.
class FreePorts {
 public:
  /// @param run runs of different numbers mostly draw from different ranges.
  explicit FreePorts(int run);

  /// @throws std::runtime_error when every port of the range is taken.
  std::uint16_t Next();

 private:
  bool Hold(std::uint16_t port);

  boost::asio::io_context context_;
  std::vector<std::uint16_t> candidates_;
  std::vector<boost::asio::ip::tcp::acceptor> held_;
};

}  // namespace moorfold
