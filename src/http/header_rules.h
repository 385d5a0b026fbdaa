#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http/http_types.h"

namespace moorfold {

/// @return whether two names of headers are the same (they ignore case).
bool EqualHeaderNames(std::string_view left, std::string_view right);

/// Headers that concern one connection only (RFC 9110, 7.6.1), among them those that a message's
/// own Connection header names, and those that frame its body.
class HopByHopHeaders {
 public:
  explicit HopByHopHeaders(const HttpHeaders& headers);
  bool Contains(std::string_view name) const;

 private:
  std::vector<std::string> named_;
};

/// @return the headers that go on to the next connection.
HttpHeaders EndToEndHeaders(const HttpHeaders& headers);

}  // namespace moorfold
