#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <type_traits>

namespace moorfold {

/// Layouts of bodies of messages that have landed without a format of their own.
enum class BodyLayout : std::uint8_t {
  kWithIncarnations,    ///< Servers and notices state a server's incarnation.
  kWithoutIncarnations  ///< They do not, in the oldest builds that are read (test/fleet/golden).
};

/// Reads what cereal's PortableBinaryOutputArchive has written on a machine of the same byte order.
/// No count is believed that is larger than the bytes that are left, since each element takes one
/// at the least: with cereal's own archive a record of 100 bytes that states a length of a billion
/// takes gigabytes before it fails (fuzzing of the decoders).
/// @throws std::runtime_error from each operation that the bytes do not allow.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(const std::string& bytes,
                               BodyLayout layout = BodyLayout::kWithIncarnations)
      : cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision>(this),
        layout_(layout),
        next_(bytes.data()),
        end_(bytes.data() + bytes.size()) {
    std::uint8_t little_endian = 0;
    Load(&little_endian, sizeof(little_endian));
    if (little_endian != 1) throw std::runtime_error("the byte order is another one");
  }

  void Load(void* to, std::size_t size) {
    if (size > Left()) throw std::runtime_error("it ends too early");
    if (size == 0) return;
    std::memcpy(to, next_, size);
    next_ += size;
  }
  BodyLayout layout() const { return layout_; }
  std::size_t Left() const { return static_cast<std::size_t>(end_ - next_); }

 private:
  BodyLayout layout_;
  const char* next_;
  const char* end_;
};

/// @return whether what goes through the archive states incarnations of servers.
template <typename Archive>
constexpr bool StatesIncarnations(const Archive&) {
  return true;
}
inline bool StatesIncarnations(const BoundedInputArchive& archive) {
  return archive.layout() == BodyLayout::kWithIncarnations;
}

// The names by which cereal finds how its archives read.
// NOLINTBEGIN(readability-identifier-naming)
template <typename Number>
  requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, Number& number) {
  archive.Load(&number, sizeof(number));
}
/// A bool that holds another byte than 0 or 1 has undefined behaviour.
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, bool& flag) {
  std::uint8_t byte = 0;
  archive.Load(&byte, sizeof(byte));
  if (byte > 1) throw std::runtime_error("a flag is neither 0 nor 1");
  flag = byte == 1;
}

template <typename Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive,
                                    cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  if (tag.size > archive.Left()) throw std::runtime_error("a count is larger than what follows");
}

template <typename Bytes>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<Bytes>& data) {
  archive.Load(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

}  // namespace moorfold

/// Functions that load and save a minimal form look for the other direction's archive.
template <>
struct cereal::traits::detail::get_output_from_input<moorfold::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};
