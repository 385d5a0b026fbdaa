#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "ports/store_revision.h"

namespace moorfold {

/// Which servers' entries changed at which revision of the store, newest change of each only. Tells
/// a watcher what a follower lacks. It holds no records: the newest state of a server is its
/// directory's. Bounded; pure; one thread.
class ChangeLog {
 public:
  struct Change {
    StoreRevision revision;
    std::string server_id;
    bool gone = false;
  };

  /// Everything up to `revision` was listed at once: changes before it are not told apart.
  void Restart(StoreRevision revision);
  /// Everything up to `to` was listed at once, where everything up to `from` was known before. What
  /// differs is noted, but a server that came and went in between was never seen: whoever knows
  /// more than `from` and less than `to` may know it, and cannot be told that it is gone. Where
  /// `to` is of a later era the log begins anew: what was written in the earlier one may be gone.
  void RecordListing(StoreRevision from, StoreRevision to);
  void Note(const std::string& server_id, StoreRevision revision, bool gone);
  /// All changes up to `revision` have been noted.
  void Advance(StoreRevision revision);

  StoreRevision newest() const { return newest_; }
  /// @return whether the log holds every change after `revision`.
  bool CoversSince(StoreRevision revision) const;
  /// @return the changes after `revision`, oldest first. @pre CoversSince(revision).
  std::vector<Change> Since(StoreRevision revision) const;

 private:
  /// Between two revisions, without them, nothing is known to be complete.
  struct UnknownInterval {
    StoreRevision from;
    StoreRevision to;
  };
  void EvictOldest();

  bool started_ = false;
  StoreRevision oldest_;  ///< Changes after this one are in the log.
  StoreRevision newest_;  ///< Changes up to this one are in the log.
  std::multimap<StoreRevision, Change>
      changes_;  ///< By revision; one transaction may change several.
  std::unordered_map<std::string, StoreRevision> revisions_;  ///< Of each server's change.
  std::deque<UnknownInterval> unknown_intervals_;             ///< In the order of revisions.
};

}  // namespace moorfold
