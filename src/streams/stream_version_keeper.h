#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "common/event_log.h"
#include "ports/key_value_store.h"
#include "streams/implied_version_planner.h"
#include "streams/stream_records.h"

namespace moorfold::streams {

/// Keeps the store's facts about streams on the leader: writes which version is implied (by
/// compare-and-swap, at most once a second) and removes entries of streams that have ended. Calls
/// the store only when versions change or entries exist. Not thread-safe.
class StreamVersionKeeper {
 public:
  struct Ports {
    std::function<bool()> leads;
    /// @return the servers that take requests, of services whose streams can be resumed.
    std::function<ServersByVersion()> servers;
    /// @return the longest time that a route allows for a request whose stream can be resumed.
    std::function<std::chrono::milliseconds()> longest_timeout;
  };

  /// @param store outlives this object and its calls.
  StreamVersionKeeper(KeyValueStore& store, EventLog& log, StreamLifetimes lifetimes, Ports ports);

  /// Called twice a second.
  void Tick();

 private:
  using Time = BootClock::time_point;

  void ProlongLifetimes();
  void Forget();
  void Read();
  void TakeRead(const Outcome<RangeResult>& result);
  void Write(const ImpliedVersionRecord& planned);
  void LogChanges(const ImpliedVersionRecord& planned);
  bool SweepDue(const ServersByVersion& servers, Time now) const;
  void Sweep();
  void RemoveEnded(const RangeResult& listing);
  void RemoveNext(std::vector<std::string> ended);
  void EndCall(const Outcome<TransactionResult>& result);
  void LogProblem(const std::string& problem);

  KeyValueStore& store_;
  EventLog& log_;
  StreamLifetimes lifetimes_;  ///< Prolonged for routes that allow more time.
  Ports ports_;
  ImpliedVersionPlanner planner_;
  bool known_ = false;  ///< `stored_` is what the store held at the last read or write.
  StoreRevision revision_{kEraUntold, 0};
  std::optional<ImpliedVersionRecord> stored_;
  bool call_in_flight_ = false;
  Time next_call_at_{};
  Time read_at_{};
  Time swept_at_{};
  bool entries_unknown_ = true;             ///< No sweep since this daemon leads.
  std::map<std::string, Time> first_seen_;  ///< Entries of streams, by key.
};

}  // namespace moorfold::streams
