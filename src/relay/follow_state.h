#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include "common/boot_clock.h"
#include "ports/store_revision.h"

namespace moorfold {

/// Decides when a daemon reads the store itself, what the read requests, and which relayed changes
/// are safe to apply.
///
/// The leader watches the store; all other daemons follow it. A follower requests changes with its
/// demand report, and reads the store itself only if answers stop, have a gap, or announce a new
/// configuration. The freshness bound is the same as without a relay: a daemon reads the store at
/// most `max_age` after the last time at which its data was known to be complete, from any source.
///
/// That time relies neither on synchronized clocks nor on network delay. A follower dates an answer
/// by the send time of its request minus the age stated by the watcher; the watcher dates its own
/// data by the send time of its read. Delays, suspended processes and late datagrams can only make
/// data look older than it is.
///
/// A store that is restored from an older copy issues the same revision numbers again. Every
/// revision therefore carries an era, which takes part in comparisons: data of an earlier era says
/// nothing about a later one. A daemon that observes a later era than its own reads the store; an
/// answer of an earlier era has no effect.
///
/// Servers and the configuration have separate timestamps, since only servers are relayed: a
/// configuration read that is still pending does not delay server data.
///
/// The size of a read is bounded, however long a daemon was disconnected. Changes since a revision
/// grow with that time, since they include every version of the configuration in full; a listing
/// does not grow. A daemon therefore lists as soon as a listing is expected to be the smaller
/// answer, and after any read of changes that was not answered. After a listing that was not
/// answered, it reads the servers and then the configuration separately.
///
/// In a fleet with relays (see relay/relay_plan.h) all other daemons take server data from a relay,
/// including the initial listing: a listing grows with the number of servers, and all listings
/// together with daemons times servers. Such a daemon reads servers from the store only if no relay
/// has answered for a long time (`relay_timeout`, or `listing_delay` without server data). It still
/// reads the configuration from the store; neither known nor missing server data delays that read.
///
/// Pure function of state, event and time; test/relay has a randomized model test.
namespace follow {

using Time = BootClock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Settings {
  /// Maximum age of a daemon's data before it reads the store.
  Milliseconds max_age{1'100};
  /// Maximum age for a watcher, whose reads determine the freshness of its followers.
  Milliseconds max_watcher_age{300};
  /// Minimum time between two urgent reads.
  Milliseconds min_urgent_interval{500};
  /// Maximum delay before a failed read is retried.
  Milliseconds max_retry_delay{500};
  /// A watcher gets two requests a second: after two unanswered ones it counts as unreachable.
  Milliseconds watcher_timeout{1'200};
  /// A daemon that uses relays reads servers from the store if no relay has answered for this
  /// long.
  Milliseconds relay_timeout{3'500};
  /// A daemon without server data, which may be part of a large fleet that starts at once, lists
  /// the servers itself if no relay plan has arrived by then.
  Milliseconds listing_delay{8'000};
  /// How long a daemon that uses relays tries to get a newer configuration from them before it
  /// reads the store.
  Milliseconds configuration_relay_timeout{1'000};
};

/// What one read of the store requests.
enum class ReadKind : std::uint8_t {
  kListing,        ///< The current state of all entries.
  kChanges,        ///< All changes since the known revision.
  kServers,        ///< The current state of all server entries.
  kConfiguration,  ///< The newest configuration.
  /// The configuration version that a watcher announced. The store may answer with a cheaper stale
  /// read, since the version shows whether the answer is outdated.
  kAnnouncedConfiguration
};

/// @return the label value used in metrics and logs.
inline const char* ToString(ReadKind kind) {
  switch (kind) {
    case ReadKind::kListing:
      return "listing";
    case ReadKind::kChanges:
      return "changes";
    case ReadKind::kServers:
      return "servers";
    case ReadKind::kConfiguration:
      return "configuration";
    case ReadKind::kAnnouncedConfiguration:
      return "told_configuration";
  }
  return "unknown";
}

/// A configuration that a watcher announced as the newest at some time.
struct AnnouncedConfiguration {
  StoreRevision revision;  ///< No newer one existed up to this store revision.
  Time current_at{};       ///< No newer one existed at this time.
};

struct State {
  bool listed = false;                   ///< All servers have been listed at least once.
  StoreRevision revision;                ///< All server changes up to this one are known.
  StoreRevision configuration_revision;  ///< The configuration is known up to this revision.
  Time current_at{};                     ///< At this time the server data was complete.
  Time configuration_at{};               ///< At this time the configuration was current.
  std::optional<Time> reading_since;
  ReadKind reading = ReadKind::kListing;  ///< Kind of the read in progress; otherwise unused.
  bool listing_all_pages = false;         ///< The read lists all servers, page by page.
  bool urgent = false;  ///< A read is needed before `current_at` exceeds the maximum age.
  bool configuration_wanted = false;                ///< A newer configuration exists or may exist.
  Time configuration_wanted_since{};                ///< When it was announced.
  std::optional<AnnouncedConfiguration> announced;  ///< The announced configuration, if any.
  AnnouncedConfiguration
      reading_announced;          ///< The announced configuration that the current read requests.
  bool announced_missed = false;  ///< The read of the announced one failed or was stale.
  Time watcher_heard_at{};
  Time watcher_current_at{};         ///< Per the last answer, when the watcher's data was complete.
  bool changes_unavailable = false;  ///< The changes since `revision` could not be read.
  bool split_reads = false;  ///< A listing timed out: read servers and configuration separately.
  Time retry_not_before{};   ///< Earliest next read after a failed one.
  Time urgent_read_not_before{};  ///< Earliest next urgent read.
  bool watches = false;           ///< This daemon is a watcher: others follow it.
  /// The configuration is known, but the servers exceed one page: they are listed later or taken
  /// from a relay.
  bool first_page_applied = false;
  bool relayed = false;  ///< The plan names relays for this daemon, which is not a relay.
  /// `revision` comes from a partial answer: entries that changed again later are still missing.
  /// Answers to requests sent from an earlier revision cannot show that nothing is missing.
  bool partially_updated = false;
  Time servers_not_before{};  ///< Earliest listing of servers, while relays may still be named.
  Time relays_known_since{};
  double listing_bytes = 0;       ///< Size of the last listing.
  double change_bytes_per_s = 0;  ///< Last measured or estimated rate of changes.

  /// @return whether the configuration's revision is at least that of the servers.
  bool ConfigurationIsCurrent() const { return configuration_revision >= revision; }
};

struct ReadBegun {
  ReadKind kind = ReadKind::kChanges;
};
/// A read succeeded: the requested data is known up to `revision`.
struct ReadEnded {
  StoreRevision revision;
  double bytes = 0;  ///< Approximate size of the answer.
  /// Size of the changes since the previously known revision, if it can be determined.
  std::optional<double> change_bytes;
  bool outdated = false;  ///< The configuration is older than the announced one.
};
struct ReadFailed {
  Milliseconds pause{0};  ///< Delay before the next read, see MaxRetryDelay.
  /// No complete answer arrived in time: the next read requests less.
  bool unanswered = false;
  bool history_gone = false;  ///< The store no longer has the changes.
};
/// The fields of a watcher's answer that affect decisions. The answer holds all changes after
/// `from_revision` up to `to_revision`. Unless marked `partial`, it must be complete: the log keeps
/// only the newest change of each server, so that a truncated answer omits changes which a later
/// change beyond its end superseded, and could not be distinguished from a complete one.
struct Relayed {
  bool gap = false;      ///< The watcher cannot list the changes.
  bool retired = false;  ///< The sender is no longer a watcher.
  StoreRevision from_revision;
  StoreRevision to_revision;
  bool newer_configuration = false;  ///< A configuration exists that this daemon lacks.
  Time current_at{};                 ///< At this time nothing newer existed.
  /// The changes end at `to_revision`, and the watcher has more.
  bool partial = false;
};
struct RoleChanged {
  bool watches = false;
};
/// The first page of the initial listing was applied: everything except the servers after it.
struct FirstPageEnded {
  StoreRevision revision;
};
/// The relay plan was received or changed: it names relays for this daemon, or none, in which case
/// the daemon lists servers itself.
struct RelaysChanged {
  bool named = false;
};
/// The announced configuration was received from a relay.
struct ConfigurationTaken {};
/// A page of servers from a relay was applied; it reports a newer configuration as Relayed does.
struct ServersPageTaken {
  StoreRevision revision;
  bool newer_configuration = false;
  Time current_at{};
};
/// All servers were received from a relay.
struct ServersTaken {
  StoreRevision revision;  ///< All server changes up to this one are known.
  Time current_at{};       ///< At this time the relay's data was complete.
};
/// A source other than a read reported an era of the store.
struct EraObserved {
  std::int64_t era = 0;
};
using Event =
    std::variant<ReadBegun, ReadEnded, ReadFailed, Relayed, RoleChanged, EraObserved,
                 FirstPageEnded, RelaysChanged, ServersPageTaken, ServersTaken, ConfigurationTaken>;

struct Decision {
  State state;
  /// After Relayed: the caller must apply the changes after the state's previous revision.
  bool apply = false;
};

Decision Reduce(const Settings& settings, State state, const Event& event, Time now);

/// @return when to read the store next; Time::max() while a read is in progress.
Time NextRead(const Settings& settings, const State& state);
/// @return the maximum delay before a failed read is retried. If the watcher answers but cannot
/// read the store either, the store is unreachable for all daemons: the delay is then longer, so
/// that the followers do not all retry, since the watcher's answers show when the store is back.
Milliseconds MaxRetryDelay(const Settings& settings, const State& state, Time now);
/// @return whether to fetch all servers from a relay now.
bool WantsServers(const State& state);
/// @return whether to fetch the announced configuration from a relay now.
bool WantsConfiguration(const State& state);
/// @return the kind of a read that starts now.
ReadKind NextReadKind(const Settings& settings, const State& state, Time now);

}  // namespace follow
}  // namespace moorfold
