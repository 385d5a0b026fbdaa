#pragma once

#include <boost/system/error_code.hpp>
#include <stdexcept>
#include <string>

#include "http/http_types.h"

namespace moorfold {

/// An address cannot be listened on. Thrown at start only.
class ListenError : public std::runtime_error {
 public:
  ListenError(const Endpoint& address, const boost::system::error_code& error)
      : std::runtime_error("cannot listen on " + ToString(address) + ": " + error.message() +
                           "; a process before this one may still be draining there: wait for "
                           "its end, or choose another address") {}
};

}  // namespace moorfold
