#include "peer/message_codec.h"

#include <boost/mp11/algorithm.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <streambuf>

#include "ports/described_types.h"
#include "ports/json_codec.h"

namespace moorfold {

/// Serializes any described struct field by field; cereal finds it through the namespace.
template <class Archive, class T>
  requires(boost::describe::has_describe_members<T>::value && !std::is_enum_v<T>)
void serialize(Archive& archive, T& value) {
  using Members = boost::describe::describe_members<T, boost::describe::mod_public>;
  boost::mp11::mp_for_each<Members>([&](auto member) { archive(value.*member.pointer); });
}

namespace {

/// Reads from memory that it does not own.
class MemoryBuffer : public std::streambuf {
 public:
  explicit MemoryBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());  // NOLINT: streambuf only reads it.
    setg(begin, begin, begin + bytes.size());
  }
};

}  // namespace

std::string EncodePayload(const PeerPayload& payload) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(payload);
  }
  return std::move(stream).str();
}

PeerPayload DecodePayload(std::string_view bytes) {
  MemoryBuffer buffer(bytes);
  std::istream stream(&buffer);
  PeerPayload payload;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(payload);
  } catch (const std::exception& error) {
    throw DecodeError(std::string("not a peer payload: ") + error.what());
  }
  if (stream.peek() != std::istream::traits_type::eof())
    throw DecodeError("bytes after a peer payload");
  return payload;
}

}  // namespace moorfold
