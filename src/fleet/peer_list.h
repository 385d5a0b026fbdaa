#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "common/boot_clock.h"

namespace moorfold {

/// Addresses of other daemons that this one has lately heard of: from a leader's answers, or since
/// they sent something. Bounded; one thread.
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
  /// @return those heard of within the last minutes.
  std::vector<std::string> Addresses(Time now) const {
    std::vector<std::string> addresses;
    for (const auto& [address, heard_at] : peers_)
      if (now - heard_at < kPeerLifetime) addresses.push_back(address);
    return addresses;
  }

 private:
  /// Several times as many as one message goes to, so that each goes to others.
  static constexpr std::size_t kMaxPeers = 64;
  static constexpr std::chrono::minutes kPeerLifetime{5};

  std::map<std::string, Time> peers_;
};

}  // namespace moorfold
