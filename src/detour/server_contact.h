#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

#include "common/boot_clock.h"

namespace moorfold::detour {

enum class ContactState : std::uint8_t {
  kReachable,
  kDoubtful,  ///< Several servers failed in a row; the fault may be on this daemon's side.
  kIsolated   ///< No server can be reached from this daemon.
};

/// @return the name used in logs.
const char* Name(ContactState state);

/// Decides whether a daemon has lost contact with all servers, from the outcomes of its own
/// attempts. One server that fails says something about that server; different servers that fail in
/// a row, without any response in between, say something about the daemon's own network. Pure;
/// single-threaded.
class ServerContact {
 public:
  using Time = BootClock::time_point;

  /// Records a response of a server, or a connection that it accepted.
  void RecordResponse() { failed_.clear(); }
  /// Records a connection that failed or was lost, or an attempt without a response.
  void RecordFailure(const std::string& server_id, Time now);

  /// @param known_servers number of servers that the daemon knows.
  ContactState State(std::size_t known_servers, Time now) const;
  /// @return number of different servers that failed since the last response.
  std::size_t FailingServers(Time now) const;

 private:
  /// Failed servers since the last response of any server, with the time of their last failure.
  std::map<std::string, Time> failed_;
};

}  // namespace moorfold::detour
