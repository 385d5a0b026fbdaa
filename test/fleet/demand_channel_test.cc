// Tests the datagrams between daemons.

#include "fleet/demand_channel.h"

#include <catch2/catch.hpp>

#include "common/boot_clock.h"
#include "demand_report.h"
#include "http/listen_error.h"
#include "store_revisions.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The error for a datagram address in use names the address and a remedy") {
  boost::asio::io_context context;
  const DemandChannel::Handlers none{[](const DemandReport&) {},
                                     [](const PlacementNotice&, const std::string&) {},
                                     [](const ChangeAnswer&, const std::string&) {},
                                     [](const LeadershipOffer&) {},
                                     [](const QuarantineNotice&, const std::string&) {},
                                     [](const CreditSharing&, const std::string&) {},
                                     [](const CreditQuestion&, const std::string&) {},
                                     [](const CreditAnswer&, const std::string&) {},
                                     [](const RelayPlan&, const std::string&) {},
                                     [](const ServersRequest&, const std::string&) {},
                                     [](const ServersPage&, const std::string&) {},
                                     [](const ConfigurationPartRequest&, const std::string&) {},
                                     [](const ConfigurationPart&, const std::string&) {},
                                     [](const PermitRequest&, const std::string&) {},
                                     [](const PermitResponse&, const std::string&) {},
                                     [](const LoadOutlookNotice&, const std::string&) {},
                                     [](const DetourQuery&, const std::string&) {},
                                     [](const DetourOffer&, const std::string&) {},
                                     [](const RetryGrantRequest&, const std::string&) {},
                                     [](const RetryGrantResponse&, const std::string&) {},
                                     [](const VersionDemand&) {},
                                     [](const std::string&) {}};
  const DemandChannel first(context, {"127.0.0.1", 0}, none);
  try {
    const DemandChannel second(context, first.endpoint(), none);
    FAIL("no error");
  } catch (const ListenError& error) {
    CHECK(std::string(error.what()).find(ToString(first.endpoint())) != std::string::npos);
    CHECK(std::string(error.what()).find("draining") != std::string::npos);
  }
}

TEST_CASE("Reports and notices pass between daemons; datagrams that are no message are ignored") {
  boost::asio::io_context context;
  std::vector<DemandReport> reports;
  std::vector<VersionDemand> version_demand;
  std::vector<PlacementNotice> notices;
  std::vector<ChangeAnswer> answers;
  std::string answered_from;
  std::vector<LoadOutlookNotice> outlooks;
  std::string outlook_from;
  std::vector<std::string> offers;
  std::vector<std::string> dropped;
  DemandChannel::Handlers to_leader{
      [&](DemandReport report) { reports.push_back(report); },
      [](const PlacementNotice&, const std::string&) {},
      [](const ChangeAnswer&, const std::string&) {},
      [](const LeadershipOffer&) {},
      [](const QuarantineNotice&, const std::string&) {},
      [](const CreditSharing&, const std::string&) {},
      [](const CreditQuestion&, const std::string&) {},
      [](const CreditAnswer&, const std::string&) {},
      [](const RelayPlan&, const std::string&) {},
      [](const ServersRequest&, const std::string&) {},
      [](const ServersPage&, const std::string&) {},
      [](const ConfigurationPartRequest&, const std::string&) {},
      [](const ConfigurationPart&, const std::string&) {},
      [](const PermitRequest&, const std::string&) {},
      [](const PermitResponse&, const std::string&) {},
      [](const LoadOutlookNotice&, const std::string&) {},
      [](const DetourQuery&, const std::string&) {},
      [](const DetourOffer&, const std::string&) {},
      [](const RetryGrantRequest&, const std::string&) {},
      [](const RetryGrantResponse&, const std::string&) {},
      [&](const VersionDemand& demand) { version_demand.push_back(demand); },
      [](const std::string&) {},
      [&](const UndecodableMessage& message) { dropped.push_back(message.problem); }};
  DemandChannel leader(context, {"127.0.0.1", 0}, to_leader);
  DemandChannel::Handlers to_daemon{
      [](const DemandReport&) {},
      [&](const PlacementNotice& notice, const std::string&) { notices.push_back(notice); },
      [&](const ChangeAnswer& answer, const std::string& from) {
        answers.push_back(answer);
        answered_from = from;
      },
      [&](const LeadershipOffer& offer) { offers.push_back(offer.from); },
      [](const QuarantineNotice&, const std::string&) {},
      [](const CreditSharing&, const std::string&) {},
      [](const CreditQuestion&, const std::string&) {},
      [](const CreditAnswer&, const std::string&) {},
      [](const RelayPlan&, const std::string&) {},
      [](const ServersRequest&, const std::string&) {},
      [](const ServersPage&, const std::string&) {},
      [](const ConfigurationPartRequest&, const std::string&) {},
      [](const ConfigurationPart&, const std::string&) {},
      [](const PermitRequest&, const std::string&) {},
      [](const PermitResponse&, const std::string&) {},
      [&](const LoadOutlookNotice& notice, const std::string& from) {
        outlooks.push_back(notice);
        outlook_from = from;
      },
      [](const DetourQuery&, const std::string&) {},
      [](const DetourOffer&, const std::string&) {},
      [](const RetryGrantRequest&, const std::string&) {},
      [](const RetryGrantResponse&, const std::string&) {},
      [](const VersionDemand&) {},
      [](const std::string&) {}};
  DemandChannel daemon(context, {"127.0.0.1", 0}, to_daemon);
  leader.Start();
  daemon.Start();
  DemandReport report = MakeReport("one", {}, {"i-9"});
  report.address = ToString(daemon.endpoint());
  report.uptime_ms = 1'234;
  report.question = ChangeRequest{77, At(12)};
  for (int entry = 0; entry < 60; ++entry)
    report.entries.push_back({"s", {"m" + std::to_string(entry), ""}, 1, 2, 3});
  daemon.SendReport(ToString(leader.endpoint()), report);
  boost::asio::ip::udp::socket stray(context, boost::asio::ip::udp::v4());
  stray.send_to(boost::asio::buffer(std::string("\xff\xff no message")),
                {boost::asio::ip::make_address("127.0.0.1"), leader.endpoint().port});
  std::size_t entries = 0;
  const auto deadline = BootClock::now() + seconds(20);
  while (entries < 60 && BootClock::now() < deadline) {
    context.run_one_for(milliseconds(50));
    entries = 0;
    for (const DemandReport& part : reports) entries += part.entries.size();
  }
  REQUIRE(entries == 60);
  while (dropped.empty() && BootClock::now() < deadline) context.run_one_for(milliseconds(50));
  REQUIRE(dropped.size() == 1);  // The invalid datagram is reported.
  CHECK(dropped[0].starts_with("received: "));
  CHECK(reports[0].unreachable == std::vector<std::string>{"i-9"});
  CHECK(reports[0].uptime_ms == 1'234);
  CHECK(leader.reporters() == 1);
  VersionDemand needs{"one", {}};
  daemon.SendVersionDemand(ToString(leader.endpoint()), needs);
  for (int entry = 0; entry < 60; ++entry)
    needs.entries.push_back({"s", {"m" + std::to_string(entry), ""}, "v1", 1});
  daemon.SendVersionDemand(ToString(leader.endpoint()), needs);
  while (version_demand.size() < 3 && BootClock::now() < deadline)
    context.run_one_for(milliseconds(50));
  REQUIRE(version_demand.size() == 3);  // None without entries, then 24, 24 and 12.
  CHECK(version_demand[0].sender == "one");
  CHECK(version_demand[2].entries.size() == 12);
  CHECK(version_demand[2].entries.back().name.model == "m59");
  leader.SendTo(reports[0].address, LeadershipOffer{"leader"});
  const auto questions = std::count_if(
      reports.begin(), reports.end(),
      [](const DemandReport& part) { return part.question && part.question->revision == At(12); });
  CHECK(questions == 1);  // Independent of the number of datagrams that the report takes.
  ChangeAnswer answer;
  answer.asked_at_us = 77;
  answer.daemons = 7;
  answer.servers.push_back(
      {At(13), false, {"i-1", "s", {"127.0.0.1", 8}, "z", "v1", 4, true, {{"m", {"a"}}}}});
  answer.servers.push_back({At(14), true, {"i-2"}});
  leader.SendTo(reports[0].address, answer);
  leader.Broadcast(PlacementNotice{"i-1", {"m", "a"}, false});
  leader.Broadcast(LoadOutlookNotice{"s", {{"m", 13'000}}});
  while ((notices.empty() || offers.empty() || answers.empty() || outlooks.empty()) &&
         BootClock::now() < deadline)
    context.run_one_for(milliseconds(50));
  CHECK(offers == std::vector<std::string>{"leader"});
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].name.adapter == "a");
  CHECK_FALSE(notices[0].held);
  REQUIRE(outlooks.size() == 1);
  CHECK(outlooks[0].entries.at(0).ready_in_ms == 13'000);
  CHECK(outlook_from == ToString(leader.endpoint()));
  REQUIRE(answers.size() == 1);
  CHECK(answered_from == ToString(leader.endpoint()));
  CHECK(answers[0].asked_at_us == 77);
  CHECK(answers[0].daemons == 7);
  REQUIRE(answers[0].servers.size() == 2);
  const ServerRecord& record = answers[0].servers[0].record;
  CHECK(record.draining);
  CHECK(record.endpoint.port == 8);
  CHECK(record.models == std::vector<LoadedModel>{{"m", {"a"}}});
  CHECK(answers[0].servers[1].gone);
  CHECK(answers[0].servers[1].record.id == "i-2");
}

}  // namespace
}  // namespace moorfold
