#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace moorfold {

/// Which servers' entries changed at which revision of the store, newest change of each only. Tells
/// a watcher what a follower lacks. It holds no records: the newest state of a server is its
/// directory's. Bounded; pure; one thread.
class ChangeLog {
 public:
  struct Change {
    std::int64_t revision = 0;
    std::string server_id;
    bool gone = false;
  };

  /// Everything up to `revision` was listed at once: changes before it are not told apart.
  void Restart(std::int64_t revision);
  /// Everything up to `to` was listed at once, where everything up to `from` was known before. What
  /// differs is noted, but a server that came and went in between was never seen: whoever knows
  /// more than `from` and less than `to` may know it, and cannot be told that it is gone.
  void NoteListing(std::int64_t from, std::int64_t to);
  void Note(const std::string& server_id, std::int64_t revision, bool gone);
  /// All changes up to `revision` have been noted.
  void Advance(std::int64_t revision);

  std::int64_t newest() const { return newest_; }
  /// @return whether the log holds every change after `revision`.
  bool Reaches(std::int64_t revision) const;
  /// @return the changes after `revision`, oldest first. @pre Reaches(revision).
  std::vector<Change> Since(std::int64_t revision) const;

 private:
  /// Between two revisions, without them, nothing is known to be complete.
  struct BlindSpan {
    std::int64_t from = 0;
    std::int64_t to = 0;
  };
  void ForgetOldest();

  bool started_ = false;
  std::int64_t oldest_ = 0;  ///< Changes after this one are in the log.
  std::int64_t newest_ = 0;  ///< Changes up to this one are in the log.
  std::multimap<std::int64_t, Change>
      changes_;  ///< By revision; one transaction may change several.
  std::unordered_map<std::string, std::int64_t> revisions_;  ///< Of each server's change.
  std::deque<BlindSpan> blind_;                              ///< In the order of revisions.
};

}  // namespace moorfold
