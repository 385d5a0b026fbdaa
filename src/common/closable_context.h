#pragma once

#include <boost/asio/io_context.hpp>

namespace moorfold {

/// An io_context whose waiting handlers can be destroyed before the objects that they refer to,
/// while sockets and timers that belong to it may still be destroyed after.
class ClosableContext : public boost::asio::io_context {
 public:
  using boost::asio::io_context::io_context;
  /// Once, when no thread runs the context any more.
  void DestroyHandlers() { shutdown(); }
};

}  // namespace moorfold
