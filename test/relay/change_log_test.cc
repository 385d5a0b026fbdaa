#include "relay/change_log.h"

#include <catch2/catch.hpp>

#include "store_revisions.h"

namespace moorfold {
namespace {

std::vector<std::string> Servers(const std::vector<ChangeLog::Change>& changes) {
  std::vector<std::string> servers;
  for (const ChangeLog::Change& change : changes)
    servers.push_back(change.server_id + (change.gone ? " gone" : ""));
  return servers;
}

TEST_CASE("A change log returns the newest change of each server, ordered by revision") {
  ChangeLog log;
  CHECK_FALSE(log.CoversSince(At(0)));  // No listing yet.
  log.Restart(At(10));
  log.Note("a", At(11), false);
  log.Note("b", At(12), false);
  log.Note("a", At(13), true);
  log.Note("c", At(13), false);  // Same transaction.
  log.Note("b", At(9), true);    // Older than the listing.
  log.Advance(At(15));
  CHECK(log.newest() == At(15));
  CHECK(Servers(log.Since(At(10))) == std::vector<std::string>{"b", "a gone", "c"});
  CHECK(Servers(log.Since(At(12))) == std::vector<std::string>{"a gone", "c"});
  CHECK(log.Since(At(13)).empty());
  log.Note("a", At(13), false);  // Same or older revision: ignored.
  log.Note("a", At(12), false);
  CHECK(Servers(log.Since(At(12))) == std::vector<std::string>{"a gone", "c"});
}

TEST_CASE("A change log covers changes since its listing, up to its size limit") {
  ChangeLog log;
  log.Restart(At(10));
  CHECK(log.CoversSince(At(10)));
  CHECK_FALSE(log.CoversSince(At(9)));
  for (int change = 0; change < 5'000; ++change)
    log.Note("server-" + std::to_string(change), At(11 + change), false);
  CHECK_FALSE(log.CoversSince(At(10)));
  CHECK(log.CoversSince(At(5'010)));
  CHECK(log.Since(At(5'009)).size() == 1);
  // The range that it claims to cover is complete.
  std::int64_t first = 10;
  while (!log.CoversSince(At(first))) ++first;
  CHECK(log.Since(At(first)).size() == static_cast<std::size_t>(5'010 - first));
  log.Restart(At(6'000));
  CHECK_FALSE(log.CoversSince(At(5'999)));
  CHECK(log.Since(At(6'000)).empty());
}

TEST_CASE("A follower at a revision that a listing skipped gets a gap") {
  ChangeLog log;
  log.Restart(At(10));
  log.Advance(At(20));
  log.RecordListing(At(20), At(40));
  CHECK(log.newest() == At(40));
  for (const std::int64_t known : {10, 20, 40, 45}) CHECK(log.CoversSince(At(known)));
  for (const std::int64_t known : {9, 21, 39}) CHECK_FALSE(log.CoversSince(At(known)));
  // The number of skipped intervals is bounded: the oldest is dropped together with all changes
  // before it.
  for (std::int64_t at = 40; at < 40'000; at += 40) log.RecordListing(At(at), At(at + 40));
  CHECK_FALSE(log.CoversSince(At(40)));
  CHECK(log.CoversSince(At(40'000)));
  CHECK(log.CoversSince(At(39'960)));
  CHECK_FALSE(log.CoversSince(At(39'961)));
}

TEST_CASE(
    "A change log restarts in a later era, and does not cover revisions of an "
    "earlier one") {
  ChangeLog log;
  log.Restart(At(10));
  log.Note("a", At(200), false);
  log.Advance(At(272));
  log.RecordListing(At(272), {2, 244});
  CHECK(log.newest() == StoreRevision{2, 244});
  CHECK_FALSE(log.CoversSince(At(272)));
  CHECK_FALSE(log.CoversSince(At(244)));
  CHECK(log.CoversSince({2, 244}));
  CHECK(log.Since({2, 244}).empty());
  log.Note("b", {2, 257}, false);
  log.Advance({2, 258});
  CHECK(Servers(log.Since({2, 244})) == std::vector<std::string>{"b"});
}

}  // namespace
}  // namespace moorfold
