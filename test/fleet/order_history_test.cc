#include "fleet/order_history.h"

#include <catch2/catch.hpp>

#include "fleet/fleet_members.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using Time = OrderHistory::Time;

constexpr milliseconds kOrderSeparation{3'000};
constexpr milliseconds kLoadWindow{5'000};
const Time kStart{std::chrono::seconds(1'000)};

OrderHistory MakeHistory(const std::string& holder) {
  return {holder, kOrderSeparation, kLoadWindow};
}

TEST_CASE("The next leader avoids recently ordered servers only, and only for as long as needed") {
  OrderHistory previous = MakeHistory("a");
  previous.NoteOrder("i-0", kStart - milliseconds(9'000));
  previous.NoteOrder("i-1", kStart);
  previous.NoteOrder("i-2", kStart + milliseconds(2'000));
  previous.NoteOrder("i-2", kStart + milliseconds(1'000));  // The later order counts.
  const OrderHistoryRecord record = previous.ToRecord(kStart + milliseconds(2'000), kStart);
  CHECK(record.servers.size() == 2);
  CHECK(record.quiet_ms == 0);
  OrderHistory next = MakeHistory("b");
  const Time seen = kStart + milliseconds(2'500);
  next.Inherit(record, seen);
  CHECK(next.SafeToOrderFrom("i-3") <= seen);
  // The separation is 3,000 ms plus a margin of 300 ms; the order ended 2,000 ms before the record
  // was written.
  CHECK(next.SafeToOrderFrom("i-1") == seen + milliseconds(1'300));
  CHECK(next.SafeToOrderFrom("i-2") == seen + milliseconds(3'300));
  CHECK_FALSE(next.InheritedOrdersExpired(seen + milliseconds(3'299)));
  CHECK(next.InheritedOrdersExpired(seen + milliseconds(3'300)));
}

TEST_CASE("A restarted machine waits only until the orders of its earlier process have ended") {
  OrderHistory previous = MakeHistory("a");
  previous.NoteOrder("i-1", kStart);
  OrderHistory restarted = MakeHistory("a");
  restarted.Inherit(previous.ToRecord(kStart, kStart), kStart);
  CHECK(restarted.SafeToOrderFrom("i-1") == kStart + milliseconds(400));
}

TEST_CASE("A leader hands over its inherited orders and its remaining wait") {
  OrderHistory first = MakeHistory("a");
  first.NoteOrder("i-1", kStart);
  OrderHistory second = MakeHistory("b");
  second.Inherit(first.ToRecord(kStart, kStart), kStart);
  const Time later = kStart + milliseconds(1'000);
  second.NoteOrder("i-2", later);
  const OrderHistoryRecord record = second.ToRecord(later, kStart + milliseconds(2'400));
  CHECK(record.quiet_ms == 1'400);
  OrderHistory third = MakeHistory("c");
  third.Inherit(record, later);
  CHECK(third.SafeToOrderFrom("i-1") == kStart + milliseconds(3'300));
  CHECK(third.SafeToOrderFrom("i-2") == later + milliseconds(3'300));
  CHECK(second.ToRecord(kStart + milliseconds(20'000), kStart).servers.empty());
  second.Reset();
  CHECK(second.InheritedOrdersExpired(kStart));
}

TEST_CASE("Loads of the previous leader count against the limit on loads") {
  OrderHistory previous = MakeHistory("a");
  for (int load = 0; load < 6; ++load) previous.loads().RecordLoad(kStart);
  previous.loads().RecordUnansweredLoad(kStart);
  const Time later = kStart + milliseconds(1'000);
  OrderHistory next = MakeHistory("b");
  next.Inherit(previous.ToRecord(later, kStart), later);
  CHECK(next.loads().AvailableLoads(2, later) == Approx(3));
  CHECK(next.loads().AvailableLoads(2, kStart + milliseconds(5'200)) == Approx(3));
  CHECK(next.loads().AvailableLoads(2, kStart + milliseconds(5'400)) == Approx(9));
  CHECK(next.loads().AvailableLoads(2, kStart + milliseconds(60'000)) == Approx(10));
}

DemandReport MakeReport(const std::string& name, int uptime_ms, bool stopping = false) {
  DemandReport report;
  report.sender = name;
  report.address = name + ":1";
  report.uptime_ms = uptime_ms;
  report.stopping = stopping;
  return report;
}

TEST_CASE(
    "Leadership is offered to the most recently restarted daemon that is neither starting nor "
    "stopping") {
  FleetMembers members;
  CHECK_FALSE(members.ChooseSuccessor(kStart, false).has_value());
  members.Note(MakeReport("old", 90'000), kStart);
  CHECK(members.ChooseSuccessor(kStart, false) == std::optional<std::string>("old:1"));
  members.Note(MakeReport("new", 2'000), kStart);
  members.Note(MakeReport("starting", 100), kStart);
  members.Note(MakeReport("leaving", 1'000, true), kStart);
  CHECK(members.ChooseSuccessor(kStart, false) == std::optional<std::string>("new:1"));
  CHECK_FALSE(members.ChooseSuccessor(kStart + milliseconds(2'000), false).has_value());
}

TEST_CASE(
    "The most recently restarted daemon succeeds, or a stronger machine where that is preferred") {
  FleetMembers members;
  DemandReport strong;
  strong.sender = "strong";
  strong.address = "strong:1";
  strong.uptime_ms = 60'000;
  strong.strength = 0.5;
  DemandReport weak = strong;
  weak.sender = "weak";
  weak.address = "weak:1";
  weak.uptime_ms = 1'000;
  weak.strength = 0.12;
  members.Note(weak, kStart);
  members.Note(strong, kStart);
  CHECK(members.ChooseSuccessor(kStart, true) == std::optional<std::string>("strong:1"));
  CHECK(members.ChooseSuccessor(kStart, false) == std::optional<std::string>("weak:1"));
}

}  // namespace
}  // namespace moorfold
