#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

#include "common/async_signal.h"
#include "http/http_types.h"

namespace moorfold {

enum class ProxyMode : std::uint8_t {
  kPass,
  kDelay,   ///< Every piece of bytes waits.
  kSilent,  ///< Connections stand, nothing passes.
  kOneWay,  ///< Bytes pass to the target, not back.
  kRefuse   ///< Connections are reset at once, also those that stand.
};

/// A loopback TCP proxy that does to connections what networks do. One thread.
class FaultProxy {
 public:
  FaultProxy(boost::asio::io_context& context, Endpoint target);

  void Start();
  void SetMode(ProxyMode mode);
  /// Resets the connections that stand; new ones pass.
  void ResetAll();
  Endpoint endpoint() const;
  void set_target(Endpoint target) { target_ = std::move(target); }

 private:
  struct Pair;

  Awaitable<void> Accept();
  Awaitable<void> Serve(std::shared_ptr<Pair> pair);
  Awaitable<void> Pump(std::shared_ptr<Pair> pair, bool to_target);

  boost::asio::io_context& context_;
  Endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ProxyMode mode_ = ProxyMode::kPass;
  AsyncSignal mode_changed_;
  std::set<std::shared_ptr<Pair>> pairs_;
};

}  // namespace moorfold
