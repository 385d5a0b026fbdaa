// RelayService of one daemon in a fleet with relays, without a network.

#include "gateway/relay_service.h"

#include <catch2/catch.hpp>
#include <limits>
#include <stdexcept>

#include "clock_jump.h"
#include "relay_fixture.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr const char* kSelf = "10.0.0.1:7000";
constexpr const char* kOther = "10.0.0.2:7000";
constexpr const char* kLeader = "10.0.0.9:7000";

struct ServiceFixture {
  explicit ServiceFixture(KeyValueTable initial_table = InitialTable(),
                          std::size_t page_entries = 0)
      : table(std::move(initial_table)),
        member(context, table, std::chrono::hours(1), page_entries),
        service(context, member.store, member.store_view, member.metrics, member.log,
                {"north", kSelf, 2}, MakePorts()) {
    while (member.Version() != 3) context.run_one();
  }
  RelayService::Ports MakePorts() {
    RelayService::Ports ports;
    ports.send = [this](const std::string& to, const FleetMessage& message) {
      sent.emplace_back(to, message);
    };
    ports.broadcast = [this](const FleetMessage& message) { sent.emplace_back("all", message); };
    ports.ask = [this] {
      DemandReport report;
      report.question = member.store_view.MakeChangeQuestion();
      return report;
    };
    ports.leads = [this] { return leads; };
    ports.dropped = [this](const std::string&, const std::string& from) {
      dropped.push_back(from);
    };
    return ports;
  }
  static RelayPlan Plan(std::int64_t number, std::vector<std::string> relays) {
    RelayPlan plan{number, 10, {}};
    if (!relays.empty()) plan.zones.push_back({ZoneIdOf("north"), std::move(relays)});
    return plan;
  }
  /// @return the recipients of the sent messages of this type.
  template <typename Message>
  std::vector<std::string> SentTo() const {
    std::vector<std::string> to;
    for (const auto& [address, message] : sent)
      if (std::holds_alternative<Message>(message)) to.push_back(address);
    return to;
  }

  boost::asio::io_context context;
  KeyValueTable table;
  Member member;
  bool leads = false;
  std::vector<std::pair<std::string, FleetMessage>> sent;
  std::vector<std::string> dropped;
  RelayService service;
};

TEST_CASE("The first relay of a zone watches the store and answers until a plan without relays") {
  ServiceFixture fixture;
  const ServersRequest question{1, ""};
  CHECK_FALSE(fixture.member.store_view.MakeServersPage(question).relays);
  fixture.service.ApplyPlan(ServiceFixture::Plan(1, {kSelf, kOther}));
  CHECK(fixture.service.Watches());
  CHECK_FALSE(fixture.service.UsesRelays());
  CHECK(fixture.member.store_view.MakeServersPage(question).relays);
  fixture.service.ApplyPlan(ServiceFixture::Plan(2, {}));
  CHECK_FALSE(fixture.service.Watches());
  fixture.member.store_view.SetWatching(false);
  CHECK_FALSE(fixture.member.store_view.MakeServersPage(question).relays);
}

TEST_CASE("A relay plan with a number out of range does not keep out the plans of later leaders") {
  const std::int64_t number = GENERATE(std::numeric_limits<std::int64_t>::max(),
                                       std::numeric_limits<std::int64_t>::min(), -1);
  ServiceFixture fixture;
  KeyValue entry;
  entry.value = EncodeMessage(ServiceFixture::Plan(number, {kOther, kLeader}));
  CHECK_THROWS_AS(fixture.service.ApplyRecord(entry, {}), std::runtime_error);
  DemandReport report;
  report.relay_plan = number;
  fixture.leads = true;
  fixture.service.TakeReport(report);
  fixture.leads = false;
  fixture.service.ApplyPlan(ServiceFixture::Plan(1, {kSelf, kOther}));
  CHECK(fixture.service.Watches());
}

TEST_CASE("Another relay asks the first and serves the data it receives; a daemon only asks") {
  ServiceFixture fixture;
  SECTION("relay") {
    fixture.service.ApplyPlan(ServiceFixture::Plan(1, {kOther, kSelf}));
    CHECK(fixture.member.store_view.MakeServersPage({1, ""}).relays);
  }
  SECTION("daemon") {
    fixture.service.ApplyPlan(ServiceFixture::Plan(1, {kOther, kLeader}));
    CHECK_FALSE(fixture.member.store_view.MakeServersPage({1, ""}).relays);
  }
  CHECK(fixture.service.UsesRelays());
  fixture.service.RequestChanges();
  CHECK(fixture.SentTo<DemandReport>().size() == 1);
}

TEST_CASE("Messages from a daemon that is not a selected relay are dropped") {
  ServiceFixture fixture;
  fixture.service.ApplyPlan(ServiceFixture::Plan(1, {kOther, kLeader}));
  fixture.service.HandleServersPage({}, "10.9.9.9:7000");
  fixture.service.HandleConfigurationPart({}, "10.9.9.9:7000");
  CHECK_FALSE(fixture.service.TakeAnswer({}, "10.9.9.9:7000"));
  CHECK(fixture.dropped.size() == 2);
}

TEST_CASE("An older plan is ignored; a leader sends its plan to daemons that report another") {
  ServiceFixture fixture;
  fixture.service.ApplyPlan(ServiceFixture::Plan(5, {kOther}));
  fixture.service.ApplyPlan(ServiceFixture::Plan(4, {kSelf}));
  CHECK(fixture.service.plan().number == 5);
  fixture.leads = true;
  DemandReport report;
  report.address = kOther;
  report.relay_plan = 5;
  fixture.service.TakeReport(report);
  CHECK(fixture.SentTo<RelayPlan>().empty());
  report.relay_plan = 3;
  fixture.service.TakeReport(report);
  CHECK(fixture.SentTo<RelayPlan>() == std::vector<std::string>{kOther});
}

TEST_CASE("A plan is kept in the store for daemons that start") {
  ServiceFixture fixture;
  KeyValue entry;
  entry.value = EncodeMessage(ServiceFixture::Plan(7, {kSelf, kOther}));
  fixture.service.ApplyRecord(entry, {0, 9});
  CHECK(fixture.service.plan().number == 7);
  CHECK(fixture.service.Watches());
  entry.value = "no plan";
  CHECK_THROWS(fixture.service.ApplyRecord(entry, {1, 10}));
  CHECK(fixture.service.plan().number == 7);
}

TEST_CASE("In a large fleet a daemon waits for a relay plan, but only for a limited time") {
  constexpr std::size_t kConfigurationAndServer = 2;
  constexpr std::uint32_t kLargeFleet = 500;
  constexpr milliseconds kShorterThanWait{5'500};
  constexpr milliseconds kListingTime{1'500};
  KeyValueTable initial_table = InitialTable();
  PutInto(initial_table, "servers/i-2", ServerText("ready", ""));
  ServiceFixture fixture(initial_table, kConfigurationAndServer);
  ClockJump clock;
  const auto knows_server = [&] { return fixture.member.Record("i-2") != nullptr; };
  fixture.service.HandleFleetSize(kLargeFleet);
  REQUIRE(fixture.member.store_view.AwaitsServers());
  clock.Sleep(kShorterThanWait);
  fixture.service.Tick();
  fixture.context.run_for(milliseconds(300));
  CHECK_FALSE(knows_server());
  CHECK(fixture.member.store.listings() == 0);
  clock.Sleep(milliseconds(1'000));
  fixture.service.Tick();
  const auto deadline = BootClock::now() + kListingTime;
  while (!knows_server() && BootClock::now() < deadline)
    fixture.context.run_one_for(milliseconds(10));
  CHECK(knows_server());
  fixture.service.HandleFleetSize(kLargeFleet);
  CHECK_FALSE(fixture.member.store_view.AwaitsServers());
}

}  // namespace
}  // namespace moorfold
