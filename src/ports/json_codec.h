#pragma once

#include <boost/json.hpp>
#include <stdexcept>
#include <string>

#include "ports/described_types.h"

// Times travel as microseconds. The overloads stand in the tags' namespace, where they are found.
namespace boost::json {
inline void tag_invoke(value_from_tag, value& json, const std::chrono::microseconds& duration) {
  json = duration.count();
}
inline std::chrono::microseconds tag_invoke(value_to_tag<std::chrono::microseconds>,
                                            const value& json) {
  return std::chrono::microseconds(json.to_number<std::int64_t>());
}
}  // namespace boost::json

namespace moorfold {

/// Outside bytes that are not what they should be.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A ledger's permits travel as a list: their key is a field of theirs.
void tag_invoke(boost::json::value_from_tag, boost::json::value& json, const Ledger& ledger);
Ledger tag_invoke(boost::json::value_to_tag<Ledger>, const boost::json::value& json);

/// @throws DecodeError when `text` is not JSON.
boost::json::value ParseJson(std::string_view text);

template <typename T>
std::string ToJson(const T& value) {
  return boost::json::serialize(boost::json::value_from(value));
}

/// @throws DecodeError when `text` is not the JSON of a T.
template <typename T>
T FromJson(std::string_view text) {
  const boost::json::value json = ParseJson(text);
  try {
    return boost::json::value_to<T>(json);
  } catch (const std::exception& error) {
    throw DecodeError(std::string("not the expected document: ") + error.what());
  }
}

}  // namespace moorfold
