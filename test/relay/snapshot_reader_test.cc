#include "relay/snapshot_reader.h"

#include <catch2/catch.hpp>

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using PageResult = SnapshotReader::PageResult;
using Time = SnapshotReader::Time;

constexpr Time kStart{std::chrono::seconds(1'000)};

ServersPage PageFor(const ServersRequest& request, const std::string& last, bool more,
                    std::int64_t revision) {
  ServersPage page;
  page.asked_at_us = request.asked_at_us;
  page.after = request.after;
  page.relays = true;
  page.last = last;
  page.more = more;
  page.revision = {0, revision};
  page.age_us = 40'000;
  return page;
}

struct Reading {
  Reading() { reader.Begin(); }
  ServersRequest Ask() {
    const std::optional<ServersRequest> request = reader.Due(now);
    REQUIRE(request);
    return *request;
  }
  SnapshotReader reader;
  Time now = kStart;
};

TEST_CASE("Pages are requested one at a time, and take the revision and age of the first") {
  Reading reading;
  const ServersRequest first = reading.Ask();
  CHECK(first.after.empty());
  CHECK_FALSE(reading.reader.Due(reading.now));  // A request is outstanding.
  CHECK(reading.reader.Take(PageFor(first, "i-3", true, 50), "relay") == PageResult::kPage);
  reading.now += milliseconds(5);
  const ServersRequest second = reading.Ask();
  CHECK(second.after == "i-3");
  CHECK(reading.reader.Take(PageFor(second, "i-6", false, 57), "relay") == PageResult::kLastPage);
  CHECK(reading.reader.revision() == StoreRevision{0, 50});
  CHECK(reading.reader.current_at() == kStart - milliseconds(40));
  CHECK_FALSE(reading.reader.running());
}

TEST_CASE("A late page is requested again; its first answer is used, its second ignored") {
  Reading reading;
  const ServersRequest late = reading.Ask();
  reading.now += milliseconds(400);
  const ServersRequest again = reading.Ask();
  CHECK(again.after == late.after);
  CHECK(reading.reader.Take(PageFor(late, "i-3", true, 50), "relay") == PageResult::kPage);
  CHECK(reading.reader.Take(PageFor(again, "i-3", true, 50), "relay") == PageResult::kIgnored);
  // Dated by the first request, since the answer does not show which of the two it belongs to.
  CHECK(reading.reader.current_at() == kStart - milliseconds(40));
}

TEST_CASE("A page of another relay, another era or an older state causes a restart") {
  Reading reading;
  const ServersRequest first = reading.Ask();
  reading.reader.Take(PageFor(first, "i-3", true, 50), "relay");
  const ServersRequest second = reading.Ask();
  ServersPage page = PageFor(second, "i-6", true, 57);
  std::string from = "relay";
  SECTION("relay") { from = "another"; }
  SECTION("era") { page.revision.era = 1; }
  SECTION("state") { page.revision.number = 49; }
  SECTION("a page without end") { page.last = page.after; }
  CHECK(reading.reader.Take(page, from) == PageResult::kIgnored);
  CHECK(reading.Ask().after.empty());
}

TEST_CASE(
    "A relay that does not watch the store declines, and the next is asked from the first page") {
  Reading reading;
  const ServersRequest first = reading.Ask();
  reading.reader.Take(PageFor(first, "i-3", true, 50), "relay");
  const ServersRequest second = reading.Ask();
  ServersPage declined = PageFor(second, "", false, 0);
  declined.relays = false;
  CHECK(reading.reader.Take(declined, "relay") == PageResult::kDeclined);
  CHECK_FALSE(reading.reader.Due(reading.now));  // Not in a tight loop.
  reading.now += milliseconds(400);
  CHECK(reading.Ask().after.empty());
}

}  // namespace
}  // namespace moorfold
