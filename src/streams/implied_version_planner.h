#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "common/boot_clock.h"
#include "streams/stream_lifetimes.h"
#include "streams/stream_records.h"

namespace moorfold::streams {

/// Number of servers that take requests, by service and software version.
using ServersByVersion = std::map<std::string, std::map<std::string, std::uint32_t>>;

/// Decides on the leader which software version of each service is implied. A version stays implied
/// while it has servers. Once it has none and another one has, it is closing, until every stream
/// that began without an entry has ended; only then another version is implied. Not thread-safe.
class ImpliedVersionPlanner {
 public:
  /// @param stored the record in the store; nothing if there is none. One that could not be decoded
  /// is passed with another era than the store's.
  /// @param era of the store.
  /// @return the record that should be stored.
  ImpliedVersionRecord Plan(const std::optional<ImpliedVersionRecord>& stored, std::int64_t era,
                            const ServersByVersion& servers, const StreamLifetimes& lifetimes,
                            BootClock::time_point now);
  /// Forgets since when states have lasted. Called whenever another daemon may have written.
  void Reset() { observed_.clear(); }

 private:
  ImpliedVersion PlanService(const ImpliedVersion& current, bool fresh,
                             const std::map<std::string, std::uint32_t>& versions,
                             const StreamLifetimes& lifetimes, BootClock::time_point now);

  /// Since when this daemon knows the service's present state. A later leader begins anew, which
  /// only prolongs the wait.
  struct Observed {
    ImpliedVersion implied;
    BootClock::time_point since;
  };
  std::map<std::string, Observed> observed_;
  std::int64_t era_ = kEraUntold;
};

}  // namespace moorfold::streams
