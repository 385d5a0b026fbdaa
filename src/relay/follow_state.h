#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace moorfold {

/// Decides when a daemon reads the store itself, and which relayed changes it may believe.
///
/// One daemon, the leader, watches the store closely; the others follow it: each asks it with its
/// demand what has changed, and reads the store itself only when the answers stop, leave a gap or
/// tell of a configuration. Nothing is weaker than without the relay: a daemon reads the store at
/// the latest `longest_age` after the last moment at which it was known to know all, whoever told
/// it so.
///
/// That moment is counted without trust in clocks or networks. A follower counts an answer from the
/// time at which it sent the question, less the age that the watcher stated; the watcher counts its
/// own knowledge from the time at which it sent its read. Delays, frozen processes and late
/// datagrams only make knowledge look older.
///
/// Pure: state, event and time in, state out. test/relay explores it.
namespace follow {

using Time = std::chrono::steady_clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Settings {
  /// A daemon that knows no better reads the store so long after it last knew all.
  Milliseconds longest_age{1'100};
  /// The same for a watcher, on whose reads the others' knowledge depends.
  Milliseconds watcher_age{300};
  /// Least time between two reads for which there was a reason.
  Milliseconds between_urgent{500};
};

struct State {
  bool listed = false;        ///< All entries were read at once before.
  std::int64_t revision = 0;  ///< All changes up to this one are known.
  Time current_at{};          ///< At that time nothing newer existed than what is known.
  std::optional<Time> reading_since;
  bool listing = false;      ///< The read under way lists all entries.
  bool urgent = false;       ///< There is a reason to read before `current_at` is too old.
  Time not_before{};         ///< No read earlier, after a failed one.
  Time urgent_not_before{};  ///< No read earlier just because it is urgent.
  bool watches = false;      ///< Others follow this daemon.
};

struct ReadBegun {
  bool lists = false;
};
/// All changes up to `revision` were read.
struct ReadEnded {
  std::int64_t revision = 0;
};
struct ReadFailed {
  Milliseconds pause{0};  ///< Before the next.
};
/// A watcher's answer, as far as it decides. It holds all changes after `from_revision`, up to
/// `to_revision`. An answer that held only some could not be told from one that holds all: a log of
/// newest changes leaves out what a later change, beyond its end, replaced.
struct Relayed {
  bool gap = false;      ///< The watcher cannot say what changed.
  bool retired = false;  ///< The sender is no watcher any more.
  std::int64_t from_revision = 0;
  std::int64_t to_revision = 0;
  bool newer_configuration = false;  ///< There is one that this daemon lacks; it is not relayed.
  Time current_at{};                 ///< Nothing newer existed then.
};
/// Something else says that the store has news.
struct NewsHeard {};
struct RoleTaken {
  bool watches = false;
};
using Event = std::variant<ReadBegun, ReadEnded, ReadFailed, Relayed, NewsHeard, RoleTaken>;

struct Decision {
  State state;
  /// Of Relayed: the changes after the state's former revision are to be taken over.
  bool apply = false;
};

Decision Reduce(const Settings& settings, State state, const Event& event, Time now);

/// @return when the store is to be read next; Time::max() while a read is under way.
Time NextRead(const Settings& settings, const State& state);

}  // namespace follow
}  // namespace moorfold
