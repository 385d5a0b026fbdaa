#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "gateway/contact_monitor.h"
#include "gateway/fleet_view.h"
#include "http/http_types.h"

namespace moorfold {

/// While a daemon doubts its contact with the servers, connects to some of them at short intervals:
/// to tell its own isolation from failures of single servers, and to notice when isolation ends.
/// Sends nothing otherwise. Not thread-safe.
class ContactProber {
 public:
  ContactProber(boost::asio::io_context& context, const FleetView& view, ContactMonitor& monitor)
      : context_(context), view_(view), monitor_(monitor) {}

  /// Starts to probe; probing ends when a server responds.
  void Start();

 private:
  Awaitable<void> Run();
  Awaitable<void> Probe(std::string server_id, Endpoint endpoint);
  void ProbeNext(std::size_t count);

  boost::asio::io_context& context_;
  const FleetView& view_;
  ContactMonitor& monitor_;
  std::string last_probed_;  ///< Servers are probed in the order of their IDs.
  bool running_ = false;
};

}  // namespace moorfold
