#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace moorfold {

struct HttpServerLimits {
  std::uint32_t header_bytes = 32 * 1024;
  std::uint64_t body_bytes = 8ULL * 1024 * 1024;
  std::chrono::milliseconds header_timeout{15'000};   ///< From the first byte to the header's end.
  std::chrono::milliseconds request_timeout{15'000};  ///< From the header's end to the last byte.
  std::chrono::milliseconds idle_timeout{120'000};
  std::chrono::milliseconds write_timeout{30'000};  ///< A caller that stops reading is cut off.
  /// Beyond it a new connection takes the place of an inactive one, or is closed.
  std::size_t connections = 10'000;
  /// Bytes that the kernel is asked to hold in each direction of a connection; 0: as it likes. Set
  /// when the server is made.
  std::size_t socket_buffer_bytes = 0;
};

}  // namespace moorfold
