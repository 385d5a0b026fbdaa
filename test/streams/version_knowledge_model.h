#pragma once

// Whole fleets in virtual time that begin, lose and take up streams while the servers' software
// changes: what does each way of knowing a stream's version cost, and does it ever join two?

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace moorfold::streams::model {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Time = std::chrono::microseconds;
using Version = int;
using StreamId = std::uint64_t;

constexpr seconds kStreamLifetime{60};  ///< From the first event to the last take-up.
constexpr milliseconds kClientPatience{2'000};
constexpr seconds kEntryLifetime{120};
constexpr std::size_t kMaxEntriesInTransaction = 32;

// Decisions of the way "implied version". Pure: all that they know is in their arguments.

struct VersionRecord {
  std::optional<Version> implied;  ///< Version of the streams that have no entry.
  bool closing = false;            ///< Every stream gets an entry.
  int era = 0;                     ///< Of the store that holds the record.
  std::int64_t revision = 0;
};

struct CachedRecord {
  VersionRecord record;
  Time read_at{};  ///< When the read was sent.
};

/// Rules that are easily left out. Each is shown to be needed by a play without it.
struct LeftOut {
  bool fresh_read_while_closing = false;
  bool acknowledged_after_unanswered = false;  ///< And with it: an entry never replaces another.
  bool unknown_after_restore = false;
  bool wait_before_change = false;
};

/// @param entry_sent  an entry of this attempt, maybe of another version, may still be carried out
/// @return whether the first event has to wait for an acknowledged entry.
inline bool NeedsEntry(const std::optional<CachedRecord>& cached, Version version, int known_era,
                       bool entry_sent, Time max_age, Time now, const LeftOut& left_out) {
  if (entry_sent && !left_out.acknowledged_after_unanswered) return true;
  if (!cached || now - cached->read_at > max_age) return true;
  const VersionRecord& record = cached->record;
  return record.closing || record.era != known_era || record.implied != version;
}

/// @return whether a take-up may use this record of the cache for a stream without an entry.
inline bool CachedRecordSuffices(const std::optional<CachedRecord>& cached, Time max_age, Time now,
                                 const LeftOut& left_out) {
  if (!cached || now - cached->read_at > max_age) return false;
  // The implied version may have changed since: only a record that was open is still right.
  return !cached->record.closing || left_out.fresh_read_while_closing;
}

/// @param entry   version in the stream's entry; nullopt if it has none
/// @param record  nullopt if there is none; read after the take-up came, or of a sufficient cache
/// @return the version that began the stream; nullopt if it is unknown.
inline std::optional<Version> VersionOfStream(std::optional<Version> entry, int entry_era,
                                              const std::optional<VersionRecord>& record) {
  if (entry) return entry;
  if (!record || record->era != entry_era) return std::nullopt;
  return record->implied;
}

/// What a leader remembers of the record, from its own first sight of this revision and era on.
struct LeaderMemory {
  std::int64_t revision = -1;
  int era = -1;
  Time first_seen{};
};

/// @param servers  number of ready servers by version
/// @return the record to write if its revision is still the same; nullopt: none.
inline std::optional<VersionRecord> NextRecord(const std::optional<VersionRecord>& record, int era,
                                               LeaderMemory& memory,
                                               const std::vector<int>& servers, Time max_age,
                                               Time now, const LeftOut& left_out) {
  const auto most =
      static_cast<Version>(std::max_element(servers.begin(), servers.end()) - servers.begin());
  if (!record || record->era != era) {
    if (left_out.unknown_after_restore) return VersionRecord{most, false, era, 0};
    return VersionRecord{std::nullopt, true, era, 0};
  }
  if (memory.revision != record->revision || memory.era != record->era)
    memory = {record->revision, record->era, now};
  const bool implied_has_most =
      record->implied && servers[static_cast<std::size_t>(*record->implied)] >=
                             servers[static_cast<std::size_t>(most)];
  if (!record->closing) {
    if (implied_has_most) return std::nullopt;
    return VersionRecord{record->implied, true, era, 0};
  }
  if (implied_has_most) return VersionRecord{record->implied, false, era, 0};
  const Time wait =
      left_out.wait_before_change ? Time{seconds(1)} : kStreamLifetime + max_age + kClientPatience;
  if (now - memory.first_seen <= wait) return std::nullopt;
  return VersionRecord{most, false, era, 0};
}

enum class Way { kEntries, kImplied, kHash, kDigest, kNamedDaemons };
enum class Edge { kFirstNew, kLastOld, kRecordCloses, kImpliedChanges };
enum class Fault { kNone, kKillAll, kFreezeOne, kStoreAway, kStoreRestored };

/// From that moment on, this part of the servers is replaced one by one.
struct Release {
  Time begin{};
  Version version = 1;
  double share = 1;
  Time lasts = seconds(10);
};

struct Play {
  Way way = Way::kImplied;
  int daemons = 7;
  double load = 1;             ///< 1: 0.46 resumable streams a second and daemon.
  Time max_age = seconds(10);  ///< Up to which a cached record is used.
  std::vector<Release> releases = std::vector<Release>(1, Release{seconds(30)});
  Fault fault = Fault::kNone;
  Edge edge = Edge::kFirstNew;
  Time longest_stream = seconds(15);  ///< Streams run for 1 s up to this.
  Time offset{};                      ///< From the edge to the fault.
  Time kills_every{};                 ///< 0: only at the edge.
  Time lasts{};  ///< 0: until a minute after the implied version can have changed.
  LeftOut left_out;
};

struct Outcome {
  std::int64_t arrived = 0, began = 0;
  std::int64_t take_ups = 0;  ///< Of streams of whose version two servers or more serve.
  std::int64_t went_on = 0;
  std::int64_t killed_take_ups = 0, killed_went_on = 0;  ///< Part of these: broken by a kill.
  std::int64_t joined = 0;
  std::int64_t unknown = 0;  ///< Tries refused since the version is not known.
  std::int64_t implied_changes = 0;
  double peak_writes = 0, peak_reads = 0, calm_writes = 0, calm_reads = 0;  ///< A second.
  double peak_bytes = 0;                   ///< Between daemons, a second.
  std::size_t entries = 0;                 ///< Most at a time.
  double added_median = 0, added_p99 = 0;  ///< ms, of the first events after the first release.

  double BeganShare() const { return Part(began, arrived); }
  double WentOnShare() const { return Part(went_on, take_ups); }
  double WentOnAfterKill() const { return Part(killed_went_on, killed_take_ups); }
  void Add(const Outcome& other);

 private:
  static double Part(std::int64_t part, std::int64_t whole) {
    return whole == 0 ? 1 : static_cast<double>(part) / static_cast<double>(whole);
  }
};

Outcome Run(const Play& play, std::uint64_t seed);

}  // namespace moorfold::streams::model
