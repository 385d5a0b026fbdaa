#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "common/boot_clock.h"
#include "overload/connect_delay.h"
#include "overload/virtual_queue.h"

namespace moorfold::overload {

/// What a daemon has too little of for more requests.
enum class Shortage : std::uint8_t { kNone, kLink, kProcessor, kConnections };

/// @return the name used in logs.
const char* Name(Shortage shortage);

/// What the machine gives one daemon. 0: unknown, then not checked.
struct Capacity {
  double link_mbps = 0;         ///< Megabits per second in each direction.
  std::size_t connections = 0;  ///< Of clients, open at a time.
};

/// @param descriptors that the process may have open; 0: unknown.
/// @param memory_mb that the process may use, in megabytes; 0: unknown.
/// @return how many client connections a daemon can hold; 0: unknown.
std::size_t ConnectionCapacity(std::size_t descriptors, std::size_t memory_mb);

/// Decides whether a daemon has room for more requests, from the bytes that it has taken on, the
/// time that connections need to come up, and how late its event loop runs. The speed of the link
/// is an estimate, lowered while connections are delayed, as in an adaptive virtual queue. Pure;
/// single-threaded.
class OverloadDetector {
 public:
  using Time = BootClock::time_point;

  explicit OverloadDetector(Capacity capacity);

  /// A connection was accepted. Its first request is on the way already, so an average one is
  /// counted now, and the difference when it is read.
  void ConnectionAccepted(Time now) { link_.Add(ExpectedBytes(1), now); }
  /// Connections were closed whose requests had probably arrived.
  void ConnectionsClosedUnread(std::size_t count, Time now);
  /// @param bytes of the request, head and body.
  /// @param first whether it is the first one on its connection.
  void RequestRead(std::size_t bytes, bool first, Time now);
  /// @param bytes of a response, or of one part of a stream.
  void ResponseWritten(std::size_t bytes, Time now);
  /// A connection to a server came up, or did not in time.
  /// @param delay beyond the least that a connection to that server has taken.
  void ConnectTimed(BootClock::duration delay, Time now);
  /// @param late by how much a timer of the event loop fired late.
  /// @param elapsed since the sample before.
  void LoopSampled(BootClock::duration late, BootClock::duration elapsed);
  void SetOpenConnections(std::size_t connections) { connections_ = connections; }

  /// Hysteresis: a shortage ends only well below where it begins.
  Shortage Update(Time now);
  Shortage shortage() const { return shortage_; }
  /// @return number of connections whose end would end a shortage of them.
  std::size_t SurplusConnections() const;
  /// @return estimated time that a byte waits for this daemon's link.
  BootClock::duration LinkDelay(Time now) const { return link_.Delay(now); }
  /// @return share of the recent time in which the event loop was late, from 0 to 1.
  double loop_late_share() const { return loop_late_share_; }

 private:
  double ExpectedBytes(std::size_t connections) const;
  void SetLinkSpeed(double bytes_per_second);
  void RecoverLinkSpeed(Time now);
  bool IsShort(Shortage resource, Time now) const;

  Capacity capacity_;
  /// A byte of a client's request or response crosses the link once in each direction, from and to
  /// the client and to and from the server, so one queue stands for both.
  VirtualQueue link_;
  ConnectDelay connect_delay_;
  Time updated_at_{};
  std::size_t connections_ = 0;
  double request_bytes_;  ///< Of one request, head and body; a moving average.
  double loop_late_share_ = 0;
  Shortage shortage_ = Shortage::kNone;
};

}  // namespace moorfold::overload
