#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace moorfold {

/// How messages between daemons and records in the store state which format they are of, so that
/// daemons of two builds understand each other.
///
///     body | added fields | format (2 bytes) | length of the added fields (4) | mark (4)
///
/// The body never changes. Builds that state no format (format 0) write nothing but the body, and
/// pass over what follows it. Whatever is new stands in the added fields, each with a tag: a reader
/// passes over tags that it does not know, and a field that is missing has the default that its
/// message states. Numbers are little-endian.
inline constexpr std::uint16_t kMessageFormat = 1;

/// Fields of a message that its body does not hold, by tag. A tag is never used again for another
/// meaning. What each means stands with the message.
class AddedFields {
 public:
  void Put(std::uint16_t tag, std::int64_t value) { values_[tag] = value; }
  std::optional<std::int64_t> Find(std::uint16_t tag) const;

  std::string Write() const;
  /// @throws std::runtime_error where the bytes end inside a field.
  static AddedFields Read(const std::string& bytes);

 private:
  std::map<std::uint16_t, std::int64_t> values_;
};

struct FormattedMessage {
  std::string body;
  std::uint16_t format = 0;
  AddedFields added;
};

/// @return the bytes of a message of this build's format.
std::string WriteFormatted(const std::string& body, const AddedFields& added);
/// Takes apart what any build has written. Bytes without the mark are a body of format 0.
/// @throws std::runtime_error where the added fields cannot be read.
FormattedMessage ReadFormatted(const std::string& bytes);
/// @return the format that `bytes` state; 0 where they state none.
std::uint16_t FormatOf(const std::string& bytes);

}  // namespace moorfold
