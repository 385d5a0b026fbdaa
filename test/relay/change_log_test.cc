#include "relay/change_log.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

std::vector<std::string> Servers(const std::vector<ChangeLog::Change>& changes) {
  std::vector<std::string> servers;
  for (const ChangeLog::Change& change : changes)
    servers.push_back(change.server_id + (change.gone ? " gone" : ""));
  return servers;
}

TEST_CASE("A change log tells the newest change of each server, in the order of revisions") {
  ChangeLog log;
  CHECK_FALSE(log.Reaches(0));  // Nothing was listed yet.
  log.Restart(10);
  log.Note("a", 11, false);
  log.Note("b", 12, false);
  log.Note("a", 13, true);
  log.Note("c", 13, false);  // By the same transaction.
  log.Note("b", 9, true);    // From before the listing.
  log.Advance(15);
  CHECK(log.newest() == 15);
  CHECK(Servers(log.Since(10)) == std::vector<std::string>{"b", "a gone", "c"});
  CHECK(Servers(log.Since(12)) == std::vector<std::string>{"a gone", "c"});
  CHECK(log.Since(13).empty());
  log.Note("a", 13, false);  // Known, or older: nothing goes back.
  log.Note("a", 12, false);
  CHECK(Servers(log.Since(12)) == std::vector<std::string>{"a gone", "c"});
}

TEST_CASE("A change log reaches back to its listing, and as far as it has room") {
  ChangeLog log;
  log.Restart(10);
  CHECK(log.Reaches(10));
  CHECK_FALSE(log.Reaches(9));
  for (int change = 0; change < 5'000; ++change)
    log.Note("server-" + std::to_string(change), 11 + change, false);
  CHECK_FALSE(log.Reaches(10));
  CHECK(log.Reaches(5'010));
  CHECK(log.Since(5'009).size() == 1);
  // Whatever it says it reaches is whole.
  std::int64_t first = 10;
  while (!log.Reaches(first)) ++first;
  CHECK(log.Since(first).size() == static_cast<std::size_t>(5'010 - first));
  log.Restart(6'000);
  CHECK_FALSE(log.Reaches(5'999));
  CHECK(log.Since(6'000).empty());
}

TEST_CASE("Whoever knows of a time that was listed over is told to read the store") {
  ChangeLog log;
  log.Restart(10);
  log.Advance(20);
  log.NoteListing(20, 40);
  CHECK(log.newest() == 40);
  for (const std::int64_t known : {10, 20, 40, 45}) CHECK(log.Reaches(known));
  for (const std::int64_t known : {9, 21, 39}) CHECK_FALSE(log.Reaches(known));
  // It does not grow without end: the oldest such times are forgotten with all before them.
  for (std::int64_t at = 40; at < 40'000; at += 40) log.NoteListing(at, at + 40);
  CHECK_FALSE(log.Reaches(40));
  CHECK(log.Reaches(40'000));
  CHECK(log.Reaches(39'960));
  CHECK_FALSE(log.Reaches(39'961));
}

}  // namespace
}  // namespace moorfold
