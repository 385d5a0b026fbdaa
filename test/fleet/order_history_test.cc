#include "fleet/order_history.h"

#include <catch2/catch.hpp>

#include "fleet/fleet_members.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using Time = OrderHistory::Time;

constexpr milliseconds kApart{3'000};
constexpr milliseconds kLoadWindow{5'000};
const Time kStart{std::chrono::seconds(1'000)};

OrderHistory Make(const std::string& holder) { return {holder, kApart, kLoadWindow}; }

/// The record after `servers` were announced at `at`.
OrderHistoryRecord Announced(OrderHistory& history, const std::vector<std::string>& servers,
                             Time at) {
  for (const std::string& server : servers) history.Want(server);
  OrderHistoryRecord record = history.BeginWrite(at);
  history.ConfirmWrite();
  return record;
}

TEST_CASE("An order may be sent from the announcement's confirmation until it expires") {
  OrderHistory history = Make("a");
  history.TakeOver({}, kStart);
  history.Want("i-1");
  CHECK(history.AnyWanted());
  history.BeginWrite(kStart);
  CHECK_FALSE(history.MaySend("i-1", kStart));
  history.ConfirmWrite();
  CHECK(history.MaySend("i-1", kStart + milliseconds(999)));
  CHECK_FALSE(history.MaySend("i-1", kStart + milliseconds(1'000)));
  CHECK_FALSE(history.MaySend("i-2", kStart));
}

TEST_CASE("An announcement that may not be in the store does not hold") {
  OrderHistory history = Make("a");
  history.TakeOver({}, kStart);
  history.Want("i-1");
  history.BeginWrite(kStart);
  history.AbandonWrite();
  history.ConfirmWrite();
  CHECK_FALSE(history.MaySend("i-1", kStart));
}

TEST_CASE(
    "The next leader keeps away from announced servers only, and only for as long as needed") {
  OrderHistory before = Make("a");
  before.TakeOver({}, kStart);
  Announced(before, {"i-1"}, kStart);
  const OrderHistoryRecord record = Announced(before, {"i-2"}, kStart + milliseconds(2'000));
  OrderHistory next = Make("b");
  const Time seen = kStart + milliseconds(2'500);
  next.TakeOver(record, seen);
  CHECK(next.FreeAt("i-3") <= seen);
  // 1,000 to send, 600 to arrive, 3,000 apart, 300 to spare; announced 2,000 before the record.
  CHECK(next.FreeAt("i-1") == seen + milliseconds(2'900));
  CHECK(next.FreeAt("i-2") == seen + milliseconds(4'900));
  Announced(next, {"i-2"}, seen);
  CHECK_FALSE(next.MaySend("i-2", seen));
}

TEST_CASE("A machine need not keep apart from its own earlier process, only outlast its orders") {
  OrderHistory before = Make("a");
  before.TakeOver({}, kStart);
  const OrderHistoryRecord record = Announced(before, {"i-1"}, kStart);
  OrderHistory again = Make("a");
  again.TakeOver(record, kStart);
  CHECK(again.FreeAt("i-1") == kStart + milliseconds(1'600));
}

TEST_CASE("What a leader inherited is handed on by it until it cannot matter") {
  OrderHistory first = Make("a");
  first.TakeOver({}, kStart);
  OrderHistory second = Make("b");
  second.TakeOver(Announced(first, {"i-1"}, kStart), kStart);
  const OrderHistoryRecord record = Announced(second, {"i-2"}, kStart + milliseconds(1'000));
  OrderHistory third = Make("c");
  third.TakeOver(record, kStart + milliseconds(1'000));
  CHECK(third.FreeAt("i-1") == kStart + milliseconds(4'900));
  const OrderHistoryRecord late = Announced(second, {"i-3"}, kStart + milliseconds(20'000));
  REQUIRE(late.servers.size() == 1);
  CHECK(late.servers.front().server_id == "i-3");
}

TEST_CASE("Loads of the leader before count against the bound on loads") {
  OrderHistory before = Make("a");
  before.TakeOver({}, kStart);
  for (int load = 0; load < 6; ++load) before.loads().Count(kStart);
  before.loads().CountUnanswered(kStart);
  const OrderHistoryRecord record = Announced(before, {"i-1"}, kStart + milliseconds(1'000));
  OrderHistory next = Make("b");
  next.TakeOver(record, kStart + milliseconds(1'000));
  CHECK(next.loads().Free(2, kStart + milliseconds(1'000)) == Approx(3));
  // Six counted until 5,000 after they began, 1,600 more for orders that were under way.
  CHECK(next.loads().Free(2, kStart + milliseconds(6'500)) == Approx(3));
  CHECK(next.loads().Free(2, kStart + milliseconds(6'700)) == Approx(9));
  CHECK(next.loads().Free(2, kStart + milliseconds(60'000)) == Approx(10));
}

TEST_CASE("A history of another version keeps away from every server until it cannot matter") {
  OrderHistory history = Make("a");
  history.TakeOverUnknown(kStart);
  CHECK(history.FreeAt("i-1") == kStart + milliseconds(6'600));
  history.TakeOver({}, kStart);
  CHECK(history.FreeAt("i-1") <= kStart);
}

DemandReport Report(const std::string& name, int uptime_ms, bool stopping = false) {
  DemandReport report;
  report.sender = name;
  report.address = name + ":1";
  report.uptime_ms = uptime_ms;
  report.stopping = stopping;
  return report;
}

TEST_CASE("Leadership is offered to the daemon that was restarted last, if it is well") {
  FleetMembers members;
  CHECK_FALSE(members.Successor(kStart).has_value());
  members.Note(Report("old", 90'000), kStart);
  CHECK(members.Successor(kStart) == std::optional<std::string>("old:1"));
  members.Note(Report("new", 2'000), kStart);
  members.Note(Report("starting", 100), kStart);
  members.Note(Report("leaving", 1'000, true), kStart);
  CHECK(members.Successor(kStart) == std::optional<std::string>("new:1"));
  CHECK_FALSE(members.Successor(kStart + milliseconds(2'000)).has_value());
}

}  // namespace
}  // namespace moorfold
