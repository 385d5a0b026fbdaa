#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/http_types.h"
#include "peer/frame.h"
#include "peer/message_codec.h"

namespace moorfold {

struct TransportStatistics {
  std::uint64_t messages_sent = 0;
  std::uint64_t messages_received = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
  std::uint64_t malformed = 0;
  std::uint64_t foreign = 0;
  std::uint64_t replayed = 0;
  std::uint64_t dropped = 0;  ///< Not sent: the peer's queue was full or unreachable.
};

/// Messages between daemons: one datagram when it fits, else over one TCP connection per peer.
/// Delivery is not promised; whoever needs it asks again. Runs on one context's thread.
class PeerTransport {
 public:
  using Handler = std::function<void(const DaemonName& from, PeerPayload payload)>;
  using Clock = std::function<Timestamp()>;

  /// Binds UDP and TCP to the same port; port 0 takes any that is free for both.
  /// @throws ListenError when it cannot be bound.
  PeerTransport(boost::asio::io_context& context, const Endpoint& listen, FrameCodec codec,
                Clock clock, Handler handler);
  ~PeerTransport();

  void Start();
  void Send(const Endpoint& to, const PeerPayload& payload);
  Endpoint endpoint() const;
  TransportStatistics statistics() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace moorfold
