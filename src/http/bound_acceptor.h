#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace moorfold {

/// Until `listen` is called, connections to the address are refused, and no other process is given
/// its port.
/// @throws boost::system::system_error if the address is taken.
inline boost::asio::ip::tcp::acceptor BindAcceptor(boost::asio::io_context& context,
                                                   const boost::asio::ip::tcp::endpoint& local) {
  boost::asio::ip::tcp::acceptor acceptor(context, local.protocol());
  acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  acceptor.bind(local);
  return acceptor;
}

}  // namespace moorfold
