#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/async_signal.h"
#include "ports/key_value_store.h"
#include "streams/stream_lifetimes.h"
#include "streams/stream_origin_counters.h"
#include "streams/stream_records.h"

namespace moorfold::streams {

inline constexpr const char* kImpliedVersionKey = "moorfold/stream-versions";
/// Sorts after the prefix of servers, so that a listing of the store has servers on its first page.
inline constexpr const char* kOriginPrefix = "streams/";

/// The service of a stream's route.
struct StreamService {
  std::string name;
  bool only = true;  ///< The route has no other service.
};

enum class OriginState : std::uint8_t { kKnown, kUnknown, kStoreUnavailable };

struct OriginAnswer {
  OriginState state = OriginState::kUnknown;
  StreamOrigin origin;  ///< If known.
};

/// Remembers at which software version each resumable stream began, so that every daemon can find
/// it out, also after all daemons were killed at once or while it is behind the others.
///
/// A stream that begins at its service's implied version (ImpliedVersionRecord) needs no entry, any
/// other one has an entry in the store before its first event is passed on. Both are facts that do
/// not change, so a look-up may be used however long the daemon stands still after it. Not
/// thread-safe.
class StreamOrigins {
 public:
  StreamOrigins(boost::asio::io_context& context, KeyValueStore& store,
                StreamOriginCounters& counters, StreamLifetimes lifetimes);

  /// Makes sure that daemons can find out where a stream began. Its first event may be passed on at
  /// once after this returns true, not later.
  /// @param may_omit whether a stream at the implied version needs no entry: its route has one
  /// service only, and no other daemon may have written an entry for it.
  /// @param until when to give up.
  /// @return whether they can; false if the store does not acknowledge an entry, or another stream
  /// with this ID began at another version.
  Awaitable<bool> Record(std::string stream, StreamOrigin origin, bool may_omit,
                         BootClock::time_point until);

  /// Finds out where a stream began that a client resumes.
  /// @param service of the route by which the client resumes it.
  Awaitable<OriginAnswer> Find(std::string stream, StreamService service,
                               BootClock::time_point until);
  /// Like Find for a client that does not name the stream: known only if every stream of the
  /// service began at the same version.
  Awaitable<OriginAnswer> FindUnnamed(StreamService service, BootClock::time_point until);

  /// @return the version at which streams of the service can begin without a call of the store now;
  /// nothing if there is none.
  std::optional<std::string> VersionWithoutEntry(const std::string& service) const;

 private:
  using Time = BootClock::time_point;

  struct CachedRecord {
    ImpliedVersionRecord record;
    Time read_at;  ///< When the read was sent.
  };
  /// An entry that is to be written.
  struct PendingEntry {
    enum class State : std::uint8_t { kWaiting, kEntered, kConflict };
    StreamOrigin origin;
    State state = State::kWaiting;
    std::uint32_t waiters = 0;
    bool in_flight = false;
    bool alone = false;  ///< Written in a transaction of its own, to tell it from its neighbours.
  };

  Awaitable<std::optional<Outcome<RangeResult>>> Read(KeyRange range, bool first_page, Time until);
  /// @return whether a cached record may be used.
  bool Usable(const std::optional<CachedRecord>& cached) const;
  /// Reads the record. @return nothing if the store does not answer, or has no valid record.
  Awaitable<std::optional<ImpliedVersionRecord>> ReadRecord(Time until);
  Awaitable<bool> CanOmitEntry(StreamOrigin origin, Time until);
  /// @return the implied version for a stream without an entry.
  Awaitable<OriginAnswer> FindImplied(std::string service, std::int64_t era, Time until);
  /// @return kWaiting if the store has not acknowledged the entry in time.
  Awaitable<PendingEntry::State> Enter(std::string key, StreamOrigin origin, Time until);
  void RefreshRecord();
  OriginAnswer Count(OriginAnswer answer);
  void Remember(const std::string& key, const StreamOrigin& origin);
  /// Writes pending entries as long as transactions may be sent.
  void WriteEntries();
  /// @return the next entries for one transaction; none if all are in flight.
  std::vector<std::string> TakeBatch();
  void EndWrite(const std::vector<std::string>& keys, const Outcome<TransactionResult>& result);
  void ResolveConflict(const std::string& key);
  void Settle(const std::string& key, PendingEntry::State state);
  void Release(const std::vector<std::string>& keys);
  void WriteLater();

  boost::asio::io_context& context_;
  KeyValueStore& store_;
  StreamOriginCounters& counters_;
  StreamLifetimes lifetimes_;
  std::optional<CachedRecord> cached_;
  bool refreshing_ = false;
  /// Of streams that may have begun here, by key; another one of the same name is not let begin.
  std::map<std::string, StreamOrigin> own_;
  std::deque<std::string> own_order_;  ///< Keys of `own_`, oldest first.
  std::map<std::string, std::shared_ptr<PendingEntry>> pending_;
  std::deque<std::string> queue_;  ///< Keys of `pending_`, in the order of arrival.
  std::uint32_t writes_in_flight_ = 0;
  AsyncSignal settled_;
  BootTimer retry_timer_;
};

/// @param stream request ID of the attempt that brought the first event.
/// @return the key of a stream's entry: a digest, whatever bytes the ID has.
std::string OriginKey(const std::string& stream);

}  // namespace moorfold::streams
