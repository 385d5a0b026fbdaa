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

/// Log of the store revisions at which server entries changed, with only the newest change of each
/// server. A watcher uses it to find the changes that a follower lacks. It holds no records: the
/// server directory has the newest state. Bounded in size; no I/O; not thread-safe.
class ChangeLog {
 public:
  struct Change {
    StoreRevision revision;
    std::string server_id;
    bool gone = false;
  };

  /// Clears the log after a full listing at `revision`: it holds no individual changes up to there.
  void Restart(StoreRevision revision);
  /// Records a full listing at `to` when everything up to `from` was known before. The caller notes
  /// the differences, but a server that was added and removed in between was never observed: a
  /// follower at a revision between `from` and `to` may know it, and this log cannot report its
  /// removal. If `to` is in a later era the log restarts, since entries written in the earlier era
  /// may no longer exist.
  void RecordListing(StoreRevision from, StoreRevision to);
  void Note(const std::string& server_id, StoreRevision revision, bool gone);
  /// Marks all changes up to `revision` as recorded.
  void Advance(StoreRevision revision);

  StoreRevision newest() const { return newest_; }
  /// @return whether the log holds every change after `revision`.
  bool CoversSince(StoreRevision revision) const;
  /// @return the changes after `revision`, oldest first. @pre CoversSince(revision).
  std::vector<Change> Since(StoreRevision revision) const;

 private:
  /// Revisions strictly between `from` and `to`, for which the log may lack removals.
  struct UnknownInterval {
    StoreRevision from;
    StoreRevision to;
  };
  void EvictOldest();

  bool started_ = false;
  StoreRevision oldest_;  ///< The log holds the changes after this one.
  StoreRevision newest_;  ///< The log holds the changes up to this one.
  std::multimap<StoreRevision, Change>
      changes_;  ///< By revision; one transaction may change several.
  std::unordered_map<std::string, StoreRevision> revisions_;  ///< Revision of each server's change.
  std::deque<UnknownInterval> unknown_intervals_;             ///< Ordered by revision.
};

}  // namespace moorfold
