#include "relay/configuration_reader.h"

#include <xxhash.h>

#include <algorithm>

namespace moorfold {

namespace {

/// Size of one part, chosen so that a message fits in one datagram of the channel.
constexpr std::size_t kMaxPartBytes = 7'000;
/// A part takes a few milliseconds in transit.
constexpr std::chrono::milliseconds kRetryInterval{150};

std::uint64_t DigestOf(const std::string& text, std::int64_t version) {
  return XXH64(text.data(), text.size(), static_cast<XXH64_hash_t>(version));
}

}  // namespace

std::optional<ConfigurationPart> PartOf(const std::string& text, StoreRevision revision,
                                        const ConfigurationPartRequest& request) {
  const std::size_t begin = request.part * kMaxPartBytes;
  if (begin >= text.size()) return std::nullopt;
  ConfigurationPart part;
  part.version = request.version;
  part.part = request.part;
  part.digest = DigestOf(text, request.version);
  part.revision = revision;
  part.bytes = text.substr(begin, kMaxPartBytes);
  part.more = begin + part.bytes.size() < text.size();
  return part;
}

void ConfigurationReader::Want(std::int64_t version) {
  if (version == version_) return;
  Stop();
  version_ = version;
}

std::optional<ConfigurationPartRequest> ConfigurationReader::Due(Time now) {
  if (!running()) return std::nullopt;
  if (asked_at_ != Time{} && now - asked_at_ < kRetryInterval) return std::nullopt;
  asked_at_ = now;
  return ConfigurationPartRequest{version_, next_part_};
}

std::optional<ConfigurationReader::Text> ConfigurationReader::Take(const ConfigurationPart& part) {
  if (!running() || part.version != version_ || part.part != next_part_) return std::nullopt;
  if (next_part_ == 0) digest_ = part.digest;
  asked_at_ = Time{};
  bytes_ += part.bytes;
  ++next_part_;
  const bool another = part.digest != digest_;
  const bool digest_mismatch = !part.more && DigestOf(bytes_, version_) != digest_;
  if (another || digest_mismatch) {
    const std::int64_t version = version_;
    Stop();
    Want(version);
    return std::nullopt;
  }
  if (part.more) return std::nullopt;
  Text text{std::move(bytes_), part.revision};
  Stop();
  return text;
}

}  // namespace moorfold
