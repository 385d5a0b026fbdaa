#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// Addresses of other daemons that this one has recently learned of, from a leader's answers or
/// from messages that they sent. Bounded; single-threaded.
class PeerList {
 public:
  using Time = BootClock::time_point;

  void Note(const std::string& address, Time now) {
    peers_[address] = now;
    if (peers_.size() <= kMaxPeers) return;
    auto oldest = peers_.begin();
    for (auto peer = peers_.begin(); peer != peers_.end(); ++peer)
      if (peer->second < oldest->second) oldest = peer;
    peers_.erase(oldest);
  }
  /// @return the addresses heard of within kPeerLifetime.
  std::vector<std::string> Addresses(Time now) const {
    std::vector<std::string> addresses;
    for (const auto& [address, heard_at] : peers_)
      if (now - heard_at < kPeerLifetime) addresses.push_back(address);
    return addresses;
  }

 private:
  /// Several times the number of recipients of one message, so that each message can go to
  /// different peers.
  static constexpr std::size_t kMaxPeers = 64;
  static constexpr std::chrono::minutes kPeerLifetime{5};

  std::map<std::string, Time> peers_;
};

}  // namespace moorfold
