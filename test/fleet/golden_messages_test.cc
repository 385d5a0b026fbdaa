// Tests that this build decodes each record and message as every released build encoded it
// (golden/BUILD/NAME.hex). The encoding of this build is fixed as well, and the body that builds
// without a format number decode is unchanged in it.

#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "fleet/fleet_messages.h"

namespace moorfold {
namespace {

const std::filesystem::path kGolden =
    std::filesystem::path(MOORFOLD_SOURCE_DIR) / "test/fleet/golden";
constexpr const char* kWithoutIncarnations = "1cbede5";
constexpr const char* kWithIncarnations = "f8f162a";
constexpr const char* kFormatOne = "format-1";
constexpr const char* kPermits =
    "permits";  ///< Messages added with server limits, also of format 1.
constexpr const char* kOutlook =
    "outlook";  ///< Messages added with the load outlook, also of format 1.
constexpr const char* kDetour = "detour";  ///< Messages added with detours, also of format 1.
constexpr const char* kRetries =
    "retries";  ///< Messages added with grants of retries, also of format 1.
constexpr const char* kVersionDemand =
    "version_demand";  ///< Messages added with demand by software version, also of format 1.
constexpr const char* kRelays = "relays";  ///< Messages added with relays, also of format 1.

std::string Load(const std::string& build, const std::string& name) {
  std::ifstream file(kGolden / build / (name + ".hex"));
  REQUIRE(file);
  std::string bytes;
  std::string line;
  while (file >> line)
    for (std::size_t at = 0; at + 1 < line.size(); at += 2)
      bytes.push_back(static_cast<char>(std::stoi(line.substr(at, 2), nullptr, 16)));
  return bytes;
}

template <typename Content>
Content LoadMessage(const std::string& build, const std::string& name) {
  return std::get<Content>(DecodeMessage<FleetMessage>(Load(build, name)));
}

/// The messages that every build's golden files contain.
struct GoldenMessages {
  GoldenMessages() {
    held = {"edge-1", "10.0.0.1:7001", true, false, {}, 3};
    released = {"edge-2", "10.0.0.2:7001", false, true, {}, 3};
    released.history.quiet_ms = 1'200;
    released.history.servers = {{"i-1", "edge-2", 300}, {"i-2", "edge-1", 2'500}};
    released.history.load_remaining_ms = {4'000, 10};
    report.sender = "edge-3";
    report.address = "10.0.0.3:7001";
    report.uptime_ms = 61'000;
    report.strength = 0.25;
    report.stopping = true;
    report.entries = {{"pool", {"model-1", "a1"}, 2, 3, 4, 1}};
    report.unreachable = {"i-9"};
    report.question = ChangeRequest{123'456'789, {3, 272}};
    report.quarantine_digest = 0x1122'3344'5566'7788ULL;
    notice = {"i-1", {"model-1", ""}, false, 1'500, 77};
    answer.asked_at_us = 123'456'789;
    answer.relays = true;
    answer.from_revision = {3, 244};
    answer.to_revision = {3, 272};
    answer.age_us = 5'000;
    answer.configuration_version = 61;
    answer.daemons = 64;
    ServerChange change{{3, 257}, false, {}};
    change.record.id = "i-66";
    change.record.service = "pool";
    change.record.endpoint = {"10.1.64.32", 8025};
    change.record.zone = "z1";
    change.record.software_version = "v1";
    change.record.slots = 64;
    change.record.draining = true;
    change.record.models = {{"model-1", {"a1", "a2"}}};
    change.record.incarnation = 1'700'000'000'000;
    ServerChange gone{{3, 260}, true, {}};
    gone.record.id = "i-67";
    answer.servers = {change, gone};
    answer.peers = {"10.0.0.4:7001"};
    answer.quarantine_digest = 99;
    CaseUpdate case_update;
    case_update.fingerprint.bytes[0] = 7;
    case_update.fingerprint.bytes[1] = 9;
    case_update.service = "pool";
    case_update.crashes = {{"i-1", "v1", 100}};
    case_update.clearances = {{"v1", 50}};
    case_update.quarantined_versions = {"v1"};
    cases.cases = {case_update};
    sharing = {7, {"10.0.0.1:7001", "10.0.0.2:7001"}};
    question.asked_at_us = 11;
    question.last_answer_stamp_us = 22;
    question.since_last_answer_us = 33;
    question.requests = {{"tenant-1", 5.5, 1, 1'000, {{2.5, 10}}}};
    granted.asked_at_us = 11;
    granted.stamp_us = 44;
    granted.held_us = 5;
    granted.grants = {{"tenant-1", {{1.5, 3}}, true, 900}};
  }

  /// By file name.
  std::map<std::string, std::string> Encoded() const {
    return {{"leader_held", EncodeMessage(held)},
            {"leader_released", EncodeMessage(released)},
            {"demand_report", EncodeMessage(FleetMessage(report))},
            {"placement_notice", EncodeMessage(FleetMessage(notice))},
            {"change_answer", EncodeMessage(FleetMessage(answer))},
            {"leadership_offer", EncodeMessage(FleetMessage(LeadershipOffer{"edge-1"}))},
            {"quarantine_record", EncodeMessage(cases)},
            {"quarantine_notice", EncodeMessage(FleetMessage(cases))},
            {"sharing_record", EncodeMessage(sharing)},
            {"sharing_message", EncodeMessage(FleetMessage(sharing))},
            {"credit_question", EncodeMessage(FleetMessage(question))},
            {"credit_answer", EncodeMessage(FleetMessage(granted))}};
  }

  LeaderRecord held;
  LeaderRecord released;
  DemandReport report;
  PlacementNotice notice;
  ChangeAnswer answer;
  QuarantineNotice cases;
  CreditSharing sharing;
  CreditQuestion question;
  CreditAnswer granted;
};

TEST_CASE("Encoded messages begin with the body that earlier builds decode, byte for byte") {
  for (const auto& [name, bytes] : GoldenMessages().Encoded()) {
    CAPTURE(name);
    CHECK(bytes == Load(kFormatOne, name));
    CHECK(ReadFormatted(bytes).body == Load(kWithIncarnations, name));
    CHECK(FormatOf(bytes) == kMessageFormat);
  }
}

TEST_CASE("This build decodes the messages of each released build") {
  const GoldenMessages golden;
  for (const std::string build : {kWithoutIncarnations, kWithIncarnations, kFormatOne}) {
    CAPTURE(build);
    const bool eras = build == kFormatOne;
    const std::int64_t era = eras ? 3 : kEraUntold;
    const bool states_incarnations = build != kWithoutIncarnations;
    const auto held = DecodeMessage<LeaderRecord>(Load(build, "leader_held"));
    CHECK(held.name == "edge-1");
    CHECK(held.settled);
    CHECK(held.era == era);
    const auto released = DecodeMessage<LeaderRecord>(Load(build, "leader_released"));
    CHECK(released.released);
    CHECK(released.history.quiet_ms == 1'200);
    REQUIRE(released.history.servers.size() == 2);
    CHECK(released.history.servers[1].holder == "edge-1");
    CHECK(released.history.load_remaining_ms == std::vector<std::int64_t>{4'000, 10});
    const auto report = LoadMessage<DemandReport>(build, "demand_report");
    CHECK(report.sender == "edge-3");
    CHECK(report.format == (eras ? kMessageFormat : 0));
    REQUIRE(report.entries.size() == 1);
    CHECK(report.entries[0].name.adapter == "a1");
    REQUIRE(report.question);
    CHECK(report.question->revision == StoreRevision{era, 272});
    CHECK(report.quarantine_digest == golden.report.quarantine_digest);
    const auto notice = LoadMessage<PlacementNotice>(build, "placement_notice");
    CHECK(notice.expected_ms == 1'500);
    CHECK(notice.incarnation == (states_incarnations ? 77 : 0));
    const auto answer = LoadMessage<ChangeAnswer>(build, "change_answer");
    CHECK(answer.to_revision == StoreRevision{era, 272});
    CHECK(answer.configuration_version == 61);
    REQUIRE(answer.servers.size() == 2);
    const ServerChange& change = answer.servers[0];
    CHECK(change.revision == StoreRevision{era, 257});
    CHECK(change.record.incarnation == (states_incarnations ? 1'700'000'000'000 : 0));
    CHECK(change.record.endpoint.port == 8025);
    CHECK(change.record.draining);
    CHECK(change.record.models == golden.answer.servers[0].record.models);
    CHECK(answer.servers[1].gone);
    CHECK(answer.peers == golden.answer.peers);
    CHECK(answer.quarantine_digest == 99);
    CHECK(LoadMessage<LeadershipOffer>(build, "leadership_offer").from == "edge-1");
    for (const auto& cases : {DecodeMessage<QuarantineNotice>(Load(build, "quarantine_record")),
                              LoadMessage<QuarantineNotice>(build, "quarantine_notice")}) {
      REQUIRE(cases.cases.size() == 1);
      CHECK(cases.cases[0].fingerprint == golden.cases.cases[0].fingerprint);
      CHECK(cases.cases[0].quarantined_versions == std::vector<std::string>{"v1"});
    }
    CHECK(DecodeMessage<CreditSharing>(Load(build, "sharing_record")) == golden.sharing);
    CHECK(LoadMessage<CreditSharing>(build, "sharing_message") == golden.sharing);
    const auto question = LoadMessage<CreditQuestion>(build, "credit_question");
    CHECK(question.requests.at(0).deposit.at(0).units == 2.5);
    const auto granted = LoadMessage<CreditAnswer>(build, "credit_answer");
    CHECK(granted.grants.at(0).available_in_us == 900);
  }
}

/// Messages and fields that only builds with relay support write.
struct RelayMessages {
  RelayMessages() {
    const GoldenMessages golden;
    report = golden.report;
    report.zone = 77;
    report.relay_plan = 3;
    part = golden.answer;
    part.partial = true;
    part.leader = "10.0.0.1:7001";
    plan = {3, 985, {{77, {"10.0.0.1:7001", "10.0.0.2:7001"}}, {78, {"10.0.0.3:7001"}}}};
    servers_question = {11, "i-65"};
    page.asked_at_us = 11;
    page.after = "i-65";
    page.relays = true;
    page.last = "i-66";
    page.more = true;
    page.revision = {3, 270};
    page.age_us = 5'000;
    page.configuration_version = 61;
    page.servers = {golden.answer.servers[0]};
    configuration_question = {61, 2};
    text = {61, 2, true, 99, {3, 255}, "{}"};
  }
  std::map<std::string, std::string> Encoded() const {
    return {{"demand_report", EncodeMessage(FleetMessage(report))},
            {"change_answer", EncodeMessage(FleetMessage(part))},
            {"relay_plan_record", EncodeMessage(plan)},
            {"relay_plan", EncodeMessage(FleetMessage(plan))},
            {"servers_question", EncodeMessage(FleetMessage(servers_question))},
            {"servers_page", EncodeMessage(FleetMessage(page))},
            {"configuration_question", EncodeMessage(FleetMessage(configuration_question))},
            {"configuration_part", EncodeMessage(FleetMessage(text))}};
  }

  DemandReport report;
  ChangeAnswer part;
  RelayPlan plan;
  ServersRequest servers_question;
  ServersPage page;
  ConfigurationPartRequest configuration_question;
  ConfigurationPart text;
};

TEST_CASE("Relay messages are encoded and decoded as in the first build that had them") {
  const RelayMessages golden;
  for (const auto& [name, bytes] : golden.Encoded()) {
    CAPTURE(name);
    CHECK(bytes == Load(kRelays, name));
  }
  const auto report = LoadMessage<DemandReport>(kRelays, "demand_report");
  CHECK(report.zone == 77);
  CHECK(report.relay_plan == std::optional<std::int64_t>(3));
  const auto part = LoadMessage<ChangeAnswer>(kRelays, "change_answer");
  CHECK(part.partial);
  CHECK(part.leader == "10.0.0.1:7001");
  CHECK(DecodeMessage<RelayPlan>(Load(kRelays, "relay_plan_record")) == golden.plan);
  CHECK(LoadMessage<RelayPlan>(kRelays, "relay_plan") == golden.plan);
  CHECK(LoadMessage<ServersRequest>(kRelays, "servers_question").after == "i-65");
  const auto page = LoadMessage<ServersPage>(kRelays, "servers_page");
  CHECK(page.revision == StoreRevision{3, 270});
  CHECK(page.more);
  CHECK(page.configuration_version == 61);
  CHECK(page.servers.at(0).record.models == golden.page.servers[0].record.models);
  CHECK(LoadMessage<ConfigurationPartRequest>(kRelays, "configuration_question").part == 2);
  const auto text = LoadMessage<ConfigurationPart>(kRelays, "configuration_part");
  CHECK(text.revision == StoreRevision{3, 255});
  CHECK(text.bytes == "{}");
}

/// Messages that only builds with server limits write.
struct PermitMessages {
  std::map<std::string, std::string> Encoded() const {
    return {{"permit_question", EncodeMessage(FleetMessage(question))},
            {"permit_answer", EncodeMessage(FleetMessage(answer))}};
  }
  PermitRequest question{123, "i-1", 77, true, 0.5, 20'000, 400'000};
  PermitResponse answer{123, PermitVerdict::kDenied, 900'000};
};

TEST_CASE("Messages on server limits are encoded and decoded as in the first build that had them") {
  const PermitMessages golden;
  for (const auto& [name, bytes] : golden.Encoded()) {
    CAPTURE(name);
    CHECK(bytes == Load(kPermits, name));
  }
  const auto question = LoadMessage<PermitRequest>(kPermits, "permit_question");
  CHECK(question.server_id == "i-1");
  CHECK(question.limit_per_second == 0.5);
  CHECK(question.max_wait_us == 400'000);
  const auto answer = LoadMessage<PermitResponse>(kPermits, "permit_answer");
  CHECK(answer.verdict == PermitVerdict::kDenied);
  CHECK(answer.wait_us == 900'000);
}

/// Messages that only builds with detours write.
struct DetourMessages {
  DetourMessages() {
    report.sender = "edge-3";
    report.isolated = true;
  }
  std::map<std::string, std::string> Encoded() const {
    return {{"demand_report", EncodeMessage(FleetMessage(report))},
            {"detour_query", EncodeMessage(FleetMessage(query))},
            {"detour_offer", EncodeMessage(FleetMessage(offer))}};
  }
  DemandReport report;
  DetourQuery query{123, {"i-1", "i-2"}};
  DetourOffer offer{123, true, 0x1122'3344'5566'7788ULL, 9'001, 5, {"i-2"}};
};

TEST_CASE("Detour messages are encoded and decoded as in the first build that had them") {
  for (const auto& [name, bytes] : DetourMessages().Encoded()) {
    CAPTURE(name);
    CHECK(bytes == Load(kDetour, name));
  }
  CHECK(LoadMessage<DemandReport>(kDetour, "demand_report").isolated);
  CHECK(LoadMessage<DetourQuery>(kDetour, "detour_query").server_ids.size() == 2);
  const auto offer = LoadMessage<DetourOffer>(kDetour, "detour_offer");
  CHECK(offer.accepts);
  CHECK(offer.token == 0x1122'3344'5566'7788ULL);
  CHECK(offer.port == 9'001);
  CHECK(offer.active == 5);
  CHECK(offer.server_ids == std::vector<std::string>{"i-2"});
}

TEST_CASE("Grants of retries are encoded and decoded as in the first build that had them") {
  const RetryGrantRequest request{123, "s", 4};
  const RetryGrantResponse response{123, 3};
  CHECK(EncodeMessage(FleetMessage(request)) == Load(kRetries, "retry_grant_request"));
  CHECK(EncodeMessage(FleetMessage(response)) == Load(kRetries, "retry_grant_response"));
  const auto read_request = LoadMessage<RetryGrantRequest>(kRetries, "retry_grant_request");
  CHECK(read_request.asked_at_us == 123);
  CHECK(read_request.service == "s");
  CHECK(read_request.wanted == 4);
  const auto read_response = LoadMessage<RetryGrantResponse>(kRetries, "retry_grant_response");
  CHECK(read_response.asked_at_us == 123);
  CHECK(read_response.granted == 3);
}

TEST_CASE("Demand by software version is encoded and decoded as in the first build that had it") {
  const VersionDemand golden{"edge-3", {{"pool", {"model-1", "a1"}, "v1", 2}}};
  CHECK(EncodeMessage(FleetMessage(golden)) == Load(kVersionDemand, "version_demand"));
  const auto demand = LoadMessage<VersionDemand>(kVersionDemand, "version_demand");
  CHECK(demand.sender == "edge-3");
  REQUIRE(demand.entries.size() == 1);
  CHECK(demand.entries[0].service == "pool");
  CHECK(demand.entries[0].name == ModelReference{"model-1", "a1"});
  CHECK(demand.entries[0].software_version == "v1");
  CHECK(demand.entries[0].waiting == 2);
}

/// The messages of the last build before demand by software version.
using EarlierFleetMessage =
    std::variant<DemandReport, PlacementNotice, ChangeAnswer, LeadershipOffer, QuarantineNotice,
                 CreditSharing, CreditQuestion, CreditAnswer, RelayPlan, ServersRequest,
                 ServersPage, ConfigurationPartRequest, ConfigurationPart, PermitRequest,
                 PermitResponse, LoadOutlookNotice, DetourQuery, DetourOffer, RetryGrantRequest,
                 RetryGrantResponse>;

TEST_CASE("An earlier build rejects demand by software version and decodes all other messages") {
  // Guards against a message that an earlier leader takes for another one.
  const std::string bytes = Load(kVersionDemand, "version_demand");
  CHECK_THROWS(
      DecodeBody<EarlierFleetMessage>(ReadFormatted(bytes).body, BodyLayout::kWithIncarnations));
  CHECK(FormatOf(bytes) == kMessageFormat);
  const std::string report = EncodeMessage(FleetMessage(GoldenMessages().report));
  const auto earlier =
      DecodeBody<EarlierFleetMessage>(ReadFormatted(report).body, BodyLayout::kWithIncarnations);
  CHECK(std::get<DemandReport>(earlier).sender == "edge-3");
}

TEST_CASE("A load outlook is encoded and decoded as in the first build that had it") {
  const LoadOutlookNotice golden{"s", {{"model-1", 13'000}, {"model-2", 26'000}}};
  CHECK(EncodeMessage(FleetMessage(golden)) == Load(kOutlook, "load_outlook"));
  const auto notice = LoadMessage<LoadOutlookNotice>(kOutlook, "load_outlook");
  CHECK(notice.service == "s");
  REQUIRE(notice.entries.size() == 2);
  CHECK(notice.entries[0].model == "model-1");
  CHECK(notice.entries[0].ready_in_ms == 13'000);
  CHECK(notice.entries[1].ready_in_ms == 26'000);
}

TEST_CASE("A report or a response of a build without relays decodes without relay fields") {
  const auto report = LoadMessage<DemandReport>(kFormatOne, "demand_report");
  CHECK_FALSE(report.relay_plan);
  CHECK(report.zone == 0);
  const auto answer = LoadMessage<ChangeAnswer>(kFormatOne, "change_answer");
  CHECK_FALSE(answer.partial);
  CHECK(answer.leader.empty());
}

TEST_CASE("An invalid address is packed as 0, which unpacks as empty") {
  CHECK(UnpackAddress(PackAddress("10.4.0.106:8648")) == "10.4.0.106:8648");
  CHECK(UnpackAddress(PackAddress("255.255.255.255:65535")) == "255.255.255.255:65535");
  CHECK(PackAddress("nowhere") == 0);
  CHECK(PackAddress("") == 0);
  CHECK(UnpackAddress(0).empty());
  CHECK(UnpackAddress(-5).empty());
}

TEST_CASE("Unknown added fields are ignored, and missing ones take their default") {
  const GoldenMessages golden;
  const std::string body = Load(kWithIncarnations, "demand_report");
  AddedFields later;
  later.Put(1, 5);
  later.Put(900, 1);
  const auto report =
      std::get<DemandReport>(DecodeMessage<FleetMessage>(WriteFormatted(body, later)));
  CHECK(report.question->revision == StoreRevision{5, 272});
  const auto without =
      std::get<DemandReport>(DecodeMessage<FleetMessage>(WriteFormatted(body, {})));
  CHECK(without.question->revision.era == kEraUntold);
  // A field of a type that this build does not know: a text of three bytes under tag 2.
  const std::string text = std::string(
      "\x02\x00\x03\x00"
      "abc",
      7);
  const std::string trailer("\x07\x00\x07\x00\x00\x00\x31\x76\x66\x6d", 10);
  const std::string bytes = body + text + trailer;
  CHECK(FormatOf(bytes) == 7);
  CHECK(std::get<DemandReport>(DecodeMessage<FleetMessage>(bytes)).sender == "edge-3");
}

TEST_CASE("Invalid messages are rejected, and their format is reported if they state one") {
  const std::string report = Load(kWithIncarnations, "demand_report");
  CHECK_THROWS(DecodeMessage<FleetMessage>(report.substr(0, report.size() - 1)));
  CHECK_THROWS(DecodeMessage<FleetMessage>(report + "x"));
  std::string unknown_kind = report;
  unknown_kind[1] = 100;  // A message type that only a later build knows.
  const std::string stated = WriteFormatted(unknown_kind, {});
  CHECK_THROWS(DecodeMessage<FleetMessage>(stated));
  CHECK(FormatOf(stated) == kMessageFormat);
  CHECK(FormatOf("") == 0);
}

}  // namespace
}  // namespace moorfold
