#include "peer/frame.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <boost/endian/conversion.hpp>

namespace moorfold {
namespace {

constexpr std::size_t kTagBytes = 16;
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kHeaderBytes = 1 + kTagBytes + 3 * kNumberBytes + 1;
constexpr std::size_t kMaxNameBytes = 255;

void AppendNumber(std::string& out, std::uint64_t number) {
  std::array<unsigned char, kNumberBytes> bytes{};
  boost::endian::store_big_u64(bytes.data(), number);
  out.append(reinterpret_cast<const char*>(bytes.data()), bytes.size());
}

std::uint64_t ReadNumber(std::string_view bytes, std::size_t offset) {
  return boost::endian::load_big_u64(reinterpret_cast<const unsigned char*>(bytes.data()) + offset);
}

}  // namespace

FrameCodec::FrameCodec(std::string key, DaemonName self, Incarnation incarnation)
    : key_(std::move(key)), self_(std::move(self)), incarnation_(incarnation) {
  if (self_.size() > kMaxNameBytes) self_.resize(kMaxNameBytes);
}

std::string FrameCodec::Tag(std::string_view content) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned length = 0;
  HMAC(EVP_sha256(), key_.data(), static_cast<int>(key_.size()),
       reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest.data(),
       &length);
  return {reinterpret_cast<const char*>(digest.data()), kTagBytes};
}

std::string FrameCodec::Seal(std::string_view payload, Timestamp now) {
  std::string content(1, static_cast<char>(kVersion));
  AppendNumber(content, incarnation_);
  AppendNumber(content, next_sequence_++);
  AppendNumber(content, static_cast<std::uint64_t>(now.time_since_epoch().count()));
  content.push_back(static_cast<char>(self_.size()));
  content += self_;
  content += payload;
  std::string frame = content.substr(0, 1) + Tag(content);
  frame.append(content, 1, std::string::npos);
  return frame;
}

bool FrameCodec::AcceptSequence(const DaemonName& from, Incarnation incarnation,
                                std::uint64_t sequence) {
  SenderWindow& window = senders_[from];
  if (incarnation < window.incarnation) return false;
  if (incarnation > window.incarnation) window = {incarnation, 0, {}};
  if (sequence > window.highest) {
    const std::uint64_t step = sequence - window.highest;
    window.seen = step >= kWindow ? std::bitset<kWindow>() : window.seen << step;
    window.seen.set(0);
    window.highest = sequence;
    return true;
  }
  const std::uint64_t age = window.highest - sequence;
  if (age >= kWindow || window.seen.test(age)) return false;
  window.seen.set(age);
  return true;
}

OpenedFrame FrameCodec::Open(std::string_view frame, Timestamp now) {
  OpenedFrame opened;
  if (frame.size() < kHeaderBytes || static_cast<std::uint8_t>(frame[0]) != kVersion) {
    opened.rejection = FrameRejection::kMalformed;
    return opened;
  }
  std::string content(frame.substr(0, 1));
  content += frame.substr(1 + kTagBytes);
  const std::string expected = Tag(content);
  if (CRYPTO_memcmp(expected.data(), frame.data() + 1, kTagBytes) != 0) {
    opened.rejection = FrameRejection::kForeign;
    return opened;
  }
  constexpr std::size_t kNameLengthAt = 1 + 3 * kNumberBytes;
  const auto name_length = static_cast<std::uint8_t>(content[kNameLengthAt]);
  if (content.size() < kNameLengthAt + 1 + name_length) {
    opened.rejection = FrameRejection::kMalformed;
    return opened;
  }
  opened.from = content.substr(kNameLengthAt + 1, name_length);
  opened.payload = content.substr(kNameLengthAt + 1 + name_length);
  const Timestamp sent{Duration(static_cast<std::int64_t>(ReadNumber(content, 1 + 16)))};
  const Duration age = now > sent ? now - sent : sent - now;
  if (age > kMaxFrameAge)
    opened.rejection = FrameRejection::kTooOld;
  else if (!AcceptSequence(opened.from, ReadNumber(content, 1), ReadNumber(content, 9)))
    opened.rejection = FrameRejection::kReplayed;
  return opened;
}

}  // namespace moorfold
