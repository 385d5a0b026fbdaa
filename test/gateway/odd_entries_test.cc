// Other writers of the store leave odd entries; whole gateways go on following the others.

#include <limits>

#include "../fleet/candidate.h"
#include "fleet/fleet_messages.h"
#include "gateway_deployment.h"

namespace moorfold {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kMaxInteger = std::numeric_limits<std::int64_t>::max();

std::string Nested(std::size_t depth) { return std::string(depth, '['); }

std::string Entry(const std::string& fields) {
  return R"({"service":"other","zone":"z","version":"v1","state":"ready","slots":4,)"
         R"("address":"127.0.0.1:1","models":[],)" +
         fields + "}";
}

std::vector<std::string> OddServerEntries() {
  std::string models = R"("models":[{"name":"m"})";
  for (int model = 0; model < 100'000; ++model) models += R"(,{"name":"m"})";
  return {"",
          "{",
          "null",
          std::string(3, '\0'),
          Nested(20'000),
          Nested(20'000) + std::string(20'000, ']'),
          Entry(R"("models":)" + Nested(20'000)),
          Entry(R"("x":)" + Nested(500) + std::string(500, ']')),
          Entry(R"("address":"127.0.0.1:70000")"),
          Entry(R"("address":"127.0.0.1:0")"),
          Entry(R"("address":"127.0.0.1:-1")"),
          Entry(R"("address":"")"),
          Entry(R"("address":"no.such.host:80")"),
          Entry(R"("address":"::1:80")"),
          Entry(R"("address":7)"),
          Entry(R"("slots":1e300)"),
          Entry(R"("slots":-1)"),
          Entry(R"("slots":18446744073709551616)"),
          Entry(R"("slots":4294967295)"),
          Entry(R"("born":1e400)"),
          Entry(R"("born":9223372036854775807)"),
          Entry(R"("born":-9223372036854775808)"),
          Entry(R"("service":"")"),
          Entry(R"("service":"\u0000\n\" x=y")"),
          Entry("\"service\":\"\xff\xfe\""),
          Entry(R"("version":")" + std::string(1'000'000, 'v') + "\""),
          Entry(R"("models":[7])"),
          Entry(R"("models":{})"),
          Entry(R"("available":{"resident":{}})"),
          Entry(models + "]")};
}

template <typename Record>
std::vector<std::string> Damaged(const Record& record) {
  const std::string bytes = EncodeMessage(record);
  std::string counts = bytes;
  for (std::size_t at = 1; at < std::min<std::size_t>(counts.size(), 9); ++at) counts[at] = '\x7f';
  return {"",          "{}",   "garbage",     bytes.substr(0, bytes.size() / 2),
          bytes + "x", counts, Nested(1'000), std::string(100, '\xff')};
}

std::vector<std::pair<std::string, std::string>> OddInternalEntries() {
  LeaderRecord leader;
  leader.name = "another";
  leader.address = "no address";
  leader.era = 1;
  RelayPlan plan;
  plan.number = 5;
  plan.zones = {{1, {"no address", "127.0.0.1:1"}}};
  RelayPlan last_plan;
  last_plan.number = kMaxInteger;
  QuarantineNotice quarantine;
  quarantine.cases = {CaseUpdate{
      Fingerprint{}, "booking", {{"i-1", "v1", kMaxInteger}, {"i-2", "v1", -kMaxInteger}}, {}, {}}};
  CreditSharing sharing;
  sharing.daemons = std::numeric_limits<std::uint32_t>::max();
  sharing.hosts = {"no address", ""};
  std::vector<std::pair<std::string, std::string>> entries;
  const auto add = [&](const std::string& key, const std::vector<std::string>& values) {
    for (const std::string& value : values) entries.emplace_back(key, value);
  };
  add("moorfold/leader", Damaged(leader));
  add("moorfold/relays", Damaged(plan));
  add("moorfold/quarantine", Damaged(quarantine));
  add("moorfold/quota-sharing", Damaged(sharing));
  add("moorfold/relays", {EncodeMessage(plan), EncodeMessage(last_plan)});
  add("moorfold/quarantine", {EncodeMessage(quarantine)});
  add("moorfold/quota-sharing", {EncodeMessage(sharing)});
  add("moorfold/another", {"garbage"});
  return entries;
}

HttpRequest SafeRequest(Deployment& deployment, const std::string& id) {
  deployment.platform.checker().Sent(id, RequestKind::kRepeatable);
  return {"GET",
          "/safe/x",
          {{"Host", EmulatedPlatform::kHost}, {"X-Request-Id", id}, {"X-Deadline-Ms", "5000"}},
          ""};
}

/// Replaces every server, so that only a gateway that follows the new ones serves.
void CheckFollowsServersThatJoin(Deployment& deployment) {
  const std::size_t servers = deployment.platform.servers().size();
  for (std::size_t server = 0; server < servers; ++server)
    deployment.platform.ReplaceServer(server);
  for (std::size_t number = 0; number < deployment.gateways.size(); ++number) {
    INFO("gateway " << number);
    int attempt = 0;
    const auto give_up = BootClock::now() + std::chrono::seconds(15);
    bool served = false;
    while (!served && BootClock::now() < give_up) {
      const std::string id = "r-" + std::to_string(number) + "-" + std::to_string(++attempt);
      served = deployment.Send(static_cast<int>(number), SafeRequest(deployment, id)).status == 200;
    }
    CHECK(served);
  }
}

void PutAll(Deployment& deployment, std::vector<std::pair<std::string, std::string>> entries) {
  for (const auto& [key, value] : entries) {
    deployment.platform.store().Put(key, value);
    deployment.RunFor(milliseconds(30));
  }
}

TEST_CASE("Odd entries among those of the servers cost only themselves") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  std::vector<std::pair<std::string, std::string>> entries;
  for (const std::string& value : OddServerEntries())
    entries.emplace_back("servers/odd-" + std::to_string(entries.size()), value);
  PutAll(deployment, entries);
  CheckFollowsServersThatJoin(deployment);
  for (const auto& each : deployment.gateways) CHECK(each->gateway.metrics().entries_skipped > 10);
}

TEST_CASE("Odd values of the keys of the daemons cost only themselves") {
  const std::uint32_t relay_from_daemons = GENERATE(0U, 2U);
  Deployment deployment(3, {}, relay_from_daemons);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  PutAll(deployment, OddInternalEntries());
  CheckFollowsServersThatJoin(deployment);
  CHECK(deployment.RunUntil([&] { return deployment.Leaders() == 1; }));
}

TEST_CASE("A record with a flag that is neither 0 nor 1 is rejected") {
  LeaderRecord record;
  record.name = "one";
  record.address = "127.0.0.1:1";
  std::string bytes = EncodeMessage(record);
  const std::size_t settled_at = 1 + 8 + record.name.size() + 8 + record.address.size();
  REQUIRE(bytes.at(settled_at) == 0);
  bytes[settled_at] = 1;
  CHECK(DecodeMessage<LeaderRecord>(bytes).settled);
  bytes[settled_at] = 2;
  CHECK_THROWS_AS(DecodeMessage<LeaderRecord>(bytes), std::runtime_error);
}

TEST_CASE("A released leader record with odd times does not keep the next leader from ordering") {
  const std::int64_t odd = GENERATE(kMaxInteger, -kMaxInteger);
  LeaderRecord record;
  record.name = "another";
  record.released = true;
  SECTION("quiet time") { record.history.quiet_ms = odd; }
  SECTION("age of an order") { record.history.servers = {{"i-1", "another", odd}}; }
  SECTION("remaining time of a load") { record.history.load_remaining_ms = {odd}; }
  boost::asio::io_context context;
  KeyValueTable table;
  Transaction transaction;
  transaction.operations.emplace_back(PutOperation{kLeaderKey, EncodeMessage(record), {}});
  table.Transact(transaction);
  Candidate candidate(context, table, "one");
  CHECK(RunUntil(context, {&candidate}, [&] { return candidate.election.MayOrder(); }));
  CHECK(candidate.election.ServerSafeToOrder("i-1"));
}

TEST_CASE("A leader record with an odd address does not end the reports to later leaders") {
  Deployment deployment(2);
  REQUIRE(deployment.RunUntil([&] { return deployment.AllReady() && deployment.Leaders() == 1; }));
  LeaderRecord record;
  record.name = "another";
  record.address = "no address";
  record.era = 1;
  deployment.platform.store().Put("moorfold/leader", EncodeMessage(record));
  REQUIRE(deployment.RunUntil([&] { return deployment.Leaders() == 0; }));
  deployment.RunFor(milliseconds(2'000));
  deployment.platform.store().Remove("moorfold/leader");
  REQUIRE(deployment.RunUntil([&] { return deployment.Leaders() == 1; }));
  const auto answers = [&] {
    std::uint64_t sent = 0;
    for (const auto& each : deployment.gateways) sent += each->gateway.metrics().relay_answers_sent;
    return sent;
  };
  const std::uint64_t before = answers();
  CHECK(deployment.RunUntil([&] { return answers() > before + 2; }, milliseconds(10'000)));
}

}  // namespace
}  // namespace moorfold
