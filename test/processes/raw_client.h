#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "http/http_types.h"

namespace moorfold {

/// A client's connection that sends any bytes, blocking or not. Closes at its end.
class RawClient {
 public:
  /// Connects; open() tells whether that worked.
  explicit RawClient(const Endpoint& to);
  ~RawClient() { Close(); }
  RawClient(RawClient&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}
  RawClient& operator=(RawClient&&) = delete;

  bool open() const { return descriptor_ >= 0; }
  void Close();
  /// Sends what the kernel takes at once.
  /// @return bytes sent; closes on an error.
  std::size_t SendSome(std::string_view bytes);
  /// Sends all, as long as the peer takes it. @return whether it did.
  bool SendAll(std::string_view bytes, std::chrono::milliseconds patience);
  /// @return bytes sent that the peer's kernel has not acknowledged.
  std::size_t Unacknowledged() const;
  /// Drops what has arrived; closes if the peer has closed or reset.
  void Discard();
  /// Waits for a response, with its body.
  /// @return its bytes; empty if the connection ends first.
  std::string ReadResponse(std::chrono::milliseconds patience);
  /// @return bytes until the peer closes, or until the patience ends.
  std::string ReadToEnd(std::chrono::milliseconds patience);

  /// @return the status of the answer; 0: none.
  static int StatusOfGet(const Endpoint& to, const std::string& target);
  /// @return the status in a response's first line; 0: none.
  static int StatusOf(std::string_view response);

 private:
  /// @return whether bytes came; false also when the peer closed.
  bool ReceiveSome(std::string& bytes, std::chrono::milliseconds patience);

  int descriptor_ = -1;
};

}  // namespace moorfold
