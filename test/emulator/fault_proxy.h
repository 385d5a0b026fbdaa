#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <vector>

#include "common/async_signal.h"
#include "common/boot_clock.h"
#include "http/http_types.h"
#include "shared_link.h"

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
  /// The target's process has ended: connections that stand are reset and no new one comes up,
  /// whatever the mode. Or it is back.
  void SetTargetGone(bool gone);
  /// Whether new connections are refused while those that stand live on.
  void SetRefusesNew(bool refuses);
  /// Whether connection requests stay unanswered and the connections that stand carry nothing, as
  /// behind a cut that drops packets. Standing connections never recover.
  void SetUnreachable(bool unreachable);
  /// Resets the connections that stand; new ones pass.
  void ResetAll();
  /// The connections that stand stay open and carry nothing any more; new ones pass.
  void SilenceStanding();
  /// From now on all connections together bring callers so many bytes a second; 0: any number.
  void SetBytesPerSecond(double bytes) { bytes_per_second_ = bytes; }
  /// The machine whose link carries both directions of all connections from now on.
  enum class Machine : std::uint8_t { kTarget, kCaller };
  void SetLink(std::shared_ptr<SharedLink> link, Machine machine);
  Endpoint endpoint() const;
  void set_target(Endpoint target) { target_ = std::move(target); }

 private:
  struct Pair;

  Awaitable<void> Accept();
  void Listen();
  void StopListening();
  Awaitable<void> Serve(std::shared_ptr<Pair> pair);
  Awaitable<void> Pump(std::shared_ptr<Pair> pair, bool to_target);
  /// Waits until the link to the callers has carried all before and these bytes.
  Awaitable<void> Carry(std::size_t bytes);

  boost::asio::io_context& context_;
  Endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint address_;
  bool listening_ = true;
  ProxyMode mode_ = ProxyMode::kPass;
  AsyncSignal mode_changed_;
  double bytes_per_second_ = 0;
  BootClock::time_point link_free_at_{};
  std::shared_ptr<SharedLink> link_;
  Machine machine_ = Machine::kTarget;
  std::set<std::shared_ptr<Pair>> pairs_;
  /// Fill the accept queue of an unreachable listener, so that the kernel drops further requests.
  std::vector<boost::asio::ip::tcp::socket> queue_fillers_;
};

}  // namespace moorfold
