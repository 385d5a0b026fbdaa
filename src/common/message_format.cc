#include "common/message_format.h"

#include <cstddef>
#include <stdexcept>

namespace moorfold {

namespace {

constexpr std::uint32_t kMark = 0x6d66'7631;
constexpr std::size_t kTagBytes = 2;
constexpr std::size_t kLengthBytes = 2;
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kTrailerBytes = 2 + 4 + 4;
constexpr unsigned kBitsOfByte = 8;

void WriteNumber(std::string& bytes, std::uint64_t number, std::size_t size) {
  for (std::size_t byte = 0; byte < size; ++byte)
    bytes.push_back(static_cast<char>(number >> (byte * kBitsOfByte)));
}

std::uint64_t ReadNumber(const std::string& bytes, std::size_t at, std::size_t size) {
  if (at + size > bytes.size()) throw std::runtime_error("an added field ends too early");
  std::uint64_t number = 0;
  for (std::size_t byte = 0; byte < size; ++byte)
    number |= std::uint64_t{static_cast<unsigned char>(bytes[at + byte])} << (byte * kBitsOfByte);
  return number;
}

struct Trailer {
  std::uint16_t format = 0;
  std::size_t added_bytes = 0;
};

/// @return the trailer, if these bytes have one.
std::optional<Trailer> FindTrailer(const std::string& bytes) {
  if (bytes.size() < kTrailerBytes) return std::nullopt;
  const std::size_t at = bytes.size() - kTrailerBytes;
  if (ReadNumber(bytes, at + 6, 4) != kMark) return std::nullopt;
  const Trailer trailer{static_cast<std::uint16_t>(ReadNumber(bytes, at, 2)),
                        static_cast<std::size_t>(ReadNumber(bytes, at + 2, 4))};
  if (trailer.added_bytes > at) return std::nullopt;
  return trailer;
}

}  // namespace

std::optional<std::int64_t> AddedFields::Find(std::uint16_t tag) const {
  const auto found = values_.find(tag);
  return found == values_.end() ? std::nullopt : std::optional(found->second);
}

std::string AddedFields::Write() const {
  std::string bytes;
  for (const auto& [tag, value] : values_) {
    WriteNumber(bytes, tag, kTagBytes);
    WriteNumber(bytes, kNumberBytes, kLengthBytes);
    WriteNumber(bytes, static_cast<std::uint64_t>(value), kNumberBytes);
  }
  return bytes;
}

AddedFields AddedFields::Read(const std::string& bytes) {
  AddedFields fields;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto tag = static_cast<std::uint16_t>(ReadNumber(bytes, at, kTagBytes));
    const auto length = static_cast<std::size_t>(ReadNumber(bytes, at + kTagBytes, kLengthBytes));
    at += kTagBytes + kLengthBytes;
    if (length > bytes.size() - at) throw std::runtime_error("an added field ends too early");
    // A field of another length is of a kind that only later builds know.
    if (length == kNumberBytes)
      fields.Put(tag, static_cast<std::int64_t>(ReadNumber(bytes, at, kNumberBytes)));
    at += length;
  }
  return fields;
}

std::string WriteFormatted(const std::string& body, const AddedFields& added) {
  const std::string fields = added.Write();
  std::string bytes = body + fields;
  WriteNumber(bytes, kMessageFormat, 2);
  WriteNumber(bytes, fields.size(), 4);
  WriteNumber(bytes, kMark, 4);
  return bytes;
}

FormattedMessage ReadFormatted(const std::string& bytes) {
  const std::optional<Trailer> trailer = FindTrailer(bytes);
  if (!trailer) return {bytes, 0, {}};
  const std::size_t body = bytes.size() - kTrailerBytes - trailer->added_bytes;
  return {bytes.substr(0, body), trailer->format,
          AddedFields::Read(bytes.substr(body, trailer->added_bytes))};
}

std::uint16_t FormatOf(const std::string& bytes) {
  const std::optional<Trailer> trailer = FindTrailer(bytes);
  return trailer ? trailer->format : std::uint16_t{0};
}

}  // namespace moorfold
