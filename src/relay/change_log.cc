#include "relay/change_log.h"

#include <algorithm>

namespace moorfold {

namespace {

/// A follower that lacks more changes reads the store. Four changes of each of the 2,400 servers of
/// the design size (CONTRIBUTING.md) would exceed what a follower requests at once; a change takes
/// about 100 bytes here.
constexpr std::size_t kMaxChanges = 1'024;
/// Followers send two requests a second, and a watcher lists the store at most a few times a
/// second. A follower that has sent none during this many listings reads the store.
constexpr std::size_t kMaxUnknownIntervals = 64;

}  // namespace

void ChangeLog::Restart(StoreRevision revision) {
  changes_.clear();
  revisions_.clear();
  unknown_intervals_.clear();
  started_ = true;
  oldest_ = revision;
  newest_ = revision;
}

void ChangeLog::Note(const std::string& server_id, StoreRevision revision, bool gone) {
  if (!started_ || revision <= oldest_) return;
  if (const auto known = revisions_.find(server_id); known != revisions_.end()) {
    if (known->second >= revision) return;
    const auto [first, last] = changes_.equal_range(known->second);
    const auto before = std::find_if(
        first, last, [&](const auto& entry) { return entry.second.server_id == server_id; });
    if (before != last) changes_.erase(before);
  }
  revisions_[server_id] = revision;
  changes_.emplace(revision, Change{revision, server_id, gone});
  EvictOldest();
}

void ChangeLog::Advance(StoreRevision revision) {
  if (started_) newest_ = std::max(newest_, revision);
}

void ChangeLog::RecordListing(StoreRevision from, StoreRevision to) {
  // Keeping the newest revision of an earlier era would wrongly tell followers that they are up to
  // date in this era.
  if (started_ && to.era > newest_.era) Restart(to);
  Advance(to);
  if (!started_ || from.era != to.era || to.number - from.number < 2) return;
  unknown_intervals_.push_back({from, to});
  if (unknown_intervals_.size() <= kMaxUnknownIntervals) return;
  oldest_ = std::max(oldest_, unknown_intervals_.front().to);
  unknown_intervals_.pop_front();
}

bool ChangeLog::CoversSince(StoreRevision revision) const {
  if (!started_ || revision < oldest_) return false;
  return std::none_of(
      unknown_intervals_.begin(), unknown_intervals_.end(),
      [&](const UnknownInterval& span) { return revision > span.from && revision < span.to; });
}

void ChangeLog::EvictOldest() {
  while (changes_.size() > kMaxChanges) {
    const auto oldest = changes_.begin();
    oldest_ = oldest->first;
    revisions_.erase(oldest->second.server_id);
    changes_.erase(oldest);
  }
}

std::vector<ChangeLog::Change> ChangeLog::Since(StoreRevision revision) const {
  std::vector<Change> since;
  for (auto entry = changes_.upper_bound(revision); entry != changes_.end(); ++entry)
    since.push_back(entry->second);
  return since;
}

}  // namespace moorfold
