#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "raw_client.h"

namespace moorfold {

/// @return the next bytes that a client sends; empty: it sends no more, and stays.
using ByteSource = std::function<std::string()>;

/// Clients that send side by side, as fast as the receiver takes it, and keep their connections.
class Crowd {
 public:
  enum class Reading { kDiscardsResponses, kNever };

  explicit Crowd(Reading reading = Reading::kDiscardsResponses) : reading_(reading) {}
  void Add(const Endpoint& to, ByteSource source);
  /// Lets all send, a piece each in turn, until all are closed or nothing has reached the receiver
  /// for a while.
  void Send();
  std::uint64_t bytes_sent() const { return bytes_sent_; }

 private:
  struct Member {
    RawClient client;
    ByteSource source;
    std::string pending = {};
    bool finished = false;
  };
  /// @return whether bytes of it were taken.
  bool SendPiece(Member& member);

  Reading reading_;
  std::vector<std::unique_ptr<Member>> members_;
  std::uint64_t bytes_sent_ = 0;
};

}  // namespace moorfold
