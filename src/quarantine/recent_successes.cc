#include "quarantine/recent_successes.h"

#include <xxhash.h>

#include <cstdint>

namespace moorfold::quarantine {

namespace {

constexpr std::size_t kMaxRecentSuccesses = 2'048;

}  // namespace

Fingerprint RecentSuccesses::KeyOf(const Fingerprint& fingerprint, std::string_view version) {
  Fingerprint key = fingerprint;
  const std::uint64_t hash = XXH64(version.data(), version.size(), 0);
  constexpr std::size_t kBitsPerByte = 8;
  for (std::size_t byte = 0; byte < sizeof hash; ++byte)
    key.bytes.at(byte) ^= static_cast<std::uint8_t>(hash >> (kBitsPerByte * byte));
  return key;
}

bool RecentSuccesses::Contains(const Fingerprint& fingerprint, std::string_view version,
                               Time now) const {
  const auto success = at_.find(KeyOf(fingerprint, version));
  return success != at_.end() && now - success->second < window_;
}

void RecentSuccesses::Record(const Fingerprint& fingerprint, std::string_view version, Time now) {
  const Fingerprint key = KeyOf(fingerprint, version);
  const bool existing = !at_.insert_or_assign(key, now).second;
  if (existing) return;
  order_.push_back(key);
  if (order_.size() <= kMaxRecentSuccesses) return;
  at_.erase(order_.front());
  order_.pop_front();
}

}  // namespace moorfold::quarantine
