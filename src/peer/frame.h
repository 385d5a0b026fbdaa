#pragma once

#include <bitset>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/types.h"

namespace moorfold {

/// Why a frame was dropped.
enum class FrameRejection : std::uint8_t { kNone, kMalformed, kForeign, kReplayed, kTooOld };

struct OpenedFrame {
  FrameRejection rejection = FrameRejection::kNone;
  DaemonName from;
  std::string payload;
};

/// Wraps payloads so that only daemons with the shared key can speak, and nothing counts twice.
/// Layout (big-endian): version (1 byte), tag (16, HMAC-SHA256 cut), sender's incarnation (8),
/// sequence (8), time in microseconds (8), length of the sender's name (1), name, payload. The
/// tag covers everything after it and the version. Daemons' clocks must agree within
/// kMaxFrameAge.
class FrameCodec {
 public:
  FrameCodec(std::string key, DaemonName self, Incarnation incarnation);

  std::string Seal(std::string_view payload, Timestamp now);
  OpenedFrame Open(std::string_view frame, Timestamp now);

  static constexpr std::uint8_t kVersion = 1;
  static constexpr Duration kMaxFrameAge = std::chrono::minutes(2);

 private:
  static constexpr std::size_t kWindow = 1024;
  /// The sequence numbers seen of one sender, newest at bit 0.
  struct SenderWindow {
    Incarnation incarnation = 0;
    std::uint64_t highest = 0;
    std::bitset<kWindow> seen;
  };
  bool AcceptSequence(const DaemonName& from, Incarnation incarnation, std::uint64_t sequence);
  std::string Tag(std::string_view content) const;

  std::string key_;
  DaemonName self_;
  Incarnation incarnation_;
  std::uint64_t next_sequence_ = 1;
  std::map<DaemonName, SenderWindow> senders_;
};

}  // namespace moorfold
