#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

#include "common/boot_clock.h"
#include "ports/store_revision.h"

namespace moorfold {

/// Decides when a daemon reads the store itself, what it asks for, and which relayed changes it may
/// believe.
///
/// One daemon, the leader, watches the store closely; the others follow it: each asks it with its
/// demand what has changed, and reads the store itself only when the answers stop, leave a gap or
/// tell of a configuration. Nothing is weaker than without the relay: a daemon reads the store at
/// the latest `max_age` after the last moment at which it was known to know all, whoever told
/// it so.
///
/// That moment is counted without trust in clocks or networks. A follower counts an answer from the
/// time at which it sent the question, less the age that the watcher stated; the watcher counts its
/// own knowledge from the time at which it sent its read. Delays, frozen processes and late
/// datagrams only make knowledge look older.
///
/// A store that comes back from an older copy gives its revisions out again. Every revision here
/// carries its era, and is compared with it: what is known of an earlier era says nothing of a
/// later one. Whoever hears of a later era than its own asks the store; an answer of an earlier one
/// changes nothing.
///
/// Servers and the configuration are known as of different moments, since only servers are relayed:
/// a configuration that is still to be read holds back nothing that is known of servers.
///
/// What a read asks for is bounded whatever the time away. Changes since a revision grow with that
/// time, as each version of the configuration stands whole among them; a listing does not. So a
/// daemon lists as soon as a listing is expected to be the smaller answer, after any read of
/// changes that was not answered, and, after a listing that was not, the servers alone before the
/// configuration.
///
/// In a fleet with relays (see relay/relay_plan.h) all but those ask a relay, and take from it what
/// they lack, a first knowledge of all servers too: what each would read of the store grows with
/// the servers, and what all would read with the daemons times the servers. The store is read for
/// servers only when no relay has answered for long, and for the configuration as ever: nothing
/// that is known of servers, or not yet, holds it up.
///
/// Pure: state, event and time in, state out. test/relay explores it.
namespace follow {

using Time = BootClock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Settings {
  /// A daemon that knows no better reads the store so long after it last knew all.
  Milliseconds max_age{1'100};
  /// The same for a watcher, on whose reads the others' knowledge depends.
  Milliseconds max_watcher_age{300};
  /// Least time between two reads for which there was a reason.
  Milliseconds min_urgent_interval{500};
  /// Between two reads of which the first failed.
  Milliseconds max_retry_delay{500};
  /// A watcher is asked twice a second: without two answers it is not heard any more.
  Milliseconds watcher_timeout{1'200};
  /// A daemon that follows relays reads the store for servers itself when none has answered for so
  /// long.
  Milliseconds relay_timeout{3'500};
  /// One that knows no servers yet, and may be one of a large fleet that starts at once, lists them
  /// itself when nobody has told it where to ask by then.
  Milliseconds listing_delay{8'000};
  /// One that follows relays asks these for a newer configuration before it reads it itself.
  Milliseconds configuration_relay_timeout{1'000};
};

/// What one read of the store asks for.
enum class ReadKind : std::uint8_t {
  kListing,        ///< All entries as they are now.
  kChanges,        ///< All changes since the revision known.
  kServers,        ///< The servers' entries as they are now.
  kConfiguration,  ///< The newest configuration.
  /// The configuration whose version a watcher told: the store may answer from an older state, at
  /// less cost, since the version shows whether it did.
  kAnnouncedConfiguration
};

/// @return a word for metrics and logs.
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

/// A configuration that a watcher knows to be the newest of a moment.
struct AnnouncedConfiguration {
  StoreRevision revision;  ///< No newer one existed up to this revision of the store ..
  Time current_at{};       ///< .. and at this time.
};

struct State {
  bool listed = false;                   ///< All servers were read at once before.
  StoreRevision revision;                ///< All changes of servers up to this one are known.
  StoreRevision configuration_revision;  ///< The same of the configuration.
  Time current_at{};                     ///< At that time the store knew no more of servers.
  Time configuration_at{};               ///< The same of the configuration.
  std::optional<Time> reading_since;
  ReadKind reading = ReadKind::kListing;  ///< The read under way; of no meaning without one.
  bool reading_all = false;               ///< It lists all servers, page after page.
  bool urgent = false;                ///< There is a reason to read before `current_at` is too old.
  bool configuration_wanted = false;  ///< There is a configuration that is not known.
  Time configuration_wanted_since{};  ///< Since when that was told.
  std::optional<AnnouncedConfiguration> told;  ///< Which is wanted, if a watcher told of it.
  AnnouncedConfiguration reading_announced;    ///< Of the read under way.
  bool announced_missed = false;               ///< The store answered with an older one than that.
  Time watcher_heard_at{};
  Time watcher_current_at{};         ///< The last answer's: at that time the watcher knew all.
  bool changes_unavailable = false;  ///< The changes since `revision` could not be read.
  bool split_reads = false;       ///< A listing was not answered: servers and configuration apart.
  Time retry_not_before{};        ///< No read earlier, after a failed one.
  Time urgent_read_not_before{};  ///< No read earlier just because it is urgent.
  bool watches = false;           ///< Others follow this daemon.
  /// The configuration is known, of the servers only that they are more than one page: they are
  /// listed later, or taken from a relay.
  bool begun = false;
  bool relayed = false;  ///< Relays are named for this daemon, which is none of them.
  /// The revision came with a part of what had changed: what was replaced later is still to come.
  /// Answers to questions from before it do not tell, and say nothing of what is missing.
  bool in_parts = false;
  Time servers_not_before{};  ///< No listing of servers earlier, while there may be relays to ask.
  Time relays_known_since{};
  double listing_bytes = 0;       ///< Of the last listing.
  double change_bytes_per_s = 0;  ///< Of changes, as measured or estimated last.

  /// @return whether the configuration is known as of a revision no older than the servers'.
  bool ConfigurationIsCurrent() const { return configuration_revision >= revision; }
};

struct ReadBegun {
  ReadKind kind = ReadKind::kChanges;
};
/// What the read asked for is known up to `revision`.
struct ReadEnded {
  StoreRevision revision;
  double bytes = 0;  ///< Of the answer, about.
  /// Of the changes since the revision known before, as far as that can be told.
  std::optional<double> change_bytes;
  bool outdated = false;  ///< Not the configuration that was told, but an older one.
};
struct ReadFailed {
  Milliseconds pause{0};  ///< Before the next, see MaxRetryDelay.
  /// No whole answer came in its time: the next read asks for less.
  bool unanswered = false;
  bool history_gone = false;  ///< The changes are no longer to be had.
};
/// A watcher's answer, as far as it decides. It holds all changes after `from_revision`, up to
/// `to_revision`. An answer that held only some could not be told from one that holds all: a log of
/// newest changes leaves out what a later change, beyond its end, replaced.
struct Relayed {
  bool gap = false;      ///< The watcher cannot say what changed.
  bool retired = false;  ///< The sender is no watcher any more.
  StoreRevision from_revision;
  StoreRevision to_revision;
  bool newer_configuration = false;  ///< There is one that this daemon lacks; it is not relayed.
  Time current_at{};                 ///< Nothing newer existed then.
  /// The changes go only up to `to_revision`, and the watcher knows of more.
  bool partial = false;
};
struct RoleChanged {
  bool watches = false;
};
/// The first page of a first listing is taken over, and holds all but the servers after it.
struct FirstPageEnded {
  StoreRevision revision;
};
/// What is known of relays: whether there are some that this daemon is to ask, or none at all, so
/// that it lists by itself.
struct RelaysChanged {
  bool named = false;
};
/// The configuration of which a watcher told was taken from a relay.
struct ConfigurationTaken {};
/// A page of a relay's servers was taken over; it tells of the configuration as Relayed does.
struct ServersPageTaken {
  StoreRevision revision;
  bool newer_configuration = false;
  Time current_at{};
};
/// All servers were taken from a relay.
struct ServersTaken {
  StoreRevision revision;  ///< All changes of servers up to this one are known.
  Time current_at{};       ///< At that time the relay knew no more.
};
/// Something other than a read has told of an era of the store.
struct EraObserved {
  std::int64_t era = 0;
};
using Event =
    std::variant<ReadBegun, ReadEnded, ReadFailed, Relayed, RoleChanged, EraObserved,
                 FirstPageEnded, RelaysChanged, ServersPageTaken, ServersTaken, ConfigurationTaken>;

struct Decision {
  State state;
  /// Of Relayed: the changes after the state's former revision are to be taken over.
  bool apply = false;
};

Decision Reduce(const Settings& settings, State state, const Event& event, Time now);

/// @return when the store is to be read next; Time::max() while a read is under way.
Time NextRead(const Settings& settings, const State& state);
/// @return the most by which a read may follow one that failed. Where the watcher is heard and
/// cannot read the store either, the store is out of reach for all: the watcher will tell when it
/// is back, and its many followers do not all knock meanwhile.
Milliseconds MaxRetryDelay(const Settings& settings, const State& state, Time now);
/// @return whether all servers are to be taken from a relay now.
bool WantsServers(const State& state);
/// @return whether the configuration that was told is to be taken from a relay now.
bool WantsConfiguration(const State& state);
/// @return what a read that begins now asks for.
ReadKind NextReadKind(const Settings& settings, const State& state, Time now);

}  // namespace follow
}  // namespace moorfold
