#include "http/connection_liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>

namespace moorfold {

namespace {

bool Set(boost::asio::ip::tcp::socket& socket, int level, int option, int value) {
  return ::setsockopt(socket.native_handle(), level, option, &value, sizeof(value)) == 0;
}

}  // namespace

bool EndWhenPeerIsSilent(boost::asio::ip::tcp::socket& socket) {
  const int probe_every_s = static_cast<int>(kProbeEvery.count());
  const int unacknowledged_ms = static_cast<int>(kUnacknowledgedLimit.count());
  bool taken = Set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  taken = Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_every_s) && taken;
  taken = Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_every_s) && taken;
  taken = Set(socket, IPPROTO_TCP, TCP_KEEPCNT, kMostUnansweredProbes) && taken;
  taken = Set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms) && taken;
  return taken;
}

bool IsQuiet(boost::asio::ip::tcp::socket& socket) {
  if (!socket.is_open()) return false;
  boost::system::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
  return error == boost::asio::error::would_block;
}

}  // namespace moorfold
